#include <boost/asio/write.hpp>

#include "tests/platform_processes.h"
#include "tests/raw_server.h"

/// Answers whose connection is reset before they are complete. The end of the
/// stream ends an answer without a length, but only if the connection has ended
/// in order.
namespace eelgrasspin::platform {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using io::HttpFailure;
using io::HttpFailureKind;
using io::HttpResponse;
using io::HttpResult;

/// More than the socket buffers of both sides hold, so that the write is still
/// pending when the server resets the connection.
constexpr std::size_t kUploadBytes = 16 * 1024 * 1024;
constexpr int kReceiveBufferBytes = 4096;
constexpr std::size_t kPartBytes = 3000;

const std::string& upload() {
  static const std::string kBytes(kUploadBytes, 'u');
  return kBytes;
}
std::string part(char filling = 'p') {
  return std::string(kPartBytes, filling);
}

struct AnswerForm {
  const char* name;
  RawAnswer answer;
};

/// Answers that only the end of their connection could complete.
std::vector<AnswerForm> forms_without_length() {
  return {
      {"no length", {"HTTP/1.1 200 OK\r\n", {part()}}},
      {"two parts", {"HTTP/1.1 200 OK\r\n", {part(), part('q')}}},
      {"HTTP/1.0", {"HTTP/1.0 200 OK\r\n", {part()}}},
      {"close", {"HTTP/1.1 200 OK\r\nConnection: close\r\n", {part()}}},
      {"no body", {"HTTP/1.1 200 OK\r\n", {}}},
      {"500", {"HTTP/1.1 500 Internal Server Error\r\n", {part()}}},
  };
}

/// Answers that state where they end, of which a part is sent.
std::vector<AnswerForm> forms_with_length() {
  return {
      {"length", {"HTTP/1.1 200 OK\r\nContent-Length: 9000\r\n", {part()}}},
      {"chunked",
       {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n",
        {"bb8\r\n" + part() + "\r\n"}}},
  };
}

class IncompleteAnswerOnConnection : public ::testing::Test {
 protected:
  /// The result of an upload over a new connection.
  HttpResult exchange(const RawServer& server) {
    connection_ = io::make_http_connection(io_, server.endpoint());
    std::optional<HttpResult> result;
    connection_->exchange({"POST", "/", {}, upload(), {}}, seconds(10),
                          [&](HttpResult ended) { result = std::move(ended); });
    TimePoint end = io::steady_now() + seconds(15);
    while (!result && io::steady_now() < end) {
      io_.run_for(std::chrono::milliseconds(5));
      io_.restart();
    }
    return result.value_or(HttpFailure{});
  }

  void expect_incomplete(const RawAnswer& answer) {
    RawServer server(io_, answer, kReceiveBufferBytes);
    HttpResult result = exchange(server);
    const auto* failure = std::get_if<HttpFailure>(&result);
    ASSERT_NE(failure, nullptr)
        << std::get<HttpResponse>(result).body.size() << " bytes of an answer";
    EXPECT_TRUE(failure->kind == HttpFailureKind::kTruncated ||
                failure->kind == HttpFailureKind::kClosed);
    EXPECT_TRUE(connection_->closed());
  }

  void expect_complete(const HttpResult& result, const std::string& body) {
    const auto* response = std::get_if<HttpResponse>(&result);
    ASSERT_NE(response, nullptr) << std::get<HttpFailure>(result).why;
    EXPECT_EQ(response->status, 200);
    EXPECT_EQ(response->body, body);
  }

  asio::io_context io_;
  std::shared_ptr<io::HttpConnection> connection_;
};

TEST_F(IncompleteAnswerOnConnection, ResetDuringTheUploadCompletesNoAnswer) {
  for (auto forms : {forms_without_length(), forms_with_length()}) {
    for (AnswerForm& form : forms) {
      for (int delay_ms : {0, 1, 20, 200}) {
        SCOPED_TRACE(std::string(form.name) + ", reset after " +
                     std::to_string(delay_ms) + " ms");
        form.answer.end = ConnectionEnd::kReset;
        form.answer.end_delay = milliseconds(delay_ms);
        expect_incomplete(form.answer);
      }
    }
  }
}

TEST_F(IncompleteAnswerOnConnection, CloseWithUnreadUploadCompletesNoAnswer) {
  // Closing with unread input resets the connection.
  for (AnswerForm& form : forms_without_length()) {
    SCOPED_TRACE(form.name);
    form.answer.end = ConnectionEnd::kClosed;
    form.answer.end_delay = milliseconds(20);
    expect_incomplete(form.answer);
  }
}

TEST_F(IncompleteAnswerOnConnection, ResetAfterTheUploadCompletesNoAnswer) {
  for (AnswerForm& form : forms_without_length()) {
    SCOPED_TRACE(form.name);
    form.answer.after_whole_request = true;
    form.answer.end = ConnectionEnd::kReset;
    form.answer.end_delay = milliseconds(20);
    expect_incomplete(form.answer);
  }
}

/// Orders to servers and calls to the store go through HttpClient.
TEST_F(IncompleteAnswerOnConnection, OrdersAndStoreCallsGetNoPartOfAnAnswer) {
  RawAnswer answer = {"HTTP/1.1 200 OK\r\n", {part()}};
  answer.end = ConnectionEnd::kReset;
  answer.end_delay = milliseconds(20);
  RawServer server(io_, answer, kReceiveBufferBytes);
  io::HttpClient client(io_, server.endpoint());
  std::optional<HttpResult> result;
  client.call({"PUT", "/", {}, upload(), {}}, seconds(5),
              [&](HttpResult ended) { result = std::move(ended); });
  while (!result) io_.run_one();
  const auto* failure = std::get_if<HttpFailure>(&*result);
  ASSERT_NE(failure, nullptr);
  EXPECT_EQ(failure->kind, HttpFailureKind::kTruncated);
}

/// A server in the thread of the client, so that a reset comes between two of
/// the client's handlers.
class ResetBetweenHandlers {
 public:
  ResetBetweenHandlers()
      : acceptor_(server_io_, {asio::ip::make_address("127.0.0.1"), 0}) {}

  /// Sends a part of an answer, and resets the connection once the client has
  /// run this many handlers since. Reads what arrives, so that the client goes
  /// on writing.
  HttpResult upload_and_reset_after(int handler_count) {
    std::optional<HttpResult> result;
    auto connection = io::make_http_connection(
        client_io_, io::to_endpoint(acceptor_.local_endpoint()));
    io::HttpRequest request{"POST", "/", {}, {}, {}};
    request.shared_body = body_;
    connection->exchange(request, seconds(10),
                         [&](HttpResult ended) { result = std::move(ended); });
    tcp::socket peer = acceptor_.accept();
    while (discard_input(peer) == 0) client_io_.poll_one();
    asio::write(peer, asio::buffer("HTTP/1.1 200 OK\r\n\r\n" + part()));
    for (int i = 0; i < handler_count; ++i) {
      discard_input(peer);
      client_io_.poll_one();
    }
    EXPECT_FALSE(result);
    peer.set_option(asio::socket_base::linger(true, 0));
    peer.close();
    while (!result) client_io_.run_one();
    connection->close();
    client_io_.run();
    client_io_.restart();
    return *result;
  }

 private:
  std::size_t discard_input(tcp::socket& peer) {
    error_code failed;
    if (peer.available(failed) == 0) return 0;
    return peer.read_some(asio::buffer(buffer_), failed);
  }

  asio::io_context server_io_;
  asio::io_context client_io_;
  tcp::acceptor acceptor_;
  std::vector<char> buffer_ = std::vector<char>(1024 * 1024);
  std::shared_ptr<const std::string> body_ =
      std::make_shared<std::string>(8 * kUploadBytes, 'u');
};

TEST(IncompleteAnswerBetweenHandlers,
     ResetBetweenAnyTwoHandlersCompletesNoAnswer) {
  constexpr int kMaxHandlers = 100;
  ResetBetweenHandlers server;
  for (int handlers = 0; handlers < kMaxHandlers; ++handlers) {
    HttpResult result = server.upload_and_reset_after(handlers);
    EXPECT_TRUE(std::holds_alternative<HttpFailure>(result))
        << "reset after " << handlers << " handlers";
  }
}

TEST_F(IncompleteAnswerOnConnection, CloseAfterTheUploadCompletesTheAnswer) {
  RawAnswer answer = {"HTTP/1.1 200 OK\r\n", {part(), part('q')}};
  answer.after_whole_request = true;
  answer.end = ConnectionEnd::kClosed;
  RawServer server(io_, answer, kReceiveBufferBytes);
  expect_complete(exchange(server), part() + part('q'));
  EXPECT_EQ(server.body_bytes_read(), kUploadBytes);
}

TEST_F(IncompleteAnswerOnConnection,
       HalfCloseDuringTheUploadCompletesTheAnswer) {
  for (int delay_ms : {0, 20}) {
    RawAnswer answer = {"HTTP/1.1 200 OK\r\n", {part(), part('q')}};
    answer.end = ConnectionEnd::kHalfClosed;
    answer.end_delay = milliseconds(delay_ms);
    RawServer server(io_, answer, kReceiveBufferBytes);
    expect_complete(exchange(server), part() + part('q'));
  }
}

TEST_F(IncompleteAnswerOnConnection, ResetAfterACompleteAnswerKeepsIt) {
  for (const RawAnswer& complete :
       {RawAnswer{"HTTP/1.1 200 OK\r\nContent-Length: 3000\r\n", {part()}},
        RawAnswer{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n",
                  {"bb8\r\n" + part() + "\r\n0\r\n\r\n"}}}) {
    SCOPED_TRACE(complete.header);
    for (int delay_ms : {0, 20}) {
      RawAnswer answer = complete;
      answer.end = ConnectionEnd::kReset;
      answer.end_delay = milliseconds(delay_ms);
      RawServer server(io_, answer, kReceiveBufferBytes);
      expect_complete(exchange(server), part());
      EXPECT_TRUE(connection_->closed());
    }
  }
}

class IncompleteAnswer : public PlatformProcesses {
 protected:
  /// Starts a daemon whose only server of once-only and repeatable uploads is
  /// the given one.
  Process& start_with(int number, const RawServer& server) {
    list_only_server(server.endpoint(), 2 * kUploadBytes);
    Process& process = start(number);
    EXPECT_TRUE(become_ready(process));
    return process;
  }

  HttpResult send_upload(const Process& process, const std::string& id,
                         const char* path) {
    io::HttpRequest request = once(id);
    request.target = path;
    request.body = upload();
    return call(callers(process), request);
  }
};

TEST_F(IncompleteAnswer, CallerGetsNoPartOfAnAnswer) {
  RawServer server(io_, {}, kReceiveBufferBytes);
  Process& process = start_with(51, server);
  int number = 0;
  for (AnswerForm& form : forms_without_length()) {
    for (int delay_ms : {1, 200}) {
      for (const char* path : {"/o/x", "/s/x"}) {
        SCOPED_TRACE(std::string(form.name) + ", reset after " +
                     std::to_string(delay_ms) + " ms, " + path);
        form.answer.end = ConnectionEnd::kReset;
        form.answer.end_delay = milliseconds(delay_ms);
        server.set_answer(form.answer);
        std::size_t requests = server.requests();
        HttpResult result =
            send_upload(process, "reset-" + std::to_string(++number), path);
        const auto* answer = std::get_if<HttpResponse>(&result);
        ASSERT_NE(answer, nullptr);
        EXPECT_EQ(answer->status, 502);
        EXPECT_EQ(io::find_header(answer->headers, kResponseStampHeader),
                  nullptr);
        EXPECT_GT(server.requests(), requests);
      }
    }
  }
}

TEST_F(IncompleteAnswer, CallerGetsAnswersThatEndInOrder) {
  RawServer server(io_, {}, kReceiveBufferBytes);
  Process& process = start_with(52, server);
  RawAnswer after_upload = {"HTTP/1.1 200 OK\r\n", {part(), part('q')}};
  after_upload.after_whole_request = true;
  after_upload.end = ConnectionEnd::kClosed;
  RawAnswer early = {"HTTP/1.1 200 OK\r\n", {part(), part('q')}};
  early.end = ConnectionEnd::kHalfClosed;
  RawAnswer with_length = {"HTTP/1.1 200 OK\r\nContent-Length: 6000\r\n",
                           {part(), part('q')}};
  with_length.end = ConnectionEnd::kReset;
  int number = 0;
  for (const RawAnswer& answer : {after_upload, early, with_length}) {
    for (const char* path : {"/o/x", "/s/x"}) {
      SCOPED_TRACE(std::to_string(number));
      server.set_answer(answer);
      HttpResult result =
          send_upload(process, "whole-" + std::to_string(++number), path);
      const auto* response = std::get_if<HttpResponse>(&result);
      ASSERT_NE(response, nullptr);
      EXPECT_EQ(response->status, 200);
      EXPECT_EQ(response->body, part() + part('q'));
    }
  }
}

}  // namespace
}  // namespace eelgrasspin::platform
