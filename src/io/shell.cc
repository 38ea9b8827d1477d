#include "io/shell.h"

#include <algorithm>
#include <random>
#include <utility>

#include "core/cache.h"
#include "core/reducer.h"
#include "eelgrasspin/config.h"
#include "io/http_client.h"
#include "io/log.h"
#include "io/object_store_http.h"

namespace eelgrasspin::io {

using boost::system::error_code;

namespace {

constexpr Duration kFlushCheckInterval = milliseconds(10);

Now now() {
  return {steady_now(), std::chrono::time_point_cast<Duration>(
                            std::chrono::system_clock::now())};
}

/// A random number, so that two starts almost certainly differ; it fits a
/// signed 64-bit integer.
Incarnation new_incarnation() {
  std::random_device device;
  std::uint64_t number = (std::uint64_t{device()} << 32) | device();
  return Incarnation((number >> 1) | 1);
}

std::string id_prefix(const config::Settings& settings,
                      Incarnation incarnation) {
  return settings.name.str() + "-" + std::to_string(incarnation.value);
}

/// A front uses at most half of the server's connections, because those of its
/// predecessor may still be open, and reserves one of its half for grants.
ServerLimits server_limits_of(const Declarations& declarations,
                              const ServerDeclaration& server) {
  constexpr std::size_t kGrantConnections = 1;
  ServerLimits limits;
  std::size_t half = server.connections / 2;
  limits.connections = half > kGrantConnections ? half - kGrantConnections : 1;
  limits.connection_interval = server.connection_interval;
  auto service = declarations.services.find(server.service);
  if (service != declarations.services.end()) {
    limits.execution_limit = service->second.execution_limit;
  }
  return limits;
}

}  // namespace

Shell::Shell(boost::asio::io_context& io, const config::Settings& settings,
             std::function<void()> on_exit)
    : io_(io),
      settings_(settings),
      on_exit_(std::move(on_exit)),
      incarnation_(new_incarnation()),
      tick_timer_(io),
      stop_timer_(io),
      store_(std::make_unique<ObjectStoreHttp>(io, settings.store)),
      vm_list_(std::make_unique<VmListHttp>(io, settings.vm_list)),
      backend_control_(io),
      backend_calls_(io, id_prefix(settings, incarnation_)),
      transport_(io, settings.name, transport_handlers()),
      caller_port_(io, caller_handlers()),
      operator_port_(io, settings.tokens, id_prefix(settings, incarnation_),
                     operator_handlers()) {
  state_.self.name = settings.name;
  state_.self.zone = settings.zone;
  state_.self.region = settings.region;
  state_.self.seeds = settings.seeds;
}

Shell::~Shell() { close(); }

std::vector<Error> Shell::bind() {
  std::vector<Error> errors;
  auto add_error = [&](const char* port, std::optional<Error> failed) {
    if (!failed) return;
    failed->message = std::string(port) + ": " + failed->message;
    errors.push_back(std::move(*failed));
  };
  add_error("callers", caller_port_.server().listen(settings_.callers));
  add_error("peers", transport_.listen(settings_.peers));
  add_error("operators", operator_port_.server().listen(settings_.operators));
  if (!errors.empty()) close();
  return errors;
}

void Shell::start() {
  state_.self.address = transport_.bound_endpoint();
  post(core::Started{incarnation_});
  tick();
}

void Shell::request_stop() {
  stop_timer_.expires_after(config::kGracefulStopTimeout);
  stop_timer_.async_wait([this](error_code failed) {
    if (!failed) exit();
  });
  caller_port_.server().close_after_answers();
  post(core::StopOrdered{});
}

void Shell::close() {
  if (closed_) return;
  closed_ = true;
  alive_.reset();
  tick_timer_.cancel();
  stop_timer_.cancel();
  caller_port_.server().close();
  operator_port_.server().close();
  transport_.close();
}

void Shell::tick() {
  tick_timer_.expires_after(config::kTickInterval);
  tick_timer_.async_wait([this](error_code failed) {
    if (failed || closed_) return;
    tick();
    post(core::Tick{});
  });
}

void Shell::post(core::Event event) {
  if (closed_) return;
  pending_events_.push_back(std::move(event));
  if (!processing_events_) process_events();
}

/// Passes the pending events to the core one by one. The core is never entered
/// again while it processes an event or its effects are carried out.
void Shell::process_events() {
  processing_events_ = true;
  while (!pending_events_.empty() && !closed_) {
    core::Event event = std::move(pending_events_.front());
    pending_events_.pop_front();
    core::Effects effects = core::reduce(state_, event, now());
    apply_server_limits();
    for (core::Effect& effect : effects) {
      std::visit([this](auto& item) { execute(item); }, effect);
    }
  }
  processing_events_ = false;
}

void Shell::apply_server_limits() {
  if (applied_limits_generation_ == state_.cache.generation) return;
  applied_limits_generation_ = state_.cache.generation;
  const Declarations* declarations = core::declarations(state_.cache);
  if (declarations == nullptr) return;
  for (const auto& [name, server] : declarations->servers) {
    backend_calls_.set_limits(server.address,
                              server_limits_of(*declarations, server));
  }
}

void Shell::on_caller_request(CallerRequest request,
                              const std::shared_ptr<HttpExchange>& exchange) {
  std::size_t held_bytes =
      held_requests_.body_bytes() + request.payload->body.size();
  if (held_bytes > config::kMaxHeldBodyBytes) {
    return exchange->answer(make_caller_response(
        Outcome::kNotRun, Reason::kQueueFull, seconds(1), RequestId()));
  }
  RequestHead head = request.head;
  RequestId id = held_requests_.add({std::move(request.head),
                                     std::move(request.payload),
                                     exchange,
                                     nullptr,
                                     steady_now(),
                                     {}});
  exchange->on_abandoned([this, id] { on_request_abandoned(id); });
  post(core::RequestArrived{id, std::move(head), FromCaller{}});
}

void Shell::on_forwarded_request(
    const std::shared_ptr<InboundRequest>& inbound) {
  RequestId id = held_requests_.add({inbound->head(),
                                     inbound->payload(),
                                     nullptr,
                                     inbound,
                                     steady_now(),
                                     {}});
  inbound->on_abandoned([this, id] { on_request_abandoned(id); });
  post(core::RequestArrived{id, inbound->head(), inbound->from()});
}

void Shell::on_request_abandoned(RequestId request) {
  held_requests_.drop(request);
  post(core::RequestCancelled{request});
}

void Shell::exit_when_flushed(int checks_left) {
  bool flushed = caller_port_.server().open_exchanges() == 0 &&
                 operator_port_.server().open_exchanges() == 0 &&
                 transport_.flushed();
  if (flushed || checks_left == 0) return exit();
  stop_timer_.expires_after(kFlushCheckInterval);
  stop_timer_.async_wait([this, checks_left](error_code failed) {
    if (!failed) exit_when_flushed(checks_left - 1);
  });
}

void Shell::exit() {
  std::function<void()> on_exit = std::exchange(on_exit_, nullptr);
  close();
  if (on_exit) on_exit();
}

CallerPort::Handlers Shell::caller_handlers() {
  return {[this](CallerRequest request,
                 const std::shared_ptr<HttpExchange>& exchange) {
            on_caller_request(std::move(request), exchange);
          },
          [this] { return !state_.stopping; }};
}

TransportH2::Handlers Shell::transport_handlers() {
  return {[this](PeerMessage message) {
            post(core::PeerReceived{std::move(message)});
          },
          [this](const std::shared_ptr<InboundRequest>& inbound) {
            on_forwarded_request(inbound);
          }};
}

OperatorPort::Handlers Shell::operator_handlers() {
  OperatorPort::Handlers handlers;
  handlers.on_command = [this](OperatorCallId call, OperatorCommand command) {
    post(core::CommandReceived{call, std::move(command.operator_name),
                               std::move(command.id), std::move(command.text),
                               std::move(command.command), command.base});
  };
  handlers.on_declarations = [this](OperatorCallId call,
                                    OperatorDeclarations declarations) {
    post(core::DeclarationsReceived{call, std::move(declarations.operator_name),
                                    std::move(declarations.declarations),
                                    declarations.base});
  };
  handlers.declarations = [this] { return declarations_text(); };
  handlers.metrics = [this] { return metrics(); };
  handlers.healthy = [this] { return !state_.stopping; };
  return handlers;
}

DeclarationsText Shell::declarations_text() const {
  const Declarations* declarations = core::declarations(state_.cache);
  if (declarations == nullptr) return {Version(), "no declarations yet\n"};
  return {core::version_of(state_.cache, declarations_key()),
          declarations->source};
}

}  // namespace eelgrasspin::io
