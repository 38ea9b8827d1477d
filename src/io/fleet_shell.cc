#include "io/fleet_shell.h"

#include <time.h>
#include <xxhash.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>

#include "codec/fleet_json.h"
#include "eelgrasspin/result.h"
#include "io/endpoint.h"
#include "io/log.h"
#include "io/metrics.h"

namespace eelgrasspin::io {

namespace asio = boost::asio;
using asio::ip::udp;
using boost::system::error_code;

namespace {

constexpr std::size_t kMaxDatagram = 60'000;
/// Lines of one kind in a second: twice the requests of a busy daemon.
constexpr std::uint32_t kLogLinesPerSecond = 100;
/// Between two looks for connections that have grown too old.
constexpr Duration kSweepInterval = seconds(1);
/// Before the process is killed it ends by itself.
constexpr Duration kStopMargin = milliseconds(150);

/// Counts time that the machine was suspended, so that every limit is over
/// after a long suspension.
TimePoint boot_now() {
  timespec now{};
  ::clock_gettime(CLOCK_BOOTTIME, &now);
  return TimePoint(seconds(now.tv_sec) +
                   std::chrono::duration_cast<Duration>(
                       std::chrono::nanoseconds(now.tv_nsec)));
}

/// Of the caller's machine, the target and the body.
fleet::Fingerprint fingerprint_of(const HttpRequest& request) {
  std::string text = address_of(request.remote) + ' ' + request.method + ' ' +
                     request.target + ' ' + request.body;
  return fleet::Fingerprint(XXH64(text.data(), text.size(), 0));
}

HttpServerOptions options_of_callers(const RequestFormat& format) {
  HttpServerOptions options;
  options.refusal = [&format](int status, const std::string& why) {
    return format.make_router_response({}, status, Duration(0), why);
  };
  return options;
}

}  // namespace

FleetShell::FleetShell(asio::io_context& io, fleet::Settings settings,
                       ListenAddresses addresses, FleetStore& store,
                       KeyOrders& orders, const RequestFormat& format,
                       std::function<void()> stopped)
    : io_(io),
      settings_(std::move(settings)),
      addresses_(std::move(addresses)),
      orders_(orders),
      format_(format),
      stopped_(std::move(stopped)),
      state_(fleet::make_state(settings_, boot_now())),
      feed_(io, store, settings_,
            [this](const fleet::Event& event) { apply(event); }),
      pool_(io),
      callers_(io, options_of_callers(format),
               [this](const std::shared_ptr<HttpExchange>& exchange) {
                 on_exchange(exchange);
               }),
      ready_(io, {},
             [this](const std::shared_ptr<HttpExchange>& exchange) {
               exchange->answer({fleet::is_ready(state_) ? 200 : 503, {}, {}});
             }),
      metrics_(io, {},
               [this](const std::shared_ptr<HttpExchange>& exchange) {
                 on_metrics(exchange);
               }),
      peers_(io),
      datagram_(kMaxDatagram),
      timer_(io),
      log_budget_(kLogLinesPerSecond) {}

std::vector<Error> FleetShell::bind() {
  std::vector<Error> errors;
  auto listen = [&errors](HttpServer& server, const Endpoint& endpoint) {
    if (endpoint.empty()) return;
    if (auto failed = server.listen(endpoint)) errors.push_back(*failed);
  };
  listen(ready_, addresses_.ready);
  listen(metrics_, addresses_.metrics);
  auto peer = parse_endpoint(settings_.self.peer);
  error_code failed;
  if (!peer) {
    errors.push_back({ErrorCode::kInvalid, "no address for other daemons"});
  } else {
    udp::endpoint local(peer->address(), peer->port());
    peers_.open(local.protocol(), failed);
    if (!failed) peers_.non_blocking(true, failed);
    if (!failed) peers_.bind(local, failed);
    if (failed) {
      errors.push_back({ErrorCode::kUnavailable, "cannot bind " +
                                                     settings_.self.peer.str() +
                                                     ": " + failed.message()});
    }
  }
  listen(callers_, addresses_.callers);
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
  last_tick_ = boot_now();
  clock_gap_ = boot_now() - steady_now();
  receive_datagram();
  feed_.start();
  tick();
}

void FleetShell::apply(const fleet::Event& event) {
  fleet::Effects effects = fleet::reduce(state_, event, boot_now());
  for (const fleet::Effect& effect : effects) execute(effect);
}

void FleetShell::execute(const fleet::Effect& effect) {
  std::visit(
      Overloaded{
          [this](const fleet::SendAttempt& e) { send_attempt(e); },
          [this](const fleet::CancelAttempt& e) {
            auto call = calls_.find(e.id);
            if (call == calls_.end()) return;
            pool_.cancel(call->second);
            calls_.erase(call);
          },
          [this](const fleet::RelayAnswer& e) {
            answer(e.request, format_.make_caller_response(*e.answer));
          },
          [this](const fleet::AnswerCaller& e) {
            auto open = open_.find(e.request);
            std::string caller_request_id =
                open == open_.end() ? "" : open->second.caller_request_id;
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
            // The others see by heartbeats that they miss one that is too long.
            std::string text = codec::encode_store_update(e.update);
            if (text.size() <= kMaxDatagram) send_datagrams(text, e.to);
          },
          [this](const fleet::WatchStore& e) { feed_.set_watch(e); },
          [this](const fleet::CatchUp& e) { feed_.catch_up(e); },
          [this](const fleet::WriteMap& e) { feed_.write_map(e); },
          [this](const fleet::ReadMap& e) { feed_.read_map(e.service); },
          [this](const fleet::GrantKeys& e) {
            orders_.grant(
                e, [this](const fleet::OrderEnded& ended) { apply(ended); });
          },
          [this](const fleet::ReleaseKeys& e) {
            orders_.release(
                e, [this](const fleet::OrderEnded& ended) { apply(ended); });
          },
          [this](const fleet::Note& e) { log(e); },
      },
      effect);
}

void FleetShell::on_exchange(const std::shared_ptr<HttpExchange>& exchange) {
  Result<CallerRequestHead> read =
      format_.read_caller_request(exchange->request());
  if (!ok(read)) {
    constexpr int kBadRequest = 400;
    log(fleet::Note{"request_invalid",
                    {{"from", exchange->request().remote.str()},
                     {"why", error(read).message}}});
    return exchange->answer(format_.make_router_response(
        {}, kBadRequest, Duration(0), error(read).message));
  }
  CallerRequestHead& request = value(read);
  RequestId id(next_request_++);
  open_[id] = {exchange, request.caller_request_id, boot_now()};
  exchange->on_abandoned([this, id] {
    open_.erase(id);
    apply(fleet::CallerLeft{id});
  });
  apply(fleet::RequestReceived{id, std::move(request.caller_request_id),
                               std::move(request.host), std::move(request.path),
                               request.key, request.deadline,
                               fingerprint_of(exchange->request())});
}

void FleetShell::send_attempt(const fleet::SendAttempt& attempt) {
  auto open = open_.find(attempt.request);
  if (open == open_.end()) return;
  std::string caller_request_id = open->second.caller_request_id;
  BackendPool::Call call{
      format_.make_server_request(open->second.exchange->request(), attempt),
      attempt.address, attempt.patience, attempt.repeatable,
      [this, caller_request_id](const HttpResponse& answer) {
        return format_.matches_request(caller_request_id, answer);
      }};
  TimePoint sent = boot_now();
  calls_[attempt.id] = pool_.start(
      std::move(call), [this, id = attempt.id, sent](HttpResult result) {
        server_latency_.record(boot_now() - sent);
        end_attempt(id, std::move(result));
      });
}

void FleetShell::end_attempt(AttemptId id, HttpResult result) {
  using fleet::AttemptResult;
  calls_.erase(id);
  fleet::AttemptEnded ended;
  if (auto* answer = std::get_if<HttpResponse>(&result)) {
    ended = format_.classify(std::move(*answer));
  } else {
    const auto& failure = std::get<HttpFailure>(result);
    ended.why = failure.why;
    ended.no_listener = failure.no_listener;
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
  apply(ended);
}

void FleetShell::answer(RequestId request, HttpResponse answer) {
  auto open = open_.find(request);
  if (open == open_.end()) return;
  Open ending = std::move(open->second);
  open_.erase(open);
  latency_.record(boot_now() - ending.received);
  ending.exchange->answer(std::move(answer));
}

void FleetShell::send_datagrams(const std::string& text,
                                const std::vector<Endpoint>& to) {
  for (const Endpoint& endpoint : to) {
    auto address = parse_endpoint(endpoint);
    if (!address) continue;
    error_code ignored;  // Datagrams may be lost; the next one follows soon.
    peers_.send_to(asio::buffer(text),
                   udp::endpoint(address->address(), address->port()), 0,
                   ignored);
  }
}

void FleetShell::receive_datagram() {
  peers_.async_receive_from(asio::buffer(datagram_), sender_,
                            [this](error_code failed, std::size_t size) {
                              if (failed == asio::error::operation_aborted) {
                                return;
                              }
                              if (!failed) on_datagram(size);
                              receive_datagram();
                            });
}

void FleetShell::on_datagram(std::size_t size) {
  auto message =
      codec::decode_datagram(std::string_view(datagram_.data(), size));
  if (!ok(message)) {
    return log(fleet::Note{"datagram_unreadable",
                           {{"from", sender_.address().to_string()},
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
  for (const auto& [name, count] : events_) {
    events.push_back({"event=\"" + name + "\"", count});
  }
  std::vector<LabelledCounter> ends;
  for (const auto& [labels, count] : ends_) ends.push_back({labels, count});
  std::string text =
      print_counters("fleet_events_total", "Decisions and changes, by event",
                     events) +
      print_counters("fleet_requests_total",
                     "Callers' requests, by status and reason of their end",
                     ends) +
      print_gauges({{"fleet_open_requests", "Requests without an answer yet",
                     static_cast<double>(open_.size())},
                    {"fleet_backend_connections_made",
                     "Connections made to backend servers",
                     static_cast<double>(pool_.connections_made())},
                    {"fleet_log_lines_lost",
                     "Log lines left out because the reader was too slow",
                     static_cast<double>(log_lines_lost())}}) +
      print_histograms(
          {{"fleet_request_seconds",
            "From a caller's request to the end of its answer", &latency_},
           {"fleet_attempt_seconds",
            "From a send to a backend server to the end of the attempt",
            &server_latency_}});
  exchange->answer({200, {{"Content-Type", "text/plain"}}, std::move(text)});
}

void FleetShell::count(const fleet::Note& note) {
  ++events_[std::string(note.event)];
  if (note.event != "request_end") return;
  std::string labels;
  for (const auto& [key, value] : note.fields) {
    if (key != "status" && key != "reason") continue;
    if (!labels.empty()) labels += ',';
    labels += std::string(key) + "=\"" + value + "\"";
  }
  ++ends_[labels];
}

void FleetShell::log(const fleet::Note& note) {
  count(note);
  if (!log_budget_.take(note.event, boot_now())) return;
  LogFields fields = {{"event", std::string(note.event)}};
  fields.insert(fields.end(), note.fields.begin(), note.fields.end());
  log_line(LogLevel::kInfo, fields);
}

void FleetShell::tick() {
  timer_.expires_after(fleet::config::kTickInterval);
  timer_.async_wait([this](error_code failed) {
    if (!failed) tick();
  });
  watch_clock();
  apply(fleet::Tick());
  follow_limits();
  TimePoint now = boot_now();
  if (now - last_sweep_ >= kSweepInterval) {
    last_sweep_ = now;
    pool_.drop_old();
    for (const auto& [kind, lines] : log_budget_.left_out(now)) {
      log_line(LogLevel::kWarning, {{"event", "log_lines_left_out"},
                                    {"kind", kind},
                                    {"lines", std::to_string(lines)}});
    }
  }
  if (state_.stopping) finish_stop();
}

/// A machine that was suspended, or a process that did not run, is told so
/// before it acts on anything that has queued up.
void FleetShell::watch_clock() {
  TimePoint now = boot_now();
  Duration gap = now - last_tick_;
  last_tick_ = now;
  Duration suspended = boot_now() - steady_now();
  bool was_suspended = suspended - clock_gap_ > fleet::config::kTickInterval;
  clock_gap_ = suspended;
  constexpr Duration kPause = milliseconds(250);
  if (gap > kPause || was_suspended) apply(fleet::Resumed{gap});
}

void FleetShell::follow_limits() {
  if (state_.configuration == limits_of_ || !state_.configuration) return;
  limits_of_ = state_.configuration;
  const fleet::CallerLimits& limits = limits_of_->limits;
  if (limits.header_bytes == 0) return;
  callers_.set_limits(limits.header_bytes, limits.body_bytes,
                      limits.header_timeout + seconds(10), limits.idle_timeout);
}

void FleetShell::request_stop() {
  apply(fleet::StopOrdered());
  callers_.close_after_answers();
}

void FleetShell::finish_stop() {
  Duration stopping = boot_now() - state_.stop_ordered_at;
  Duration linger = std::min(fleet::config::kStopLinger,
                             state_.settings.stop_timeout - kStopMargin);
  if (stopping >= linger && !closing_) {
    closing_ = true;
    callers_.stop_accepting();
  }
  if (closing_) callers_.close_idle();
  bool done = closing_ && callers_.connections() == 0;
  if (!done && stopping < state_.settings.stop_timeout - kStopMargin) return;
  log_line(LogLevel::kInfo, {{"event", "stop"},
                             {"open", std::to_string(open_.size())},
                             {"after", std::to_string(to_ms(stopping))}});
  timer_.cancel();
  stopped_();
}

void FleetShell::reload(const fleet::Settings& settings) {
  settings_.seeds = settings.seeds;
  state_.settings.seeds = settings.seeds;
  state_.settings.regions = settings.regions;
  log_line(LogLevel::kInfo,
           {{"event", "reload"},
            {"seeds", std::to_string(settings.seeds.size())},
            {"zones", std::to_string(settings.regions.size())}});
}

}  // namespace eelgrasspin::io
