#ifndef EELGRASSPIN_IO_BACKEND_POOL_H_
#define EELGRASSPIN_IO_BACKEND_POOL_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <vector>

#include "io/http_client.h"

namespace eelgrasspin::io {

/// Kept connections to backend servers. Each exchange has a connection to
/// itself; one on which anything went wrong is not used again.
class BackendPool {
 public:
  struct Call {
    HttpRequest request;
    Endpoint address;
    Duration limit{0};
    /// May run twice: an older kept connection may be risked.
    bool repeatable = false;
    HttpResponseCheck matches_request;
  };

  explicit BackendPool(boost::asio::io_context& io) : io_(io) {}
  ~BackendPool();
  BackendPool(const BackendPool&) = delete;
  BackendPool& operator=(const BackendPool&) = delete;

  /// Returns the call's number for cancel().
  std::uint64_t start(Call call, HttpCallback done);
  /// Closes the call's connection; its callback is not called any more.
  void cancel(std::uint64_t number);
  /// Closes idle connections that the servers are about to close.
  void drop_old();
  std::uint64_t connections_made() const { return made_; }

 private:
  struct Idle {
    std::shared_ptr<HttpConnection> connection;
    Duration keep_for{0};  ///< As the server named it.
  };
  struct Busy {
    std::shared_ptr<HttpConnection> connection;
    Duration rested{0};  ///< Idle for this long before; 0 if it is new.
  };
  Busy take(const Endpoint& address, bool repeatable);
  /// Longest rest after which a connection is used again.
  Duration longest_rest(const Idle& idle, bool repeatable, TimePoint now) const;
  void finish(std::uint64_t number, const Endpoint& address,
              const HttpResult& result);
  void learn_rest(const Busy& busy, const HttpResult& result);

  boost::asio::io_context& io_;
  std::map<Endpoint, std::vector<Idle>> idle_;
  std::map<std::uint64_t, Busy> busy_;
  /// The shortest rest after which a connection turned out to be forgotten by
  /// its server, and when that was seen last.
  Duration forgotten_after_{0};
  TimePoint forgotten_at_;
  std::uint64_t next_ = 1;
  std::uint64_t made_ = 0;
};

}  // namespace eelgrasspin::io

#endif  // EELGRASSPIN_IO_BACKEND_POOL_H_
