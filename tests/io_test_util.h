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

/// Runs the context until `done()` holds. False if that takes longer than a
/// hung test may.
template <class Predicate>
bool run_until(boost::asio::io_context& io, Predicate done) {
  auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(20);
  while (!done()) {
    if (std::chrono::steady_clock::now() > limit) return false;
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

/// A client that sends bytes as they are.
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

  /// Everything received until the server closes; false if it does not.
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

 private:
  /// False at the end of the stream.
  bool read_some(std::string& received) {
    char part[4096];
    boost::system::error_code failed;
    std::size_t count = socket_.read_some(boost::asio::buffer(part), failed);
    received.append(part, count);
    return !failed || failed == boost::asio::error::would_block;
  }

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::socket socket_;
};

}  // namespace eelgrasspin

#endif  // EELGRASSPIN_TESTS_IO_TEST_UTIL_H_
