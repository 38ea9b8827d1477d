#include "key_orders.h"

#include <gtest/gtest.h>

#include <list>
#include <optional>

#include "io/http_server.h"
#include "names.h"
#include "tests/io_test_util.h"

/// Orders for keys over loopback connections.
namespace eelgrasspin::platform {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;
using fleet::OrderResult;

constexpr fleet::ShardKey kFirst(10);
constexpr fleet::ShardKey kLast(20);

/// A link to a server that can be cut. Bytes that are sent in a cut are
/// delivered after it unless their sender has reset the connection, as by the
/// retransmissions of TCP.
class CutLink {
 public:
  CutLink(boost::asio::io_context& io, const Endpoint& server)
      : io_(io),
        server_(*io::parse_endpoint(server)),
        acceptor_(
            io, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0)) {
    accept();
  }
  Endpoint endpoint() const {
    return Endpoint("127.0.0.1:" +
                    std::to_string(acceptor_.local_endpoint().port()));
  }
  void cut() { cut_ = true; }
  void heal() {
    cut_ = false;
    for (Pair& pair : pairs_) {
      if (pair.held_up) receive(pair, true);
    }
  }

 private:
  struct Pair {
    Pair(tcp::socket accepted, boost::asio::io_context& io)
        : client(std::move(accepted)), server(io) {}
    tcp::socket client;
    tcp::socket server;
    std::array<char, 4096> from_client{};
    std::array<char, 4096> from_server{};
    bool held_up = false;
  };

  void accept() {
    acceptor_.async_accept([this](error_code failed, tcp::socket socket) {
      if (failed) return;
      Pair& pair = pairs_.emplace_back(std::move(socket), io_);
      pair.server.connect(server_);
      receive(pair, true);
      receive(pair, false);
      accept();
    });
  }

  void receive(Pair& pair, bool from_client) {
    tcp::socket& from = from_client ? pair.client : pair.server;
    from.async_wait(tcp::socket::wait_read,
                    [this, &pair, from_client](error_code failed) {
                      if (!failed) forward(pair, from_client);
                    });
  }

  void forward(Pair& pair, bool from_client) {
    if (cut_ && from_client) {
      pair.held_up = true;
      return;
    }
    tcp::socket& from = from_client ? pair.client : pair.server;
    tcp::socket& to = from_client ? pair.server : pair.client;
    int reset = 0;
    socklen_t size = sizeof reset;
    ::getsockopt(from.native_handle(), SOL_SOCKET, SO_ERROR, &reset, &size);
    auto& buffer = from_client ? pair.from_client : pair.from_server;
    error_code failed;
    std::size_t count = from.read_some(boost::asio::buffer(buffer), failed);
    error_code ignored;
    if (reset != 0 || failed) {
      to.close(ignored);
      return;
    }
    boost::asio::write(to, boost::asio::buffer(buffer, count), ignored);
    receive(pair, from_client);
  }

  boost::asio::io_context& io_;
  tcp::endpoint server_;
  tcp::acceptor acceptor_;
  std::list<Pair> pairs_;
  bool cut_ = false;
};

/// A server that answers grants and releases, and can send a second copy of the
/// last answer where the next one is expected.
class RepeatingServer {
 public:
  explicit RepeatingServer(boost::asio::io_context& io)
      : acceptor_(
            io, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0)) {
    accept();
  }
  Endpoint endpoint() const {
    return Endpoint("127.0.0.1:" +
                    std::to_string(acceptor_.local_endpoint().port()));
  }
  bool repeats_last_answer = false;
  /// Status line and header fields of answers to grants.
  std::string grant_header = "200 OK\r\n";
  std::size_t connections() const { return peers_.size(); }
  void send_last_answer_again() {
    Peer& peer = peers_.back();
    boost::asio::write(peer.socket, boost::asio::buffer(peer.last_answer));
  }

 private:
  struct Peer {
    explicit Peer(tcp::socket accepted) : socket(std::move(accepted)) {}
    tcp::socket socket;
    std::array<char, 4096> buffer{};
    std::string last_answer;
  };

  void accept() {
    acceptor_.async_accept([this](error_code failed, tcp::socket socket) {
      if (failed) return;
      receive(peers_.emplace_back(std::move(socket)));
      accept();
    });
  }

  void receive(Peer& peer) {
    peer.socket.async_read_some(
        boost::asio::buffer(peer.buffer),
        [this, &peer](error_code failed, std::size_t count) {
          if (failed) return;
          std::string_view request(peer.buffer.data(), count);
          std::string text = repeats_last_answer ? peer.last_answer : "";
          peer.last_answer =
              request.starts_with("POST /release")
                  ? "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
                    "X-Eelgrasspin-Handover: warm\r\n\r\n{}"
                  : "HTTP/1.1 " + grant_header + "Content-Length: 2\r\n\r\n{}";
          text += peer.last_answer;
          boost::asio::write(peer.socket, boost::asio::buffer(text));
          receive(peer);
        });
  }

  tcp::acceptor acceptor_;
  std::list<Peer> peers_;
};

/// A server that reads nothing, so that orders stay in their sender's kernel
/// once its receive buffer is full. The test has it answer.
class UnreadingServer {
 public:
  explicit UnreadingServer(boost::asio::io_context& io) : acceptor_(io) {
    acceptor_.open(tcp::v4());
    acceptor_.set_option(boost::asio::socket_base::receive_buffer_size(1));
    acceptor_.bind({boost::asio::ip::make_address("127.0.0.1"), 0});
    acceptor_.listen();
    accept();
  }
  Endpoint endpoint() const {
    return Endpoint("127.0.0.1:" +
                    std::to_string(acceptor_.local_endpoint().port()));
  }
  std::size_t connections() const { return peers_.size(); }
  /// Bytes that have arrived on the latest connection.
  std::size_t received() const {
    return peers_.empty() ? 0 : peers_.back().available();
  }
  void answer() {
    std::string_view text = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
    boost::asio::write(peers_.back(),
                       boost::asio::buffer(text.data(), text.size()));
  }

 private:
  void accept() {
    acceptor_.async_accept([this](error_code failed, tcp::socket socket) {
      if (failed) return;
      peers_.push_back(std::move(socket));
      accept();
    });
  }

  tcp::acceptor acceptor_;
  std::list<tcp::socket> peers_;
};

class KeyOrdersTest : public ::testing::Test {
 protected:
  KeyOrdersTest()
      : server_(io_, {},
                [this](const std::shared_ptr<io::HttpExchange>& exchange) {
                  ++received_;
                  exchange->answer(answer_);
                }) {
    (void)server_.listen(kAnyPort);
  }

  fleet::OrderEnded release() { return release(server_.bound_endpoint()); }
  fleet::OrderEnded release(const Endpoint& address) {
    std::optional<fleet::OrderEnded> ended;
    orders_.release({1, ServerName("i-1"), address, kFirst, kLast, Epoch(2)},
                    [&](const fleet::OrderEnded& result) { ended = result; });
    run_until(io_, [&] { return ended.has_value(); });
    return ended.value_or(fleet::OrderEnded{});
  }

  std::optional<fleet::OrderEnded> grant(const Endpoint& address) {
    std::optional<fleet::OrderEnded> ended;
    orders_.grant({1, ServerName("i-1"), address, kFirst, kLast, Epoch(1),
                   seconds(4), ""},
                  [&](const fleet::OrderEnded& result) { ended = result; });
    run_until(io_, [&] { return ended.has_value(); });
    return ended;
  }

  boost::asio::io_context io_;
  io::HttpResponse answer_{200, {}, "{}"};
  int received_ = 0;
  io::HttpServer server_;
  KeyOrdersClient orders_{io_};
};

/// Guards against taking any rejection for proof that the server has ended: the
/// addressed one may be short of room, or its answer spoiled.
TEST_F(KeyOrdersTest, OnlyAnotherServersAnswerToAReleaseProvesAnEnd) {
  auto result = [this](int status, io::HeaderFields headers) {
    answer_ = {status, std::move(headers), ""};
    return release().result;
  };
  EXPECT_EQ(result(421, {}), OrderResult::kOtherServer);
  EXPECT_EQ(result(400, {{kNotRunHeader, "1"}}), OrderResult::kOtherServer);
  for (int status : {400, 403, 404, 408, 429}) {
    EXPECT_EQ(result(status, {}), OrderResult::kInvalid) << status;
  }
  EXPECT_EQ(result(429, {{kNotRunHeader, "1"}}), OrderResult::kInvalid);
  EXPECT_EQ(result(503, {{kNotRunHeader, "1"}}), OrderResult::kUnanswered);
  EXPECT_EQ(result(200, {{kHandoverHeader, "warm"}}), OrderResult::kDone);
}

/// Guards against taking a late copy of the answer to a grant for the answer to
/// a release, which comes only when the work on the keys has ended.
TEST_F(KeyOrdersTest, CopyOfAGrantsAnswerDoesNotEndARelease) {
  RepeatingServer server(io_);
  ASSERT_EQ(grant(server.endpoint())->result, OrderResult::kDone);
  server.repeats_last_answer = true;
  fleet::OrderEnded released = release(server.endpoint());
  EXPECT_EQ(released.result, OrderResult::kDone);
  EXPECT_EQ(released.handover, "warm");
}

/// Guards against taking a late copy of the answer to a release for that to
/// another one: nothing tells the two apart.
TEST_F(KeyOrdersTest, ConnectionOfAReleaseCarriesNoFurtherOrder) {
  RepeatingServer server(io_);
  ASSERT_EQ(grant(server.endpoint())->result, OrderResult::kDone);
  ASSERT_EQ(release(server.endpoint()).result, OrderResult::kDone);
  EXPECT_EQ(server.connections(), 1u);
  ASSERT_EQ(release(server.endpoint()).result, OrderResult::kDone);
  EXPECT_EQ(server.connections(), 2u);
}

/// Guards against taking a late copy of the refusal of a grant for the answer
/// to the next one, which the server carries out.
TEST_F(KeyOrdersTest, CopyOfARefusalDoesNotRefuseTheNextGrant) {
  for (const char* refusal : {"400 Bad\r\n", "409 Fenced\r\n", "421 Other\r\n",
                              "429 Busy\r\n", "500 Failed\r\n"}) {
    RepeatingServer server(io_);
    server.grant_header = refusal;
    EXPECT_NE(grant(server.endpoint())->result, OrderResult::kDone);
    server.repeats_last_answer = true;
    server.grant_header = "200 OK\r\n";
    EXPECT_EQ(grant(server.endpoint())->result, OrderResult::kDone) << refusal;
  }
}

/// Guards against taking a late copy of the refusal of a grant for proof that
/// the server has ended: it holds the keys until it answers the release.
TEST_F(KeyOrdersTest, CopyOfAGrantsRefusalDoesNotEndARelease) {
  for (const char* refusal :
       {"421 Other\r\n", "400 Bad\r\nX-Eelgrasspin-Not-Run: 1\r\n"}) {
    RepeatingServer server(io_);
    server.grant_header = refusal;
    EXPECT_NE(grant(server.endpoint())->result, OrderResult::kDone);
    server.repeats_last_answer = true;
    EXPECT_EQ(release(server.endpoint()).result, OrderResult::kDone) << refusal;
  }
}

/// Guards against taking input that came before a grant was sent for its
/// answer: a busy event loop has not noticed it yet.
TEST_F(KeyOrdersTest, CopyThatComesBeforeTheNextGrantIsNotItsAnswer) {
  RepeatingServer server(io_);
  ASSERT_EQ(grant(server.endpoint())->result, OrderResult::kDone);
  server.send_last_answer_again();
  server.grant_header = "409 Fenced\r\n";
  EXPECT_EQ(grant(server.endpoint())->result, OrderResult::kFenced);
}

/// Guards against counting a hold from before its grant arrives: a late copy of
/// the answer to an earlier grant comes while the grant waits for its path.
TEST_F(KeyOrdersTest, AnswerBeforeTheGrantHasArrivedIsNoAnswer) {
  UnreadingServer server(io_);
  std::size_t order_bytes = 0;
  OrderResult result = OrderResult::kDone;
  for (std::size_t i = 0; i < 200 && result == OrderResult::kDone; ++i) {
    std::optional<fleet::OrderEnded> ended;
    orders_.grant({1, ServerName("i-1"), server.endpoint(), kFirst, kLast,
                   Epoch(1), seconds(4), ""},
                  [&](const fleet::OrderEnded& end) { ended = end; });
    run_for(io_, std::chrono::milliseconds(20));
    ASSERT_EQ(server.connections(), 1u);
    if (i == 0) order_bytes = server.received();
    bool arrived = server.received() == (i + 1) * order_bytes;
    server.answer();
    ASSERT_TRUE(run_until(io_, [&] { return ended.has_value(); }));
    result = ended->result;
    ASSERT_EQ(result == OrderResult::kDone, arrived) << "grant " << i;
  }
  EXPECT_EQ(result, OrderResult::kUnanswered);
}

/// Guards against orders that take effect after they were given up: bytes that
/// a cut holds up would be delivered after it.
TEST_F(KeyOrdersTest, GrantGivenUpDuringACutIsNotDeliveredAfterIt) {
  CutLink link(io_, server_.bound_endpoint());
  // The connection is kept, so that the grant in the cut is written at once.
  auto granted = grant(link.endpoint());
  ASSERT_TRUE(granted);
  ASSERT_EQ(granted->result, OrderResult::kDone);
  link.cut();
  auto given_up = grant(link.endpoint());
  ASSERT_TRUE(given_up);
  EXPECT_EQ(given_up->result, OrderResult::kUnanswered);
  link.heal();
  run_for(io_, std::chrono::milliseconds(300));
  EXPECT_EQ(received_, 1);
  EXPECT_EQ(grant(link.endpoint())->result, OrderResult::kDone);
  EXPECT_EQ(received_, 2);
}

}  // namespace
}  // namespace eelgrasspin::platform
