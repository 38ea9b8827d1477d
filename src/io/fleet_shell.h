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
#include "io/store_feed.h"

namespace eelgrasspin::io {

struct ListenAddresses {
  Endpoint callers;
  Endpoint ready;  ///< Answers 200 while new connections are welcome.
  Endpoint metrics;
};

/// Runs the decision core of one fleet daemon: turns I/O into events, and
/// effects into I/O.
class FleetShell {
 public:
  FleetShell(boost::asio::io_context& io, fleet::Settings settings,
             ListenAddresses addresses, FleetStore& store, KeyOrders& orders,
             const RequestFormat& format, std::function<void()> stopped);
  FleetShell(const FleetShell&) = delete;
  FleetShell& operator=(const FleetShell&) = delete;

  /// Binds every port; errors say which could not be bound.
  std::vector<Error> bind();
  void start();
  /// Stops accepting, serves what is open, then calls `stopped`.
  void request_stop();
  /// The settings were read again; what can change while running is taken over.
  void reload(const fleet::Settings& settings);

 private:
  struct Open {
    std::shared_ptr<HttpExchange> exchange;
    std::string caller_request_id;
    TimePoint received;
  };

  void apply(const fleet::Event& event);
  void execute(const fleet::Effect& effect);
  void on_exchange(const std::shared_ptr<HttpExchange>& exchange);
  void send_attempt(const fleet::SendAttempt& attempt);
  void end_attempt(AttemptId id, HttpResult result);
  void answer(RequestId request, HttpResponse answer);
  void send_datagrams(const std::string& text, const std::vector<Endpoint>& to);
  void receive_datagram();
  void on_datagram(std::size_t size);
  void on_metrics(const std::shared_ptr<HttpExchange>& exchange);
  void log(const fleet::Note& note);
  void count(const fleet::Note& note);
  void tick();
  void watch_clock();
  void follow_limits();
  void finish_stop();

  boost::asio::io_context& io_;
  fleet::Settings settings_;
  ListenAddresses addresses_;
  KeyOrders& orders_;
  const RequestFormat& format_;
  std::function<void()> stopped_;
  fleet::State state_;
  StoreFeed feed_;
  BackendPool pool_;
  HttpServer callers_;
  HttpServer ready_;
  HttpServer metrics_;
  boost::asio::ip::udp::socket peers_;
  boost::asio::ip::udp::endpoint sender_;
  std::vector<char> datagram_;
  boost::asio::steady_timer timer_;
  std::map<RequestId, Open> open_;
  std::map<AttemptId, std::uint64_t> calls_;
  std::uint64_t next_request_ = 1;
  std::shared_ptr<const fleet::Configuration> limits_of_;
  TimePoint last_tick_;
  TimePoint last_sweep_;
  Duration clock_gap_{0};  ///< Suspended time seen so far.
  bool closing_ = false;
  LogRateLimiter log_budget_;
  std::map<std::string, std::uint64_t> events_;
  std::map<std::string, std::uint64_t> ends_;
  Histogram latency_;
  Histogram server_latency_;
};

}  // namespace eelgrasspin::io

#endif  // EELGRASSPIN_IO_FLEET_SHELL_H_
