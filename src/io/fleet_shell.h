#ifndef EELGRASSPIN_IO_FLEET_SHELL_H_
#define EELGRASSPIN_IO_FLEET_SHELL_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "fleet/reduce.h"
#include "io/backend_pool.h"
#include "io/fleet_ports.h"
#include "io/histogram.h"
#include "io/http_server.h"
#include "io/log_rate_limiter.h"
#include "io/loop_stats.h"
#include "io/store_feed.h"

namespace eelgrasspin::io {

struct ListenAddresses {
  Endpoint callers;
  Endpoint ready;  ///< Answers 200 while the daemon takes new connections.
  Endpoint metrics;
};

/// Runs the decision core of one fleet daemon: passes I/O to it as events, and
/// carries out its effects as I/O.
class FleetShell {
 public:
  FleetShell(boost::asio::io_context& io, fleet::Settings settings,
             ListenAddresses addresses, FleetStore& store,
             KeyOrders& key_orders, const RequestFormat& format,
             std::function<void()> on_stopped);
  FleetShell(const FleetShell&) = delete;
  FleetShell& operator=(const FleetShell&) = delete;

  /// Binds every port; errors name the ports that could not be bound.
  std::vector<Error> bind();
  void start();
  /// Starts a graceful stop: accepts no further connections after
  /// fleet::config::kStopLinger, and calls `on_stopped` when all of them have
  /// ended, at the latest shortly before the platform kills the process.
  void request_stop();
  /// Applies reloaded settings as far as they can change at run time.
  void reload(const fleet::Settings& settings);

 private:
  struct OpenRequest {
    std::shared_ptr<HttpExchange> exchange;
    std::shared_ptr<const std::string> body;
    std::string caller_request_id;
    TimePoint received;
  };

  void apply(const fleet::Event& event);
  void execute(const fleet::Effect& effect);
  /// Runs a handler. An exception of it is logged, and the process goes on.
  template <class Handler>
  bool guard(std::string_view source, Handler handler);
  void on_caller_request(const std::shared_ptr<HttpExchange>& exchange);
  void send_attempt(const fleet::SendAttempt& attempt);
  void end_attempt(AttemptId id, HttpResult result,
                   const BackendPool::ConnectionUse& use);
  HttpServerOptions caller_server_options();
  void answer(RequestId request, HttpResponse response);
  void send_datagrams(const std::string& text, const std::vector<Endpoint>& to);
  void receive_datagram();
  void on_datagram(std::size_t size);
  void on_metrics(const std::shared_ptr<HttpExchange>& exchange);
  void on_log_event(const fleet::LogEvent& event);
  void count_event(const fleet::LogEvent& event);
  void on_order_ended(bool release, const fleet::OrderEnded& ended);
  void record_loop_delay();
  void tick();
  void detect_suspension();
  void apply_caller_limits();
  /// Takes the next step of a graceful stop; called at each tick.
  void advance_stop();

  boost::asio::io_context& io_;
  fleet::Settings settings_;
  ListenAddresses addresses_;
  KeyOrders& key_orders_;
  const RequestFormat& format_;
  std::function<void()> on_stopped_;
  fleet::State state_;
  StoreFeed store_feed_;
  BackendPool backend_pool_;
  HttpServer caller_server_;
  HttpServer ready_server_;
  HttpServer metrics_server_;
  boost::asio::ip::udp::socket peer_socket_;
  boost::asio::ip::udp::endpoint datagram_sender_;
  std::vector<char> datagram_;
  boost::asio::steady_timer tick_timer_;
  std::map<RequestId, OpenRequest> open_requests_;
  std::map<AttemptId, std::uint64_t> attempt_calls_;
  std::uint64_t next_request_id_ = 1;
  std::shared_ptr<const fleet::Configuration> limits_configuration_;
  TimePoint last_tick_;
  TimePoint last_cleanup_;
  Duration suspended_time_{0};  ///< Total suspended time.
  bool closing_ = false;
  LogRateLimiter log_limiter_;
  std::map<std::string, std::uint64_t> event_counts_;
  std::map<std::string, std::uint64_t> request_end_counts_;
  /// Orders to servers by labels: those sent, and those that have ended.
  std::map<std::string, std::uint64_t> sent_order_counts_;
  std::map<std::string, std::uint64_t> ended_order_counts_;
  LoopStats loop_stats_;
  Histogram request_age_;
  Histogram request_latency_;
  Histogram attempt_latency_;
};

}  // namespace eelgrasspin::io

#endif  // EELGRASSPIN_IO_FLEET_SHELL_H_
