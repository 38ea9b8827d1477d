#include "io/fleet_shell.h"

#include <time.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>

#include "codec/fleet_json.h"
#include "eelgrasspin/result.h"
#include "fleet/log_event.h"
#include "fleet/regions.h"
#include "fleet/registry.h"
#include "io/connection_limits.h"
#include "io/endpoint.h"
#include "io/log.h"
#include "io/memory_limits.h"
#include "io/metrics.h"
#include "io/request_fingerprint.h"

namespace eelgrasspin::io {

namespace asio = boost::asio;
using asio::ip::udp;
using boost::system::error_code;

namespace {

constexpr std::size_t kMaxDatagramBytes = 60'000;
constexpr std::size_t kMaxSmallRequestBodyBytes = 1024;
constexpr int kUnavailable = 503;
/// Twice the requests per second of a busy daemon.
constexpr std::uint32_t kMaxLogLinesPerKindPerSecond = 100;
/// Interval of closing expired connections and logging dropped log lines.
constexpr Duration kCleanupInterval = seconds(1);
/// Time without a tick from which on the process counts as having paused.
constexpr Duration kSuspensionThreshold = milliseconds(250);
/// The process ends by itself this long before the platform kills it.
constexpr Duration kStopMargin = milliseconds(150);

/// This clock includes the time that the machine was suspended, so that every
/// time limit has passed after a long suspension.
TimePoint boottime_now() {
  timespec now{};
  ::clock_gettime(CLOCK_BOOTTIME, &now);
  return TimePoint(seconds(now.tv_sec) +
                   std::chrono::duration_cast<Duration>(
                       std::chrono::nanoseconds(now.tv_nsec)));
}

std::string order_label(bool release) {
  return release ? R"(order="release")" : R"(order="grant")";
}

std::vector<LabelledCounter> labelled_counters(
    const std::map<std::string, std::uint64_t>& counts) {
  std::vector<LabelledCounter> counters;
  counters.reserve(counts.size());
  for (const auto& [labels, count] : counts)
    counters.push_back({labels, count});
  return counters;
}

std::vector<LabelledHistogram> event_time_histograms(const LoopStats& stats) {
  std::vector<LabelledHistogram> histograms;
  histograms.reserve(stats.event_time.size());
  for (const auto& [kind, histogram] : stats.event_time) {
    histograms.push_back({"event=\"" + std::string(kind) + "\"", &histogram});
  }
  return histograms;
}

/// For ports whose requests have no body.
HttpServerOptions small_request_options() {
  HttpServerOptions options;
  options.max_connections = kSmallPortConnections;
  options.max_body_bytes = kMaxSmallRequestBodyBytes;
  return options;
}

}  // namespace

FleetShell::FleetShell(asio::io_context& io, fleet::Settings settings,
                       ListenAddresses addresses, FleetStore& store,
                       KeyOrders& key_orders, const RequestFormat& format,
                       std::function<void()> on_stopped)
    : io_(io),
      settings_(std::move(settings)),
      addresses_(std::move(addresses)),
      key_orders_(key_orders),
      format_(format),
      on_stopped_(std::move(on_stopped)),
      state_(fleet::make_state(settings_, boottime_now())),
      store_feed_(io, store, settings_,
                  [this](const fleet::Event& event) { apply(event); }),
      backend_pool_(io, memory_limits(settings_.memory_limit).answers,
                    connection_limits(settings_.max_connections).servers),
      caller_server_(io, caller_server_options(),
                     [this](const std::shared_ptr<HttpExchange>& exchange) {
                       on_caller_request(exchange);
                     }),
      ready_server_(
          io, small_request_options(),
          [this](const std::shared_ptr<HttpExchange>& exchange) {
            exchange->answer({fleet::is_ready(state_) ? 200 : 503, {}, {}});
          }),
      metrics_server_(io, small_request_options(),
                      [this](const std::shared_ptr<HttpExchange>& exchange) {
                        on_metrics(exchange);
                      }),
      peer_socket_(io),
      datagram_(kMaxDatagramBytes),
      tick_timer_(io),
      log_limiter_(kMaxLogLinesPerKindPerSecond) {}

HttpServerOptions FleetShell::caller_server_options() {
  HttpServerOptions options;
  MemoryLimits memory = memory_limits(settings_.memory_limit);
  options.max_connections =
      connection_limits(settings_.max_connections).callers;
  options.max_request_bytes = memory.requests;
  options.max_small_request_bytes = memory.small_requests;
  options.max_response_bytes = memory.held_answers;
  options.on_forced_close = [this](const Endpoint& remote,
                                   std::string_view why) {
    on_log_event(
        fleet::LogEvent{"connection_closed",
                        {{"from", remote.str()}, {"why", std::string(why)}}});
  };
  options.on_client_gone = [this](const HttpRequest& request) {
    request_age_.record(request.age);
    on_log_event(fleet::LogEvent{"request_end",
                                 {{"id", format_.caller_request_id(request)},
                                  {"status", "0"},
                                  {"reason", "left_before_read"},
                                  {"age", fleet::text(request.age)}}});
  };
  options.make_refusal = [this](int status, std::string why,
                                const HttpRequest& received) {
    // Without a configuration the limits are defaults, which it may raise.
    bool over_limit = status == kBodyTooLarge || status == kHeaderTooLarge;
    if (over_limit && !limits_configuration_) {
      status = kUnavailable;
      why = "no_configuration";
    }
    std::string id = format_.caller_request_id(received);
    on_log_event(fleet::LogEvent{"request_rejected",
                                 {{"id", id},
                                  {"status", std::to_string(status)},
                                  {"from", received.remote.str()},
                                  {"why", why}}});
    // Memory is short only until other requests have ended.
    Duration retry_after =
        status == kUnavailable ? fleet::config::kMinRetryAfter : Duration(0);
    return format_.make_router_response(id, status, retry_after, why);
  };
  return options;
}

std::vector<Error> FleetShell::bind() {
  std::vector<Error> errors;
  auto listen = [&errors](HttpServer& server, const Endpoint& endpoint) {
    if (endpoint.empty()) return;
    if (auto failed = server.listen(endpoint)) errors.push_back(*failed);
  };
  listen(ready_server_, addresses_.ready);
  listen(metrics_server_, addresses_.metrics);
  auto peer = parse_endpoint(settings_.self.peer);
  error_code failed;
  if (!peer) {
    errors.push_back(
        {ErrorCode::kInvalid, "no valid address for other daemons"});
  } else {
    udp::endpoint local(peer->address(), peer->port());
    peer_socket_.open(local.protocol(), failed);
    if (!failed) peer_socket_.non_blocking(true, failed);
    if (!failed) peer_socket_.bind(local, failed);
    if (failed) {
      errors.push_back({ErrorCode::kUnavailable, "cannot bind " +
                                                     settings_.self.peer.str() +
                                                     ": " + failed.message()});
    }
  }
  listen(caller_server_, addresses_.callers);
  return errors;
}

void FleetShell::start() {
  log_line(LogLevel::kInfo,
           {{"event", "start"},
            {"daemon", settings_.self.name.str()},
            {"incarnation", std::to_string(settings_.self.incarnation.value)},
            {"zone", settings_.self.zone.str()},
            {"callers", addresses_.callers.str()},
            {"peer", settings_.self.peer.str()}});
  last_tick_ = boottime_now();
  suspended_time_ = boottime_now() - steady_now();
  receive_datagram();
  store_feed_.start();
  tick();
}

template <class Handler>
bool FleetShell::guard(std::string_view source, Handler handler) {
  try {
    handler();
    return true;
  } catch (const std::exception& failure) {
    on_log_event(fleet::LogEvent{
        "unexpected_error",
        {{"source", std::string(source)}, {"why", failure.what()}}});
    return false;
  }
}

void FleetShell::apply(const fleet::Event& event) {
  // What has queued up during a pause may be handled before the tick.
  if (boottime_now() - last_tick_ > kSuspensionThreshold) detect_suspension();
  TimePoint began = boottime_now();
  fleet::Effects effects;
  guard("event", [&] { effects = fleet::reduce(state_, event, began); });
  apply_caller_limits();
  for (const fleet::Effect& effect : effects)
    guard("effect", [&] { execute(effect); });
  record_event(loop_stats_, fleet::event_name(event), boottime_now() - began);
}

void FleetShell::execute(const fleet::Effect& effect) {
  std::visit(
      Overloaded{
          [this](const fleet::SendAttempt& e) { send_attempt(e); },
          [this](const fleet::CancelAttempt& e) {
            auto call = attempt_calls_.find(e.id);
            if (call == attempt_calls_.end()) return;
            backend_pool_.cancel(call->second);
            attempt_calls_.erase(call);
          },
          [this](const fleet::RelayAnswer& e) {
            answer(e.request, format_.make_caller_response(*e.answer));
          },
          [this](const fleet::AnswerCaller& e) {
            auto open = open_requests_.find(e.request);
            std::string caller_request_id =
                open == open_requests_.end() ? ""
                                             : open->second.caller_request_id;
            answer(e.request,
                   format_.make_router_response(caller_request_id, e.status,
                                                e.retry_after, e.reason));
          },
          [this](const fleet::SendHeartbeat& e) {
            send_datagrams(codec::encode_heartbeat(e.heartbeat), e.to);
          },
          [this](const fleet::SendHeartbeatBatch& e) {
            send_datagrams(codec::encode_heartbeat_batch(e.batch), e.to);
          },
          [this](const fleet::SendMapChange& e) {
            send_datagrams(codec::encode_map_change(e.change), e.to);
          },
          [this](const fleet::SendStoreUpdate& e) {
            // An update that is too long for a datagram is not sent. The other
            // daemons see from heartbeats that they have missed it.
            std::string text = codec::encode_store_update(e.update);
            if (text.size() <= kMaxDatagramBytes) send_datagrams(text, e.to);
          },
          [this](const fleet::WatchStore& e) { store_feed_.set_watch(e); },
          [this](const fleet::CatchUp& e) { store_feed_.catch_up(e); },
          [this](const fleet::ReadStoreAgain&) { store_feed_.read_again(); },
          [this](const fleet::WriteMap& e) { store_feed_.write_map(e); },
          [this](const fleet::ReadMap& e) { store_feed_.read_map(e); },
          [this](const fleet::ReadQuarantineRecord&) {
            store_feed_.read_quarantine_record();
          },
          [this](const fleet::WriteQuarantineRecord& e) {
            store_feed_.write_quarantine_record(e);
          },
          [this](const fleet::GrantKeys& e) {
            ++sent_order_counts_[order_label(false)];
            key_orders_.grant(e, [this](const fleet::OrderEnded& ended) {
              on_order_ended(false, ended);
            });
          },
          [this](const fleet::ReleaseKeys& e) {
            ++sent_order_counts_[order_label(true)];
            key_orders_.release(e, [this](const fleet::OrderEnded& ended) {
              on_order_ended(true, ended);
            });
          },
          [this](const fleet::LogEvent& e) { on_log_event(e); },
      },
      effect);
}

void FleetShell::on_caller_request(
    const std::shared_ptr<HttpExchange>& exchange) {
  Result<CallerRequestHead> read = CallerRequestHead();
  bool handled = guard("caller_request", [&] {
    read = format_.read_caller_request(exchange->request());
  });
  if (!handled) {
    constexpr int kInternalError = 500;
    return exchange->answer(format_.make_router_response(
        {}, kInternalError, Duration(0), "unexpected_error"));
  }
  if (!ok(read)) {
    constexpr int kBadRequest = 400;
    on_log_event(fleet::LogEvent{"request_invalid",
                                 {{"from", exchange->request().remote.str()},
                                  {"why", error(read).message}}});
    return exchange->answer(format_.make_router_response(
        {}, kBadRequest, Duration(0), error(read).message));
  }
  CallerRequestHead& request = value(read);
  RequestId id(next_request_id_++);
  request_age_.record(exchange->request().age);
  std::size_t body_bytes = exchange->request().body.size();
  fleet::Fingerprint fingerprint = request_fingerprint(exchange->request());
  // Freed when the request has ended; the exchange lasts until the caller has
  // read the answer.
  auto body =
      std::make_shared<std::string>(std::move(exchange->request().body));
  Duration age = exchange->request().age;
  open_requests_[id] = {exchange, std::move(body), request.caller_request_id,
                        boottime_now() - age};
  exchange->on_abandoned([this, id] {
    open_requests_.erase(id);
    apply(fleet::CallerLeft{id});
  });
  apply(fleet::RequestReceived{id, std::move(request.caller_request_id),
                               std::move(request.host), std::move(request.path),
                               request.key, request.deadline, fingerprint,
                               body_bytes, age});
}

void FleetShell::send_attempt(const fleet::SendAttempt& attempt) {
  auto open = open_requests_.find(attempt.request);
  if (open == open_requests_.end()) return;
  // The end of the caller's connection may be queued behind other input.
  std::shared_ptr<HttpExchange> exchange = open->second.exchange;
  if (!exchange->client_waits(steady_now())) {
    if (open_requests_.erase(attempt.request) > 0)
      apply(fleet::CallerLeft{attempt.request});
    return;
  }
  std::string caller_request_id = open->second.caller_request_id;
  HttpRequest request =
      format_.make_server_request(exchange->request(), attempt);
  request.shared_body = open->second.body;
  BackendPool::Call call{
      std::move(request),
      attempt.address,
      attempt.response_timeout,
      attempt.repeatable,
      [this, caller_request_id](const HttpResponse& response) {
        return format_.matches_request(caller_request_id, response);
      },
      attempt.on_new_connection,
      nullptr,
      [exchange] { return exchange->client_waits(steady_now()); }};
  TimePoint sent = boottime_now();
  attempt_calls_[attempt.id] = backend_pool_.start(
      std::move(call),
      [this, id = attempt.id, sent](HttpResult result,
                                    const BackendPool::ConnectionUse& use) {
        attempt_latency_.record(boottime_now() - sent);
        end_attempt(id, std::move(result), use);
      });
}

void FleetShell::end_attempt(AttemptId id, HttpResult result,
                             const BackendPool::ConnectionUse& use) {
  using fleet::AttemptResult;
  attempt_calls_.erase(id);
  fleet::AttemptEnded ended;
  if (auto* response = std::get_if<HttpResponse>(&result)) {
    // An answer that cannot be read may come from a request that has run.
    ended.why = "unreadable answer";
    guard("server_answer",
          [&] { ended = format_.classify(std::move(*response)); });
  } else {
    const auto& failure = std::get<HttpFailure>(result);
    ended.why = failure.why;
    ended.no_listener = failure.no_listener;
    ended.connections_exhausted = failure.connections_exhausted;
    switch (failure.kind) {
      case HttpFailureKind::kRefused:
      case HttpFailureKind::kConnectTimeout:
        ended.result = AttemptResult::kNotSent;
        break;
      case HttpFailureKind::kTimeout:
        ended.result = AttemptResult::kTimedOut;
        break;
      case HttpFailureKind::kClosed:
      case HttpFailureKind::kTruncated:
        ended.result = AttemptResult::kAnswerLost;
        break;
    }
  }
  ended.id = id;
  ended.reused_connection = use.reused;
  ended.skipped_responses = use.skipped_responses;
  apply(ended);
}

void FleetShell::answer(RequestId request, HttpResponse response) {
  auto open = open_requests_.find(request);
  if (open == open_requests_.end()) return;
  OpenRequest ending = std::move(open->second);
  open_requests_.erase(open);
  request_latency_.record(boottime_now() - ending.received);
  ending.exchange->answer(std::move(response));
}

void FleetShell::send_datagrams(const std::string& text,
                                const std::vector<Endpoint>& to) {
  for (const Endpoint& endpoint : to) {
    auto address = parse_endpoint(endpoint);
    if (!address) continue;
    error_code ignored;  // Datagrams may be lost; the next one follows soon.
    peer_socket_.send_to(asio::buffer(text),
                         udp::endpoint(address->address(), address->port()), 0,
                         ignored);
  }
}

void FleetShell::receive_datagram() {
  peer_socket_.async_receive_from(
      asio::buffer(datagram_), datagram_sender_,
      [this](error_code failed, std::size_t size) {
        if (failed == asio::error::operation_aborted) {
          return;
        }
        if (!failed) guard("datagram", [&] { on_datagram(size); });
        receive_datagram();
      });
}

void FleetShell::on_datagram(std::size_t size) {
  auto message =
      codec::decode_datagram(std::string_view(datagram_.data(), size));
  if (!ok(message)) {
    return on_log_event(
        fleet::LogEvent{"datagram_unreadable",
                        {{"from", datagram_sender_.address().to_string()},
                         {"why", error(message).message}}});
  }
  std::visit(
      Overloaded{[this](fleet::Heartbeat& heartbeat) {
                   apply(fleet::HeartbeatReceived{std::move(heartbeat)});
                 },
                 [this](fleet::HeartbeatBatch& batch) {
                   apply(fleet::HeartbeatBatchReceived{std::move(batch)});
                 },
                 [this](fleet::StoreUpdate& update) {
                   apply(fleet::StoreUpdateReceived{std::move(update)});
                 },
                 [this](fleet::MapChange& change) {
                   apply(fleet::MapChangeReceived{std::move(change)});
                 }},
      value(message));
}

void FleetShell::on_metrics(const std::shared_ptr<HttpExchange>& exchange) {
  std::vector<LabelledCounter> events;
  for (const auto& [name, count] : event_counts_) {
    events.push_back({"event=\"" + name + "\"", count});
  }
  std::string text =
      print_counters("fleet_events_total", "Decisions and changes, by event",
                     events) +
      print_counters("fleet_requests_total",
                     "Callers' requests, by status and reason of their end",
                     labelled_counters(request_end_counts_)) +
      print_counters("fleet_orders_sent_total",
                     "Grants and releases sent to backend servers",
                     labelled_counters(sent_order_counts_)) +
      print_counters("fleet_orders_ended_total",
                     "Grants and releases that have ended, by result",
                     labelled_counters(ended_order_counts_)) +
      print_histograms("fleet_event_seconds",
                       "Time that the event loop spends on events, by kind",
                       event_time_histograms(loop_stats_)) +
      print_gauges({{"fleet_open_requests", "Requests without an answer yet",
                     static_cast<double>(open_requests_.size())},
                    {"fleet_backend_connections_made",
                     "Connections made to backend servers",
                     static_cast<double>(backend_pool_.connections_made())},
                    {"fleet_caller_connections", "Connections of callers",
                     static_cast<double>(caller_server_.connections())},
                    {"fleet_backend_connections",
                     "Connections to backend servers for requests",
                     static_cast<double>(backend_pool_.connections())},
                    {"fleet_orders_in_flight",
                     "Grants and releases without an answer yet",
                     static_cast<double>(fleet::orders_in_flight(state_))},
                    {"fleet_store_era",
                     "How often the store has been restored from a copy, as it "
                     "states",
                     static_cast<double>(fleet::current_era(state_).value)},
                    {"fleet_ranges_visited",
                     "Key ranges looked at for orders that are due, in total",
                     static_cast<double>(state_.ranges_visited)},
                    {"fleet_upload_bytes",
                     "Bodies of uploads that are at backend servers",
                     static_cast<double>(state_.upload_bytes)},
                    {"fleet_request_bytes",
                     "Memory of callers' connections, and of their requests "
                     "that have not been answered",
                     static_cast<double>(caller_server_.request_bytes())},
                    {"fleet_held_answer_bytes",
                     "Memory of answers that callers have not read completely",
                     static_cast<double>(caller_server_.response_bytes())},
                    {"fleet_answer_body_bytes",
                     "Bodies of backend servers' answers that are being read",
                     static_cast<double>(backend_pool_.response_bytes())},
                    {"fleet_log_lines_lost",
                     "Log lines left out because the reader was too slow",
                     static_cast<double>(log_lines_dropped())}}) +
      print_histograms(
          {{"fleet_loop_delay_seconds",
            "From the time at which a tick was due to its start",
            &loop_stats_.delay},
           {"fleet_request_age_seconds",
            "From the arrival of a request at this machine to its reading",
            &request_age_},
           {"fleet_request_seconds",
            "From a caller's request to the end of its answer",
            &request_latency_},
           {"fleet_attempt_seconds",
            "From a send to a backend server to the end of the attempt",
            &attempt_latency_}});
  exchange->answer({200, {{"Content-Type", "text/plain"}}, std::move(text)});
}

void FleetShell::count_event(const fleet::LogEvent& event) {
  ++event_counts_[std::string(event.name)];
  if (event.name != "request_end") return;
  std::string labels;
  for (const auto& [key, value] : event.fields) {
    if (key != "status" && key != "reason") continue;
    if (!labels.empty()) labels += ',';
    labels += std::string(key) + "=\"" + value + "\"";
  }
  ++request_end_counts_[labels];
}

void FleetShell::on_order_ended(bool release, const fleet::OrderEnded& ended) {
  ++ended_order_counts_[order_label(release) + ",result=\"" +
                        std::string(fleet::order_result_name(ended.result)) +
                        "\""];
  apply(ended);
}

void FleetShell::on_log_event(const fleet::LogEvent& event) {
  count_event(event);
  if (!log_limiter_.allow(event.name, boottime_now())) return;
  LogFields fields = {{"event", std::string(event.name)}};
  fields.insert(fields.end(), event.fields.begin(), event.fields.end());
  log_line(LogLevel::kInfo, fields);
}

/// Called when a tick starts, before its timer is set anew.
void FleetShell::record_loop_delay() {
  auto delay = std::chrono::duration_cast<Duration>(
      std::chrono::steady_clock::now() - tick_timer_.expiry());
  auto interval = record_tick(loop_stats_, delay);
  if (!interval) return;
  on_log_event(
      fleet::LogEvent{"loop_delayed",
                      {{"delay", fleet::text(delay)},
                       {"busy", fleet::text(interval->busy)},
                       {"events", fleet::text(interval->events)},
                       {"most", std::string(interval->main_kind)},
                       {"most_busy", fleet::text(interval->main_kind_busy)},
                       {"orders", fleet::text(fleet::orders_in_flight(state_))},
                       {"open_requests", fleet::text(open_requests_.size())}}});
}

void FleetShell::tick() {
  tick_timer_.expires_after(fleet::config::kTickInterval);
  tick_timer_.async_wait([this](error_code failed) {
    if (failed) return;
    record_loop_delay();
    tick();
  });
  detect_suspension();
  apply(fleet::Tick());
  TimePoint now = boottime_now();
  if (now - last_cleanup_ >= kCleanupInterval) {
    last_cleanup_ = now;
    backend_pool_.close_expired();
    for (const auto& [kind, lines] : log_limiter_.take_dropped(now)) {
      log_line(LogLevel::kWarning, {{"event", "log_lines_left_out"},
                                    {"kind", kind},
                                    {"lines", std::to_string(lines)}});
    }
  }
  if (state_.stopping) advance_stop();
}

/// Notifies the core of a suspension of the machine or a pause of the process.
void FleetShell::detect_suspension() {
  TimePoint now = boottime_now();
  Duration gap = now - last_tick_;
  last_tick_ = now;
  Duration suspended = boottime_now() - steady_now();
  bool was_suspended =
      suspended - suspended_time_ > fleet::config::kTickInterval;
  suspended_time_ = suspended;
  if (gap > kSuspensionThreshold || was_suspended) apply(fleet::Resumed{gap});
}

void FleetShell::apply_caller_limits() {
  if (state_.configuration == limits_configuration_ || !state_.configuration)
    return;
  limits_configuration_ = state_.configuration;
  const fleet::CallerLimits& limits = limits_configuration_->limits;
  if (limits.header_bytes == 0) return;
  caller_server_.set_limits(limits.header_bytes, limits.body_bytes,
                            limits.header_timeout + seconds(10),
                            limits.idle_timeout);
}

void FleetShell::request_stop() {
  apply(fleet::StopOrdered());
  caller_server_.close_after_answers();
}

void FleetShell::advance_stop() {
  Duration stopping = boottime_now() - state_.stop_ordered_at;
  Duration linger = std::min(fleet::config::kStopLinger,
                             state_.settings.stop_timeout - kStopMargin);
  if (stopping >= linger && !closing_) {
    closing_ = true;
    caller_server_.stop_accepting();
  }
  if (closing_) caller_server_.close_idle();
  bool done = closing_ && caller_server_.connections() == 0;
  if (!done && stopping < state_.settings.stop_timeout - kStopMargin) return;
  log_line(LogLevel::kInfo, {{"event", "stop"},
                             {"open", std::to_string(open_requests_.size())},
                             {"after", std::to_string(to_ms(stopping))}});
  tick_timer_.cancel();
  on_stopped_();
}

void FleetShell::reload(const fleet::Settings& settings) {
  settings_.seeds = settings.seeds;
  state_.settings.seeds = settings.seeds;
  state_.settings.regions = settings.regions;
  fleet::index_servers(state_);
  fleet::index_regions(state_);
  log_line(LogLevel::kInfo,
           {{"event", "reload"},
            {"seeds", std::to_string(settings.seeds.size())},
            {"zones", std::to_string(settings.regions.size())}});
}

}  // namespace eelgrasspin::io
