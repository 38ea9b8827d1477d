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

/// A server that resets a connection at its next request when told to.
class ForgetfulServer {
 public:
  explicit ForgetfulServer(boost::asio::io_context& io)
      : acceptor_(
            io, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0)) {
    accept();
  }
  /// The connections that are open now are forgotten.
  void forget() {
    for (Peer& peer : peers_) peer.forgotten = true;
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
    bool forgotten = false;
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
          if (peer.forgotten) {
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
  void rest(Duration duration) {
    io_.run_for(duration);
    io_.restart();
  }

  boost::asio::io_context io_;
  ForgetfulServer server_;
  BackendPool pool_;
};

TEST_F(BackendPoolTest, ConnectionsAreUsedAgain) {
  EXPECT_TRUE(call(true));
  EXPECT_TRUE(call(false));
  EXPECT_EQ(pool_.connections_made(), 1u);
}

/// Servers that forget resting connections cost repeatable requests a second
/// send, but not once-only requests their answer.
TEST_F(BackendPoolTest, OnceOnlyRequestsKeepOffConnectionsThatServersForget) {
  EXPECT_TRUE(call(true));
  rest(milliseconds(150));
  server_.forget();
  EXPECT_FALSE(call(true));
  EXPECT_TRUE(call(true));
  rest(milliseconds(600));
  server_.forget();
  EXPECT_TRUE(call(false));
  EXPECT_EQ(pool_.connections_made(), 3u);
}

/// What is too risky for one request stays there for another.
TEST_F(BackendPoolTest, RiskyConnectionsStayForRepeatableRequests) {
  EXPECT_TRUE(call(true));
  rest(milliseconds(150));
  server_.forget();
  EXPECT_FALSE(call(true));
  EXPECT_TRUE(call(true));
  rest(milliseconds(600));
  EXPECT_TRUE(call(false));
  EXPECT_TRUE(call(true));
  EXPECT_EQ(pool_.connections_made(), 3u);
}

}  // namespace
}  // namespace eelgrasspin::io
