#include "store_client.h"

#include <gtest/gtest.h>

#include <list>
#include <optional>

#include "tests/io_test_util.h"

/// Calls to the store over loopback connections.
namespace eelgrasspin::platform {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

/// A store that keeps each call until the test has it answered.
class AnsweringStore {
 public:
  explicit AnsweringStore(boost::asio::io_context& io)
      : acceptor_(
            io, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0)) {
    accept();
  }
  Endpoint endpoint() const {
    return Endpoint("127.0.0.1:" +
                    std::to_string(acceptor_.local_endpoint().port()));
  }
  std::size_t calls() const { return calls_.size(); }
  /// Answers a call, by its place in the order of arrival; again if it has been
  /// answered.
  void answer(std::size_t call, std::string_view status,
              const std::string& body) {
    std::string text = "HTTP/1.1 " + std::string(status) +
                       "\r\nContent-Length: " + std::to_string(body.size()) +
                       "\r\n\r\n" + body;
    error_code ignored;
    boost::asio::write(calls_[call]->socket, boost::asio::buffer(text),
                       ignored);
  }

 private:
  struct Peer {
    explicit Peer(tcp::socket accepted) : socket(std::move(accepted)) {}
    tcp::socket socket;
    std::array<char, 4096> buffer{};
  };

  void accept() {
    acceptor_.async_accept([this](error_code failed, tcp::socket socket) {
      if (failed) return;
      receive(peers_.emplace_back(std::move(socket)));
      accept();
    });
  }
  void receive(Peer& peer) {
    peer.socket.async_read_some(boost::asio::buffer(peer.buffer),
                                [this, &peer](error_code failed, std::size_t) {
                                  if (failed) return;
                                  calls_.push_back(&peer);
                                  receive(peer);
                                });
  }

  tcp::acceptor acceptor_;
  std::list<Peer> peers_;
  std::vector<Peer*> calls_;
};

class StoreClientTest : public ::testing::Test {
 protected:
  std::shared_ptr<std::optional<io::ChangeResult>> write() {
    std::size_t calls = store_.calls();
    auto result = std::make_shared<std::optional<io::ChangeResult>>();
    client_.replace_record(
        "owners.board", Version(4), "{}",
        [result](io::ChangeResult ended) { *result = std::move(ended); });
    EXPECT_TRUE(run_until(io_, [&] { return store_.calls() > calls; }));
    return result;
  }
  static bool conflicts(const io::ChangeResult& result) {
    const auto* failure = std::get_if<io::StoreFailure>(&result);
    return failure != nullptr &&
           failure->kind == io::StoreFailureKind::kConflict;
  }

  boost::asio::io_context io_;
  AnsweringStore store_{io_};
  StoreClient client_{io_, store_.endpoint()};
  const std::string written_ =
      R"({"metadata":{"name":"owners.board","rev":5}})";
};

/// Guards against taking the late answer to a write that was given up for the
/// answer to the next one.
TEST_F(StoreClientTest, LateAnswerToAWriteIsNotThatToTheNext) {
  auto first = write();
  ASSERT_TRUE(run_until(io_, [&] { return first->has_value(); }));
  auto second = write();
  store_.answer(0, "200 OK", written_);
  run_for(io_, std::chrono::milliseconds(50));
  EXPECT_FALSE(second->has_value());
  store_.answer(1, "409 Conflict", "{}");
  ASSERT_TRUE(run_until(io_, [&] { return second->has_value(); }));
  EXPECT_TRUE(conflicts(**second));
}

/// Guards against taking a surplus answer, which a busy event loop has not
/// noticed, for the answer to a write that is sent after it.
TEST_F(StoreClientTest, SurplusAnswerIsNotThatToTheNextWrite) {
  auto first = write();
  store_.answer(0, "200 OK", written_);
  ASSERT_TRUE(run_until(io_, [&] { return first->has_value(); }));
  store_.answer(0, "200 OK", written_);
  auto second = write();
  store_.answer(1, "409 Conflict", "{}");
  ASSERT_TRUE(run_until(io_, [&] { return second->has_value(); }));
  EXPECT_TRUE(conflicts(**second));
}

}  // namespace
}  // namespace eelgrasspin::platform
