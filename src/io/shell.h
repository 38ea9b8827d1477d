#ifndef EELGRASSPIN_IO_SHELL_H_
#define EELGRASSPIN_IO_SHELL_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "config/settings.h"
#include "core/effect.h"
#include "core/event.h"
#include "core/state.h"
#include "eelgrasspin/object_store.h"
#include "eelgrasspin/vm_list.h"
#include "io/backend_calls_http.h"
#include "io/backend_control_http.h"
#include "io/caller_http.h"
#include "io/held_requests.h"
#include "io/histogram.h"
#include "io/operator_http.h"
#include "io/transport_h2.h"

namespace eelgrasspin::io {

/// One daemon: passes events to the decision core and carries out its effects.
/// Runs on one io_context; not thread safe.
class Shell {
 public:
  /// `on_exit` is called once, when a graceful stop is complete or has timed
  /// out.
  Shell(boost::asio::io_context& io, const config::Settings& settings,
        std::function<void()> on_exit);
  ~Shell();
  Shell(const Shell&) = delete;
  Shell& operator=(const Shell&) = delete;

  /// Binds every port. If there are errors, no port stays in use.
  std::vector<Error> bind();
  /// Starts the core. Call it only after bind() without errors.
  void start();
  /// Starts a graceful stop.
  void request_stop();
  /// Closes every port and connection at once.
  void close();

  Endpoint callers() { return caller_port_.server().bound_endpoint(); }
  Endpoint peers() { return transport_.bound_endpoint(); }
  Endpoint operators() { return operator_port_.server().bound_endpoint(); }
  const core::State& state() const { return state_; }
  /// For tests that stall connections.
  TransportH2& transport() { return transport_; }
  BackendCallsHttp& backend_calls() { return backend_calls_; }

 private:
  void post(core::Event event);
  void process_events();
  void tick();
  void apply_server_limits();

  void execute(core::StoreGet& effect);
  void execute(core::StoreList& effect);
  void execute(core::StorePut& effect);
  void execute(core::StoreWatch& effect);
  void execute(core::ListVms& effect);
  void execute(core::SendPeer& effect);
  void execute(core::SendGrant& effect);
  void execute(core::SendToServer& effect);
  void execute(core::SendToFront& effect);
  void execute(core::CancelAttempt& effect);
  void execute(core::RelayAnswer& effect);
  void execute(core::RefuseRequest& effect);
  void execute(core::ReplyOperator& effect);
  void execute(core::LogEvent& effect);
  void execute(core::ExitProcess& effect);

  ObjectStore::Callback store_callback(StoreOpId op);
  Transport::AttemptCallback attempt_callback(RequestId request,
                                              AttemptId attempt);
  void on_caller_request(CallerRequest request,
                         const std::shared_ptr<HttpExchange>& exchange);
  void on_forwarded_request(const std::shared_ptr<InboundRequest>& inbound);
  void on_request_abandoned(RequestId request);
  void exit_when_flushed(int checks_left);
  void exit();

  CallerPort::Handlers caller_handlers();
  OperatorPort::Handlers operator_handlers();
  TransportH2::Handlers transport_handlers();
  DeclarationsText declarations_text() const;
  std::string metrics() const;

  boost::asio::io_context& io_;
  config::Settings settings_;
  std::function<void()> on_exit_;
  Incarnation incarnation_;
  core::State state_;
  std::deque<core::Event> pending_events_;
  bool processing_events_ = false;
  bool closed_ = false;
  bool exiting_ = false;
  boost::asio::steady_timer tick_timer_;
  boost::asio::steady_timer stop_timer_;
  std::uint64_t applied_limits_generation_ = 0;
  HeldRequests held_requests_;
  Histogram answered_latency_;
  Histogram refused_latency_;
  /// Callbacks that run after the destructor find this expired.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  std::unique_ptr<ObjectStore> store_;
  std::unique_ptr<VmList> vm_list_;
  BackendControlHttp backend_control_;
  BackendCallsHttp backend_calls_;
  TransportH2 transport_;
  CallerPort caller_port_;
  OperatorPort operator_port_;
};

}  // namespace eelgrasspin::io

#endif  // EELGRASSPIN_IO_SHELL_H_
