#include "io/backend_pool.h"

#include <gtest/gtest.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <list>
#include <optional>

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

class BackendPoolTest : public ::testing::Test {
 protected:
  BackendPoolTest() : server_(io_), pool_(io_) {}

  bool call(bool repeatable) {
    std::optional<HttpResult> result;
    pool_.start({{"GET", "/", {{"Host", "h"}}, "", {}},
                 server_.endpoint(),
                 seconds(2),
                 repeatable,
                 nullptr},
                [&](HttpResult ended) { result = std::move(ended); });
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

}  // namespace
}  // namespace eelgrasspin::io
