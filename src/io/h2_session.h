#ifndef EELGRASSPIN_IO_H2_SESSION_H_
#define EELGRASSPIN_IO_H2_SESSION_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "eelgrasspin/ids.h"
#include "eelgrasspin/units.h"
#include "io/http_types.h"

namespace eelgrasspin::io {

/// Header fields, including pseudo-header fields, and body of one direction of
/// a stream.
struct H2Message {
  HeaderFields headers;
  std::string body;
};

/// How a stream ended for its client.
enum class H2StreamEnd : std::uint8_t {
  kComplete,      ///< The complete response was received.
  kNotProcessed,  ///< Never sent, refused, or above the last id of a GOAWAY.
  kLost,          ///< Reset, or connection ended, before a complete response.
};

/// One HTTP/2 connection between daemons. Not thread safe.
class H2Session {
 public:
  using StreamId = std::int32_t;
  using ResponseCallback = std::function<void(H2StreamEnd, H2Message)>;

  struct Handlers {
    std::function<void(StreamId, H2Message)> on_request;  ///< Server side only.
    /// The client has cancelled a stream that has no response yet. Server side
    /// only.
    std::function<void(StreamId)> on_cancelled;
    std::function<void()> on_closed;
  };

  virtual ~H2Session() = default;
  /// Client side: sends a request. `done` is called once unless the stream is
  /// cancelled.
  virtual StreamId submit(H2Message request, ResponseCallback done) = 0;
  /// Client side: resets a stream; its callback will not be called.
  virtual void cancel(StreamId stream) = 0;
  /// Server side: answers a request; ignored if the stream has ended.
  virtual void respond(StreamId stream, H2Message response) = 0;
  /// Refuses new streams and closes once the open ones have ended.
  virtual void shut_down() = 0;
  /// Closes at once.
  virtual void close() = 0;
  /// New streams may be submitted.
  virtual bool can_submit() const = 0;
  virtual bool connected() const = 0;
  /// When bytes were last received, on the steady clock.
  virtual TimePoint last_received() const = 0;
  virtual std::size_t open_streams() const = 0;
  /// No stream is open and all output was passed to the socket.
  virtual bool flushed() const = 0;
  /// Stops reading and writing without closing. For tests.
  virtual void stall() = 0;
};

std::shared_ptr<H2Session> connect_h2(boost::asio::io_context& io,
                                      const Endpoint& endpoint,
                                      H2Session::Handlers handlers);
std::shared_ptr<H2Session> accept_h2(boost::asio::ip::tcp::socket socket,
                                     H2Session::Handlers handlers);

}  // namespace eelgrasspin::io

#endif  // EELGRASSPIN_IO_H2_SESSION_H_
