#include "tests/platform_processes.h"
#include "tests/raw_server.h"

/// Answers with a line in their header that is no field, or that can be read as
/// one or as part of the line before it.
namespace eelgrasspin::platform {
namespace {

using namespace std::string_literals;
using io::HttpFailure;
using io::HttpResponse;
using io::HttpResult;

constexpr std::size_t kBodyBytes = 3000;
constexpr char kStatusLine[] = "HTTP/1.1 200 OK\r\n";
constexpr char kLength[] = "Content-Length: 3000\r\n";

std::string body() { return std::string(kBodyBytes, 'b'); }

/// Lines whose field name is malformed or missing, without their line ends.
std::vector<std::string> malformed_fields() {
  return {"X Odd: v",    "X-Odd : v",    "X-Odd\t: v",   "X-O\001dd: v",
          "X-O\0dd: v"s, "X-O\013dd: v", "X-O\177dd: v", "X-O\rdd: v",
          "X-O\ndd: v",  "X-O\351dd: v", ": v",          "X-Odd"};
}

/// Malformed lines that a lenient reader takes for the framing of the body.
std::vector<std::string> malformed_framing_fields() {
  return {"Content-Length : 3000",       "Content-Length\t: 3000",
          "Content-\001Length: 3000",    "Content-Length\0: 3000"s,
          "Transfer-Encoding : chunked", "Transfer-\001Encoding: chunked"};
}

/// Lines that continue the field before them in the old line folding of HTTP.
std::vector<std::string> folded_lines() {
  return {" X-Odd: v", "\tX-Odd: v", " : v", " v", " ", "\t"};
}

/// The line before and after the length, as the header of an answer.
std::vector<std::string> headers_with(const std::string& line) {
  return {kStatusLine + line + "\r\n" + kLength,
          std::string(kStatusLine) + kLength + line + "\r\n"};
}

class AnswerHeaderOnConnection : public ::testing::Test {
 protected:
  ~AnswerHeaderOnConnection() override {
    if (connection_) connection_->close();
  }

  void start_exchange(const Endpoint& server) {
    if (connection_) connection_->close();
    connection_ = io::make_http_connection(io_, server);
    result_.reset();
    connection_->exchange(
        {"GET", "/", {}, {}, {}}, seconds(5),
        [this](HttpResult ended) { result_ = std::move(ended); });
  }

  /// Whether the exchange ends well before its time is over.
  bool run_exchange() {
    TimePoint end = io::steady_now() + seconds(2);
    while (!result_ && io::steady_now() < end) run(milliseconds(5));
    return result_.has_value();
  }

  void run(Duration duration) {
    io_.run_for(duration);
    io_.restart();
  }

  void expect_failure(const RawAnswer& answer) {
    RawServer server(io_, answer);
    start_exchange(server.endpoint());
    ASSERT_TRUE(run_exchange());
    EXPECT_TRUE(std::holds_alternative<HttpFailure>(*result_));
    EXPECT_FALSE(connection_->idle());
  }

  boost::asio::io_context io_;
  std::shared_ptr<io::HttpConnection> connection_;
  std::optional<HttpResult> result_;
};

TEST_F(AnswerHeaderOnConnection, MalformedFieldNameFailsAtOnce) {
  for (const std::string& line : malformed_fields()) {
    for (const std::string& header : headers_with(line)) {
      SCOPED_TRACE(::testing::PrintToString(header));
      expect_failure({header, {body()}});
    }
  }
}

TEST_F(AnswerHeaderOnConnection, MalformedFramingFieldFailsAtOnce) {
  for (const std::string& line : malformed_framing_fields()) {
    SCOPED_TRACE(::testing::PrintToString(line));
    expect_failure({kStatusLine + line + "\r\n", {body()}});
    for (const std::string& header : headers_with(line)) {
      expect_failure({header, {body()}});
    }
  }
}

TEST_F(AnswerHeaderOnConnection, MalformedTrailerFailsAtOnce) {
  for (const std::string& line : malformed_fields()) {
    SCOPED_TRACE(::testing::PrintToString(line));
    expect_failure({std::string(kStatusLine) + "Transfer-Encoding: chunked\r\n",
                    {"bb8\r\n" + body() + "\r\n0\r\n" + line + "\r\n\r\n"}});
  }
}

TEST_F(AnswerHeaderOnConnection, FoldedLineFailsAtOnce) {
  for (const std::string& line : folded_lines()) {
    for (const std::string& header : headers_with(line)) {
      SCOPED_TRACE(::testing::PrintToString(header));
      expect_failure({header, {body()}});
    }
  }
  // Framing in a folded line.
  for (const char* line : {" Content-Length: 3000", "\tContent-Length: 3000",
                           " Transfer-Encoding: chunked"}) {
    SCOPED_TRACE(line);
    expect_failure({std::string(kStatusLine) + "X-Field: v\r\n" + line + "\r\n",
                    {body()}});
  }
}

TEST_F(AnswerHeaderOnConnection, FoldedLineOfAnInterimAnswerFailsAtOnce) {
  expect_failure({std::string("HTTP/1.1 103 Early Hints\r\n") +
                      "X-Field: v\r\n X-Odd: v\r\n\r\n" + kStatusLine + kLength,
                  {body()}});
  expect_failure({std::string("HTTP/1.1 103 Early Hints\r\n\r\n") +
                      kStatusLine + kLength + " X-Odd: v\r\n",
                  {body()}});
}

/// Sends an answer in two pieces, divided at any place of its header.
TEST_F(AnswerHeaderOnConnection, FoldedLineIsFoundInAnyPieces) {
  const std::string bytes = std::string(kStatusLine) + kLength +
                            "X-Field: v\r\n X-Odd: v\r\n\r\n" + body();
  const std::size_t header_bytes = bytes.size() - kBodyBytes;
  using boost::asio::ip::tcp;
  tcp::acceptor acceptor(io_, {boost::asio::ip::make_address("127.0.0.1"), 0});
  for (std::size_t cut = 1; cut <= header_bytes; ++cut) {
    SCOPED_TRACE(cut);
    start_exchange(io::to_endpoint(acceptor.local_endpoint()));
    tcp::socket peer = acceptor.accept();
    peer.set_option(tcp::no_delay(true));
    for (const std::string& piece : {bytes.substr(0, cut), bytes.substr(cut)}) {
      boost::system::error_code ignored;
      boost::asio::write(peer, boost::asio::buffer(piece), ignored);
      run(milliseconds(2));
    }
    ASSERT_TRUE(run_exchange());
    EXPECT_TRUE(std::holds_alternative<HttpFailure>(*result_));
  }
}

TEST_F(AnswerHeaderOnConnection, WhiteSpaceOutsideOfLineStartsIsNoFold) {
  const std::string blank_lines = "\r\n b\r\n\tb";
  const std::string text = blank_lines + body().substr(blank_lines.size());
  RawServer server(io_, {std::string(kStatusLine) + "X-Field:  v w\t\r\n" +
                             "X-Empty: \r\n" + kLength,
                         {text}});
  start_exchange(server.endpoint());
  ASSERT_TRUE(run_exchange());
  const auto* response = std::get_if<HttpResponse>(&*result_);
  ASSERT_NE(response, nullptr);
  EXPECT_EQ(*io::find_header(response->headers, "X-Field"), "v w");
  EXPECT_EQ(response->body, text);
}

class AnswerHeader : public PlatformProcesses {
 protected:
  /// Starts a daemon whose only server of once-only and repeatable requests is
  /// the given one.
  Process& start_with(int number, const RawServer& server) {
    list_only_server(server.endpoint());
    Process& process = start(number);
    EXPECT_TRUE(become_ready(process));
    return process;
  }
};

TEST_F(AnswerHeader, CallerGetsNoAnswerWithAMalformedHeader) {
  RawServer server(io_, {});
  Process& process = start_with(53, server);
  std::vector<std::string> headers;
  for (const char* line :
       {"X Odd: v", "X-Odd : v", "X-O\001dd: v", "Content-Length : 3000",
        " X-Odd: v", "\tX-Odd: v", " : v"}) {
    for (std::string& header : headers_with(line))
      headers.push_back(std::move(header));
  }
  headers.push_back(std::string(kStatusLine) + " Content-Length: 3000\r\n");
  int number = 0;
  for (const std::string& header : headers) {
    for (const char* path : {"/o/x", "/s/x"}) {
      SCOPED_TRACE(::testing::PrintToString(header) + path);
      server.set_answer({header, {body()}});
      std::size_t requests = server.requests();
      io::HttpRequest request = once("header-" + std::to_string(++number));
      request.target = path;
      TimePoint began = io::steady_now();
      EXPECT_EQ(status(callers(process), request), 502);
      EXPECT_LT(io::steady_now() - began, milliseconds(1500));
      EXPECT_GT(server.requests(), requests);
    }
  }
}

}  // namespace
}  // namespace eelgrasspin::platform
