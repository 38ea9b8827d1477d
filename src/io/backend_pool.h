#ifndef EELGRASSPIN_IO_BACKEND_POOL_H_
#define EELGRASSPIN_IO_BACKEND_POOL_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <vector>

#include "io/http_client.h"

namespace eelgrasspin::io {

/// Pool of persistent connections to backend servers. A connection carries one
/// exchange at a time; after a failure it is not reused.
class BackendPool {
 public:
  struct Call {
    HttpRequest request;
    Endpoint address;
    Duration timeout{0};
    /// May run more than once, so that a longer idle connection may be used.
    bool repeatable = false;
    HttpResponseCheck matches_request;
    bool on_new_connection = false;
    /// Whether the connection may be reused after the response; empty: it may.
    HttpResponseCheck keeps_connection;
    /// As in HttpExchangeChecks.
    std::function<bool()> may_send;
    bool response_follows_arrival = false;
  };

  /// What is known of the connection that a call used.
  struct ConnectionUse {
    bool reused = false;  ///< It was not made for this call.
    std::uint32_t skipped_responses = 0;
  };
  using Callback = std::function<void(HttpResult, const ConnectionUse&)>;

  /// All responses that are being read have bodies of `max_response_bytes`
  /// together at most; beyond it, those larger than config::kMinAnswerBytes
  /// fail.
  /// It has at most `max_connections` (0: any number); beyond them, idle ones
  /// are closed, and without any a call fails as not sent.
  explicit BackendPool(
      boost::asio::io_context& io,
      std::size_t max_response_bytes = config::kMaxPoolAnswerBytes,
      std::size_t max_connections = 0);
  ~BackendPool();
  BackendPool(const BackendPool&) = delete;
  BackendPool& operator=(const BackendPool&) = delete;

  /// Returns the call's number for cancel().
  std::uint64_t start(Call call, Callback done);
  /// Closes the call's connection; its callback will not be called.
  void cancel(std::uint64_t number);
  /// Closes idle connections that their servers are about to close.
  void close_expired();
  std::size_t connections() const { return busy_.size() + idle_count(); }
  std::uint64_t connections_made() const { return connections_made_; }
  /// Bytes of the response bodies that are being read.
  std::size_t response_bytes() const { return budget_->used(); }

 private:
  struct Idle {
    std::shared_ptr<HttpConnection> connection;
    Duration keep_alive{0};  ///< Idle time after which the server closes it.
    bool carried_failure = false;
  };
  struct Busy {
    std::shared_ptr<HttpConnection> connection;
    bool reused = false;
    Duration idle_time{0};  ///< Before this call; 0 for a new connection.
    bool carried_failure = false;        ///< In an earlier call.
    HttpResponseCheck keeps_connection;  ///< As in Call.
  };
  std::size_t idle_count() const;
  /// Closes idle connections until another one is allowed.
  bool make_room();
  /// A call that needs a connection more than there may be; nothing is sent.
  std::uint64_t fail_for_room(Callback done);
  Busy new_connection(const Endpoint& address);
  Busy take_connection(const Call& call);
  bool may_reuse(const Idle& idle, bool repeatable, TimePoint now) const;
  /// Longest idle time after which a connection is reused.
  Duration max_idle_time(const Idle& idle, bool repeatable,
                         TimePoint now) const;
  ConnectionUse finish(std::uint64_t number, const Endpoint& address,
                       const HttpResult& result);
  void record_stale_connection(const Busy& busy, const HttpResult& result);

  boost::asio::io_context& io_;
  std::shared_ptr<ByteBudget> budget_;
  std::size_t max_connections_;
  std::map<Endpoint, std::vector<Idle>> idle_;
  std::map<std::uint64_t, Busy> busy_;
  std::set<std::uint64_t> refused_;  ///< Calls that get no connection.
  /// Shortest recent idle time after which a server had dropped a connection
  /// without closing it (0: none), and when that was last seen.
  Duration stale_after_{0};
  TimePoint stale_seen_at_;
  std::uint64_t next_number_ = 1;
  std::uint64_t connections_made_ = 0;
};

}  // namespace eelgrasspin::io

#endif  // EELGRASSPIN_IO_BACKEND_POOL_H_
