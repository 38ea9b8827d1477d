#include "fleet/reduce.h"

#include "eelgrasspin/result.h"
#include "fleet/evacuations.h"
#include "fleet/hot_keys.h"
#include "fleet/loads.h"
#include "fleet/log_event.h"
#include "fleet/ownership.h"
#include "fleet/peers.h"
#include "fleet/quarantine_record.h"
#include "fleet/registry.h"
#include "fleet/requests.h"
#include "fleet/store_restoration.h"
#include "fleet/store_view.h"
#include "fleet/zone_relay.h"

namespace eelgrasspin::fleet {
namespace {

void on_store_answered(State& state, TimePoint now, Effects& effects) {
  bool returned = state.store_has_answered &&
                  state.store_failed_at > state.store_answered_at;
  if (returned || !state.store_has_answered) {
    log_event(effects, "store_reached",
              {{"silent", state.store_has_answered
                              ? text(now - state.store_answered_at)
                              : "since_start"}});
  }
  if (returned) state.outage_ended_at = now;
  if (!state.store_has_answered) state.store_reached_at = now;
  state.store_has_answered = true;
  state.store_answered_at = now;
}

void on_store_failed(State& state, const StoreFailed& failed, TimePoint now,
                     Effects& effects) {
  // It answers other calls meanwhile, so that it is slow and not lost.
  if (state.store_has_answered &&
      state.store_answered_at > now - failed.overdue) {
    return log_event(effects, "store_call_slow",
                     {{"overdue", text(failed.overdue)}, {"why", failed.why}});
  }
  if (state.store_failed_at <= state.store_answered_at) {
    log_event(effects, "store_lost",
              {{"last_answer", text(now - state.store_answered_at)},
               {"why", failed.why}});
  }
  state.store_failed_at = now;
}

void on_tick(State& state, TimePoint now, Effects& effects) {
  expire_servers(state, now, effects);
  expire_loads(state, now);
  check_overload(state, now);
  tick_store_view(state, now, effects);
  tick_evacuations(state, now, effects);
  tick_ownership(state, now, effects);
  tick_requests(state, now, effects);
  tick_quarantine_record(state, now, effects);
  send_heartbeats(state, now, effects);
  if (!state.ready && is_ready(state)) {
    state.ready = true;
    log_event(effects, "ready", {{"after", text(now - state.started)}});
  }
}

void on_stop(State& state, TimePoint now, Effects& effects) {
  if (state.stopping) return;
  state.stopping = true;
  state.stop_ordered_at = now;
  log_event(effects, "stop_ordered", {{"open", text(state.requests.size())}});
  on_stop_ordered(state);
  announce_stop(state, now, effects);
}

}  // namespace

State make_state(const Settings& settings, TimePoint now) {
  State state;
  state.watch_wait = config::kWatchWait;
  state.settings = settings;
  state.started = now;
  state.store_answered_at = now;
  state.fleet.daemon_records[settings.self.name] = settings.self;
  state.tie_breaker = std::hash<std::string>()(settings.self.name.str()) ^
                      settings.self.incarnation.value;
  return state;
}

Effects reduce(State& state, const Event& event, TimePoint now) {
  Effects effects;
  std::visit(
      Overloaded{
          [&](const StoreEraSeen& e) { on_store_era(state, e, now, effects); },
          [&](const EarlierEraAnswered& e) {
            on_earlier_era(state, e, effects);
          },
          [&](const ConfigurationSeen& e) {
            adopt_configuration(state, e, now, effects);
          },
          [&](const ServersListed& e) {
            on_servers_listed(state, e, now, effects);
          },
          [&](const ServerSeen& e) {
            on_servers_changed(state, {e.server}, now, effects);
          },
          [&](const ServerRemoved& e) {
            on_servers_changed(state, {e.name}, now, effects);
          },
          [&](const EvacuationsListed& e) {
            on_evacuations_listed(state, e, now, effects);
          },
          [&](const ViewListed& e) { on_view_listed(state, e, now); },
          [&](const StoreChanged& e) {
            on_store_changed(state, e, now, effects);
          },
          [&](const StoreUpdateReceived& e) {
            on_store_update(state, e, now, effects);
          },
          [&](const MapSeen& e) { on_map(state, e, now, effects); },
          [&](const MapMissing& e) { on_map_missing(state, e, now); },
          [&](const DaemonSeen& e) { on_daemon(state, e); },
          [&](const MapWriteEnded& e) {
            on_map_written(state, e, now, effects);
          },
          [&](const QuarantineRecordRead& e) {
            on_quarantine_record(state, e, now, effects);
          },
          [&](const QuarantineRecordWritten& e) {
            on_quarantine_record_written(state, e, now, effects);
          },
          [&](const StoreAnswered&) { on_store_answered(state, now, effects); },
          [&](const StoreFailed& e) {
            on_store_failed(state, e, now, effects);
          },
          [&](const HeartbeatReceived& e) {
            on_heartbeat(state, e, now, effects);
          },
          [&](const HeartbeatBatchReceived& e) {
            on_heartbeat_batch(state, e, now, effects);
          },
          [&](const MapChangeReceived& e) {
            on_map_change(state, e, now, effects);
          },
          [&](const RequestReceived& e) { on_request(state, e, now, effects); },
          [&](const CallerLeft& e) { on_caller_left(state, e, now, effects); },
          [&](const AttemptEnded& e) {
            on_attempt_ended(state, e, now, effects);
          },
          [&](const OrderEnded& e) { on_order_ended(state, e, now, effects); },
          [&](const Tick&) { on_tick(state, now, effects); },
          [&](const StopOrdered&) { on_stop(state, now, effects); },
          [&](const Resumed& e) { on_resumed(state, e, now, effects); },
      },
      event);
  return effects;
}

bool is_ready(const State& state) {
  return state.configuration != nullptr && !state.servers.empty() &&
         evacuations_known(state) && !state.stopping;
}

std::size_t open_requests(const State& state) { return state.requests.size(); }

std::size_t orders_in_flight(const State& state) {
  return state.orders.by_number.size();
}

}  // namespace eelgrasspin::fleet
