#ifndef EELGRASSPIN_TESTS_IO_TEST_UTIL_H_
#define EELGRASSPIN_TESTS_IO_TEST_UTIL_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <string>
#include <string_view>

#include "eelgrasspin/ids.h"
#include "io/endpoint.h"

namespace eelgrasspin {

inline const Endpoint kAnyPort("127.0.0.1:0");

/// Runs the context until `done()` is true. Returns false after 20 s, so that a
/// hung test ends.
template <class Predicate>
bool run_until(boost::asio::io_context& io, Predicate done) {
  auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(20);
  while (!done()) {
    if (std::chrono::steady_clock::now() > deadline) return false;
    io.restart();
    io.run_one_for(std::chrono::milliseconds(5));
  }
  return true;
}

inline void run_for(boost::asio::io_context& io,
                    std::chrono::milliseconds duration) {
  io.restart();
  io.run_for(duration);
}

/// A client that sends arbitrary bytes.
class RawClient {
 public:
  RawClient(boost::asio::io_context& io, const Endpoint& server)
      : io_(io), socket_(io) {
    socket_.connect(*io::parse_endpoint(server));
    socket_.non_blocking(true);
  }

  void send(std::string_view text) {
    boost::system::error_code ignored;
    boost::asio::write(socket_, boost::asio::buffer(text.data(), text.size()),
                       ignored);
  }

  /// Appends everything received until the server closes the connection. False
  /// if it does not close it.
  bool read_to_end(std::string& received) {
    return run_until(io_, [&] { return !read_some(received); });
  }

  bool read_until(std::string& received, std::string_view text) {
    return run_until(io_, [&] {
      read_some(received);
      return received.find(text) != std::string::npos;
    });
  }

  void close() { socket_.close(); }

  /// Appends what has been received. False at the end of the stream.
  bool read_some(std::string& received) {
    char chunk[4096];
    boost::system::error_code failed;
    std::size_t count = socket_.read_some(boost::asio::buffer(chunk), failed);
    received.append(chunk, count);
    return !failed || failed == boost::asio::error::would_block;
  }

 private:
  boost::asio::io_context& io_;
  boost::asio::ip::tcp::socket socket_;
};

}  // namespace eelgrasspin

#endif  // EELGRASSPIN_TESTS_IO_TEST_UTIL_H_
