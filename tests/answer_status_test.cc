#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <list>

#include "tests/platform_processes.h"

/// Servers whose answers have a status that no answer can have.
namespace eelgrasspin::platform {
namespace {

using boost::asio::ip::tcp;

/// What a server sends after the status line, and what it does then.
struct AnswerForm {
  const char* name;
  const char* framing;  ///< Header fields that state where the body ends.
  const char* body;
  bool closes = false;
  bool resets = false;
};

constexpr AnswerForm kForms[] = {
    {"length", "Content-Length: 2\r\n", "ok"},
    {"no length", "", "ok", true},
    {"chunked", "Transfer-Encoding: chunked\r\n", "2\r\nok\r\n0\r\n\r\n"},
    {"close", "Content-Length: 2\r\nConnection: close\r\n", "ok", true},
    {"reset", "Content-Length: 2\r\n", "ok", false, true},
    {"second answer", "Content-Length: 0\r\n",
     "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale"},
};

/// Answers each request with the same status, and echoes the request's id.
class OddServer {
 public:
  OddServer(boost::asio::io_context& io, std::string status,
            const AnswerForm& form, bool stamped)
      : status_(std::move(status)),
        form_(form),
        stamped_(stamped),
        acceptor_(
            io, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0)) {
    accept();
  }
  Endpoint endpoint() const {
    return Endpoint("127.0.0.1:" +
                    std::to_string(acceptor_.local_endpoint().port()));
  }
  std::size_t requests() const { return requests_; }

 private:
  struct Peer {
    explicit Peer(tcp::socket accepted) : socket(std::move(accepted)) {}
    tcp::socket socket;
    std::array<char, 4096> buffer{};
    std::string received;
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
        [this, &peer](boost::system::error_code failed, std::size_t count) {
          if (failed) return;
          peer.received.append(peer.buffer.data(), count);
          if (peer.received.find("\r\n\r\n") != std::string::npos) answer(peer);
          if (peer.socket.is_open()) read(peer);
        });
  }

  void answer(Peer& peer) {
    ++requests_;
    const std::string field = std::string(kRequestIdHeader) + ": ";
    std::size_t start = peer.received.find(field);
    std::string id;
    if (start != std::string::npos) {
      start += field.size();
      id = peer.received.substr(start,
                                peer.received.find("\r\n", start) - start);
    }
    peer.received.clear();
    std::string text = "HTTP/1.1 " + status_ + " Odd\r\n" + form_.framing;
    if (!id.empty()) text += field + id + "\r\n";
    if (stamped_) text += std::string(kResponseStampHeader) + ": stamp-odd\r\n";
    text += std::string("\r\n") + form_.body;
    boost::system::error_code ignored;
    boost::asio::write(peer.socket, boost::asio::buffer(text), ignored);
    if (form_.resets) {
      peer.socket.set_option(boost::asio::socket_base::linger(true, 0),
                             ignored);
    }
    if (form_.closes || form_.resets) peer.socket.close(ignored);
  }

  std::string status_;
  AnswerForm form_;
  bool stamped_;
  tcp::acceptor acceptor_;
  std::list<Peer> peers_;
  std::size_t requests_ = 0;
};

class AnswerStatus : public PlatformProcesses {
 protected:
  /// Makes the odd server the only one of the service of once-only requests.
  void list_only(const OddServer& server) {
    for (const auto& book : books_) store_.remove(kServersKind, book->name());
    ServerStandin entry(io_, "i-odd", false);
    entry.address = server.endpoint();
    store_.put(kServersKind, "i-odd", entry.entry("book", "ready"));
  }
};

// Guards against a caller that gets an answer which cannot be one.
TEST(AnswerStatusOnConnection, OutsideTheRangeFailsAtOnce) {
  for (const char* status : {"000", "099", "600", "999"}) {
    for (const AnswerForm& form : kForms) {
      SCOPED_TRACE(std::string(status) + ", " + form.name);
      boost::asio::io_context io;
      OddServer server(io, status, form, true);
      auto connection = io::make_http_connection(io, server.endpoint());
      std::optional<io::HttpResult> result;
      connection->exchange(
          {"GET", "/", {}, {}, {}}, seconds(2),
          [&](io::HttpResult ended) { result = std::move(ended); });
      TimePoint end = io::steady_now() + milliseconds(700);
      while (!result && io::steady_now() < end) {
        io.run_for(std::chrono::milliseconds(5));
        io.restart();
      }
      ASSERT_TRUE(result);
      ASSERT_TRUE(std::holds_alternative<io::HttpFailure>(*result));
      EXPECT_FALSE(connection->idle());
      connection->close();
    }
  }
}

// Guards against a request that waits for an answer which has come.
TEST(AnswerStatusOnConnection, InterimAnswerWithABodyFailsAtOnce) {
  for (const char* status : {"100", "101", "199"}) {
    SCOPED_TRACE(status);
    boost::asio::io_context io;
    OddServer server(io, status, kForms[0], true);
    auto connection = io::make_http_connection(io, server.endpoint());
    std::optional<io::HttpResult> result;
    connection->exchange(
        {"GET", "/", {}, {}, {}}, seconds(2),
        [&](io::HttpResult ended) { result = std::move(ended); });
    TimePoint end = io::steady_now() + milliseconds(700);
    while (!result && io::steady_now() < end) {
      io.run_for(std::chrono::milliseconds(5));
      io.restart();
    }
    ASSERT_TRUE(result);
    EXPECT_TRUE(std::holds_alternative<io::HttpFailure>(*result));
    connection->close();
  }
}

TEST_F(AnswerStatus, OnceOnlyRequestEndsAsLostAndIsNotRepeated) {
  Process process = start(41);
  ASSERT_TRUE(become_ready(process));
  int number = 0;
  for (const char* odd : {"000", "099", "600", "999"}) {
    for (const AnswerForm& form : kForms) {
      for (bool stamped : {true, false}) {
        SCOPED_TRACE(std::string(odd) + ", " + form.name);
        OddServer server(io_, odd, form, stamped);
        list_only(server);
        run_until([] { return false; }, milliseconds(450));
        TimePoint began = io::steady_now();
        std::string id = "odd-" + std::to_string(++number);
        EXPECT_EQ(status(callers(process), once(id)), 502);
        EXPECT_LT(io::steady_now() - began, milliseconds(1500));
        EXPECT_EQ(server.requests(), 1u);
        // A second answer does not belong to the next request.
        EXPECT_EQ(status(callers(process), once(id + "-next")), 502);
        EXPECT_EQ(server.requests(), 2u);
      }
    }
  }
}

TEST_F(AnswerStatus, RepeatableRequestIsServedByAnotherServer) {
  Process process = start(42);
  OddServer server(io_, "000", kForms[0], true);
  ServerStandin entry(io_, "i-odd", true);
  entry.address = server.endpoint();
  json::object added = configuration_with_repeatable_route();
  added["version"] = 8;
  store_.put(kConfigKind, kActiveConfigName, json::serialize(added));
  store_.put(kServersKind, "i-odd", entry.entry("book", "ready"));
  ASSERT_TRUE(become_ready(process));
  // Requests at the same time are spread over all three servers.
  for (const auto& book : books_) book->work = milliseconds(150);
  constexpr std::size_t kParallelRequests = 6;
  std::vector<std::shared_ptr<io::HttpConnection>> connections;
  std::vector<io::HttpResult> results;
  for (std::size_t i = 0; i < kParallelRequests; ++i) {
    io::HttpRequest request = once("safe-" + std::to_string(i));
    request.target = "/s/x";
    connections.push_back(io::make_http_connection(io_, callers(process)));
    connections.back()->exchange(
        request, seconds(3),
        [&](io::HttpResult ended) { results.push_back(std::move(ended)); });
  }
  run_until([&] { return results.size() == kParallelRequests; });
  ASSERT_EQ(results.size(), kParallelRequests);
  for (const io::HttpResult& result : results) {
    ASSERT_TRUE(std::holds_alternative<io::HttpResponse>(result));
    EXPECT_EQ(std::get<io::HttpResponse>(result).status, 200);
  }
  EXPECT_GT(server.requests(), 0u);
  for (const auto& connection : connections) connection->close();
}

}  // namespace
}  // namespace eelgrasspin::platform
