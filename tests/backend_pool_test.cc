#include "io/backend_pool.h"

#include <gtest/gtest.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <thread>
#include <vector>

#include "tests/io_test_util.h"

namespace eelgrasspin::io {
namespace {

using boost::asio::ip::tcp;

/// A server that can drop its open connections like one that forgets idle
/// connections: each is reset only at its next request.
class IdleDroppingServer {
 public:
  explicit IdleDroppingServer(boost::asio::io_context& io)
      : acceptor_(
            io, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0)) {
    accept();
  }
  /// Drops the connections that are open now.
  void drop_open_connections() {
    for (Peer& peer : peers_) peer.dropped = true;
  }
  Endpoint endpoint() const {
    return Endpoint("127.0.0.1:" +
                    std::to_string(acceptor_.local_endpoint().port()));
  }

 private:
  struct Peer {
    explicit Peer(tcp::socket accepted) : socket(std::move(accepted)) {}
    tcp::socket socket;
    std::array<char, 4096> buffer{};
    bool dropped = false;
  };

  void accept() {
    acceptor_.async_accept(
        [this](boost::system::error_code failed, tcp::socket socket) {
          if (failed) return;
          peers_.emplace_back(std::move(socket));
          read(peers_.back());
          accept();
        });
  }

  void read(Peer& peer) {
    peer.socket.async_read_some(
        boost::asio::buffer(peer.buffer),
        [this, &peer](boost::system::error_code failed, std::size_t) {
          if (failed) return;
          if (peer.dropped) {
            boost::system::error_code ignored;
            peer.socket.set_option(boost::asio::socket_base::linger(true, 0),
                                   ignored);
            peer.socket.close(ignored);
            return;
          }
          boost::asio::write(peer.socket,
                             boost::asio::buffer(std::string(
                                 "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"
                                 "Keep-Alive: timeout=10\r\n\r\n")));
          read(peer);
        });
  }

  tcp::acceptor acceptor_;
  std::list<Peer> peers_;
};

/// A server that answers a request for /short, and every other one with an
/// endless response.
class EndlessServer {
 public:
  EndlessServer(boost::asio::io_context& io, std::string head,
                const std::string& part)
      : acceptor_(io,
                  tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0)),
        head_(std::move(head)) {
    while (part_.size() < kPartBytes) part_ += part;
    accept();
  }
  Endpoint endpoint() const {
    return Endpoint("127.0.0.1:" +
                    std::to_string(acceptor_.local_endpoint().port()));
  }

 private:
  static constexpr std::size_t kPartBytes = 64 * 1024;
  struct Peer {
    explicit Peer(tcp::socket accepted) : socket(std::move(accepted)) {}
    tcp::socket socket;
    std::array<char, 4096> buffer{};
  };

  void accept() {
    acceptor_.async_accept(
        [this](boost::system::error_code failed, tcp::socket socket) {
          if (failed) return;
          auto peer = std::make_shared<Peer>(std::move(socket));
          peer->socket.async_read_some(
              boost::asio::buffer(peer->buffer),
              [this, peer](boost::system::error_code ended, std::size_t count) {
                if (ended) return;
                std::string_view request(peer->buffer.data(), count);
                if (request.starts_with("GET /short")) {
                  boost::asio::write(peer->socket,
                                     boost::asio::buffer(std::string(
                                         "HTTP/1.1 200 OK\r\nContent-Length: 2"
                                         "\r\n\r\nok")));
                  return;
                }
                send(peer, head_);
              });
          accept();
        });
  }
  void send(const std::shared_ptr<Peer>& peer, const std::string& text) {
    boost::asio::async_write(
        peer->socket, boost::asio::buffer(text),
        [this, peer](boost::system::error_code failed, std::size_t) {
          if (!failed) send(peer, part_);
        });
  }

  tcp::acceptor acceptor_;
  std::string head_;
  std::string part_;
};

/// Calls that run at the same time, and counts of their results.
struct ParallelCalls {
  ParallelCalls(boost::asio::io_context& context, BackendPool& calls)
      : io(context), pool(calls) {}
  void start(const Endpoint& to, const char* path, Duration timeout) {
    ++started;
    pool.start(
        {{"GET", path, {{"Host", "h"}}, "", {}}, to, timeout, true, nullptr},
        [this](const HttpResult& result, const BackendPool::ConnectionUse&) {
          ++ended;
          if (std::holds_alternative<HttpResponse>(result)) ++answered;
        });
  }
  bool run_until_ended() {
    return run_until(io, [&] {
      most_bytes = std::max(most_bytes, pool.response_bytes());
      return ended == started;
    });
  }
  boost::asio::io_context& io;
  BackendPool& pool;
  std::size_t started = 0;
  std::size_t ended = 0;
  std::size_t answered = 0;
  std::size_t most_bytes = 0;
};

struct EndlessCase {
  const char* name;
  const char* head;
  const char* part;
};

constexpr EndlessCase kEndlessCases[] = {
    {"status line", "HTTP/1.1 200 ", "x"},
    {"field name", "HTTP/1.1 200 OK\r\n", "x"},
    {"fields", "HTTP/1.1 200 OK\r\n", "A: b\r\n"},
    {"no protocol", "", "\x01\x02"},
    {"blank lines", "", "\r\n"},
    {"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
    {"body without a length", "HTTP/1.1 200 OK\r\n\r\n", "x"},
    {"chunk size", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
     "0"},
    {"chunk extension",
     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x"},
    {"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
     "1\r\nx\r\n"},
    {"trailers", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
     "A: b\r\n"},
    {"huge length",
     "HTTP/1.1 200 OK\r\nContent-Length: 999999999999999\r\n\r\n", "x"},
    {"overflowing length",
     "HTTP/1.1 200 OK\r\nContent-Length: 99999999999999999999999\r\n\r\n", "x"},
};

class BackendPoolTest : public ::testing::Test {
 protected:
  BackendPoolTest() : server_(io_), pool_(io_) {}

  bool call(bool repeatable, bool on_new_connection = false) {
    std::optional<HttpResult> result;
    pool_.start({{"GET", "/", {{"Host", "h"}}, "", {}},
                 server_.endpoint(),
                 seconds(2),
                 repeatable,
                 nullptr,
                 on_new_connection},
                [&](HttpResult ended, const BackendPool::ConnectionUse&) {
                  result = std::move(ended);
                });
    EXPECT_TRUE(run_until(io_, [&] { return result.has_value(); }));
    return std::holds_alternative<HttpResponse>(*result);
  }
  void wait_idle(Duration duration) {
    io_.run_for(duration);
    io_.restart();
  }

  boost::asio::io_context io_;
  IdleDroppingServer server_;
  BackendPool pool_;
};

TEST_F(BackendPoolTest, ConnectionsAreReused) {
  EXPECT_TRUE(call(true));
  EXPECT_TRUE(call(false));
  EXPECT_EQ(pool_.connections_made(), 1u);
}

TEST_F(BackendPoolTest, CallThatNeedsANewConnectionReusesNone) {
  EXPECT_TRUE(call(true));
  EXPECT_TRUE(call(false, true));
  EXPECT_EQ(pool_.connections_made(), 2u);
}

/// If a server drops idle connections, a repeatable request may fail and be
/// sent again, but a request that may run only once must not fail.
TEST_F(BackendPoolTest, OnceOnlyRequestsAvoidConnectionsThatMayBeStale) {
  EXPECT_TRUE(call(true));
  wait_idle(milliseconds(150));
  server_.drop_open_connections();
  EXPECT_FALSE(call(true));
  EXPECT_TRUE(call(true));
  wait_idle(milliseconds(600));
  server_.drop_open_connections();
  EXPECT_TRUE(call(false));
  EXPECT_EQ(pool_.connections_made(), 3u);
}

/// A connection that is too old for a request that may run only once stays in
/// the pool for repeatable requests.
TEST_F(BackendPoolTest, OldConnectionsRemainForRepeatableRequests) {
  EXPECT_TRUE(call(true));
  wait_idle(milliseconds(150));
  server_.drop_open_connections();
  EXPECT_FALSE(call(true));
  EXPECT_TRUE(call(true));
  wait_idle(milliseconds(600));
  EXPECT_TRUE(call(false));
  EXPECT_TRUE(call(true));
  EXPECT_EQ(pool_.connections_made(), 3u);
}

/// The response and the timer's expiry are found in one iteration of the event
/// loop, and the next call takes the same connection.
TEST_F(BackendPoolTest, TimerOfAnEndedCallDoesNotEndTheNextCall) {
  const std::string ok = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
  tcp::acceptor acceptor(io_, {boost::asio::ip::make_address("127.0.0.1"), 0});
  tcp::socket peer(io_);
  std::array<char, 4096> buffer{};
  std::size_t requests = 0;
  std::function<void()> read = [&] {
    peer.async_read_some(boost::asio::buffer(buffer),
                         [&](boost::system::error_code failed, std::size_t) {
                           if (failed) return;
                           if (++requests == 2)
                             boost::asio::write(peer, boost::asio::buffer(ok));
                           read();
                         });
  };
  acceptor.async_accept(peer, [&](boost::system::error_code) { read(); });
  auto call = [&](Duration timeout, BackendPool::Callback done) {
    pool_.start({{"GET", "/", {{"Host", "h"}}, "", {}},
                 io::to_endpoint(acceptor.local_endpoint()),
                 timeout,
                 true,
                 nullptr},
                std::move(done));
  };
  std::vector<bool> answered;
  auto record = [&](const HttpResult& result) {
    answered.push_back(std::holds_alternative<HttpResponse>(result));
  };
  call(milliseconds(200), [&](const HttpResult& result,
                              const BackendPool::ConnectionUse&) {
    record(result);
    call(seconds(5), [&](const HttpResult& next,
                         const BackendPool::ConnectionUse&) { record(next); });
  });
  ASSERT_TRUE(run_until(io_, [&] { return requests == 1; }));
  boost::asio::write(peer, boost::asio::buffer(ok));
  std::this_thread::sleep_for(milliseconds(250));
  ASSERT_TRUE(run_until(io_, [&] { return answered.size() == 2; }));
  EXPECT_TRUE(answered[0]);
  EXPECT_TRUE(answered[1]);
  EXPECT_EQ(pool_.connections_made(), 1u);
}

/// A response that never ends fails, whichever part of it is endless.
class LateConnection : public BackendPoolTest {
 protected:
  /// Starts a call that ends after 20 ms, and runs the loop only after its
  /// connection has been made and its time has passed. Returns what the server
  /// receives until the connection ends.
  std::string received_by_server(Duration timeout,
                                 std::function<bool()> may_send) {
    tcp::acceptor acceptor(io_,
                           {boost::asio::ip::make_address("127.0.0.1"), 0});
    std::optional<HttpResult> result;
    BackendPool::Call call{{"GET", "/", {{"Host", "h"}}, "", {}},
                           io::to_endpoint(acceptor.local_endpoint()),
                           timeout,
                           true,
                           nullptr};
    call.may_send = std::move(may_send);
    pool_.start(std::move(call),
                [&](HttpResult ended, const BackendPool::ConnectionUse&) {
                  result = std::move(ended);
                });
    tcp::socket peer = acceptor.accept();
    std::this_thread::sleep_for(milliseconds(60));
    EXPECT_TRUE(run_until(io_, [&] { return result.has_value(); }));
    auto* failure = std::get_if<HttpFailure>(&*result);
    EXPECT_TRUE(failure != nullptr &&
                failure->kind == HttpFailureKind::kConnectTimeout);
    std::array<char, 4096> buffer{};
    boost::system::error_code ended;
    std::size_t count =
        boost::asio::read(peer, boost::asio::buffer(buffer), ended);
    return {buffer.data(), count};
  }
};

TEST_F(LateConnection, NothingIsSentAfterTheEndOfItsCall) {
  EXPECT_EQ(received_by_server(milliseconds(20), nullptr), "");
}

TEST_F(LateConnection, NothingIsSentThatIsNoLongerWanted) {
  EXPECT_EQ(received_by_server(seconds(5), [] { return false; }), "");
}

TEST_F(BackendPoolTest, EndlessAnswersFail) {
  for (const EndlessCase& endless : kEndlessCases) {
    EndlessServer server(io_, endless.head, endless.part);
    ParallelCalls calls(io_, pool_);
    calls.start(server.endpoint(), "/", milliseconds(1500));
    EXPECT_TRUE(calls.run_until_ended()) << endless.name;
    EXPECT_EQ(calls.answered, 0u) << endless.name;
    EXPECT_LE(calls.most_bytes, config::kMaxAnswerBytes) << endless.name;
    EXPECT_EQ(pool_.response_bytes(), 0u) << endless.name;
  }
}

/// Guards against connections to servers that take all descriptors. A call
/// without one fails as not sent.
TEST_F(BackendPoolTest, ConnectionsStayWithinTheirLimit) {
  constexpr std::size_t kMaxConnections = 2;
  tcp::acceptor silent(
      io_, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
  Endpoint to_silent("127.0.0.1:" +
                     std::to_string(silent.local_endpoint().port()));
  BackendPool pool(io_, config::kMaxPoolAnswerBytes, kMaxConnections);
  std::vector<HttpResult> ended;
  auto start = [&](const Endpoint& to, const std::string& path) {
    return pool.start(
        {{"GET", path, {{"Host", "h"}}, "", {}}, to, seconds(5)},
        [&](HttpResult result, const BackendPool::ConnectionUse&) {
          ended.push_back(std::move(result));
        });
  };
  start(server_.endpoint(), "/");
  ASSERT_TRUE(run_until(io_, [&] { return ended.size() == 1; }));
  EXPECT_EQ(pool.connections(), 1U);
  start(to_silent, "/");
  start(to_silent, "/");  // Closes the idle connection.
  EXPECT_EQ(pool.connections(), kMaxConnections);
  std::uint64_t cancelled = start(to_silent, "/");
  start(to_silent, "/");
  pool.cancel(cancelled);
  ASSERT_TRUE(run_until(io_, [&] { return ended.size() == 2; }));
  const auto* failure = std::get_if<HttpFailure>(&ended.back());
  ASSERT_NE(failure, nullptr);
  EXPECT_EQ(failure->kind, HttpFailureKind::kRefused);
  EXPECT_TRUE(failure->connections_exhausted);
  EXPECT_EQ(pool.connections(), kMaxConnections);
}

/// Several endless responses share one memory limit, and short responses are
/// still read.
TEST_F(BackendPoolTest, EndlessAnswersTogetherStayWithinTheLimit) {
  EndlessServer server(io_, "HTTP/1.1 200 OK\r\n\r\n", "x");
  ParallelCalls calls(io_, pool_);
  constexpr std::size_t kEndless = 24;
  for (std::size_t i = 0; i < kEndless; ++i)
    calls.start(server.endpoint(), "/", seconds(5));
  run_for(io_, milliseconds(300));
  ParallelCalls short_calls(io_, pool_);
  for (int i = 0; i < 5; ++i)
    short_calls.start(server.endpoint(), "/short", seconds(5));
  EXPECT_TRUE(short_calls.run_until_ended());
  EXPECT_EQ(short_calls.answered, 5u);
  EXPECT_TRUE(calls.run_until_ended());
  EXPECT_EQ(calls.answered, 0u);
  EXPECT_LE(calls.most_bytes, config::kMaxPoolAnswerBytes +
                                  kEndless * 2 * config::kMinAnswerBytes);
}

}  // namespace
}  // namespace eelgrasspin::io
