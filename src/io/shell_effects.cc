#include <utility>

#include "core/membership/membership.h"
#include "io/http_client.h"
#include "io/log.h"
#include "io/metrics.h"
#include "io/shell.h"

/// Carries out each effect of the decision core.
namespace eelgrasspin::io {
namespace {

constexpr int kMaxFlushChecks = 200;

OutboundRequest to_outbound_request(const HeldRequest& held) {
  OutboundRequest request;
  request.head = held.head;
  request.payload = held.payload;
  return request;
}

}  // namespace

ObjectStore::Callback Shell::store_callback(StoreOpId op) {
  return [this, alive = std::weak_ptr(alive_), op](StoreResult result) {
    if (alive.expired()) return;
    post(core::StoreAnswered{op, std::move(result)});
  };
}

Transport::AttemptCallback Shell::attempt_callback(RequestId request,
                                                   AttemptId attempt) {
  return [this, alive = std::weak_ptr(alive_), request,
          attempt](AttemptReply reply) {
    if (alive.expired()) return;
    const auto* answered = std::get_if<AttemptAnswered>(&reply.result);
    HeldRequest* held = held_requests_.find(request);
    if (answered != nullptr && held != nullptr) {
      held->answers[attempt] = {answered->status, reply.payload};
    }
    post(core::AttemptEnded{request, attempt, reply.result});
  };
}

void Shell::execute(core::StoreGet& effect) {
  store_->read(effect.key, store_callback(effect.op));
}

void Shell::execute(core::StoreList& effect) {
  store_->list(effect.prefix, store_callback(effect.op));
}

void Shell::execute(core::StorePut& effect) {
  store_->write(effect.key, effect.expected, effect.record,
                store_callback(effect.op));
}

void Shell::execute(core::StoreWatch& effect) {
  store_->watch(effect.prefix, effect.since, effect.wait,
                store_callback(effect.op));
}

void Shell::execute(core::ListVms& /*effect*/) {
  vm_list_->list([this, alive = std::weak_ptr(alive_)](
                     Result<std::vector<VmEntry>> result) {
    if (alive.expired()) return;
    post(core::VmsListed{std::move(result)});
  });
}

void Shell::execute(core::SendPeer& effect) {
  transport_.send(effect.to, effect.message);
}

void Shell::execute(core::SendGrant& effect) {
  backend_control_.order(
      effect.server, effect.address, effect.order,
      [this, alive = std::weak_ptr(alive_), server = effect.server,
       epoch = effect.order.front_epoch,
       sequence = effect.order.sequence](GrantReply reply) {
        if (alive.expired()) return;
        post(core::GrantReplied{server, epoch, sequence, std::move(reply)});
      });
}

void Shell::execute(core::SendToServer& effect) {
  HeldRequest* held = held_requests_.find(effect.request);
  if (held == nullptr) {
    return post(core::AttemptEnded{effect.request, effect.attempt,
                                   AttemptNotRun{Reason::kCancelled, {}, {}}});
  }
  OutboundRequest request = to_outbound_request(*held);
  request.server = effect.server;
  request.slot = effect.slot;
  request.key = effect.key;
  request.epoch = effect.epoch;
  request.front_epoch = effect.front_epoch;
  request.time_left = effect.time_left;
  request.repeatable = effect.repeatable;
  backend_calls_.run(effect.attempt, effect.address, request,
                     attempt_callback(effect.request, effect.attempt));
}

void Shell::execute(core::SendToFront& effect) {
  HeldRequest* held = held_requests_.find(effect.request);
  if (held == nullptr) {
    return post(core::AttemptEnded{effect.request, effect.attempt,
                                   AttemptNotRun{Reason::kCancelled, {}, {}}});
  }
  OutboundRequest request = to_outbound_request(*held);
  ++request.head.hops;
  request.server = effect.server;
  request.slot = effect.slot;
  request.key = effect.key;
  request.epoch = effect.epoch;
  request.time_left = effect.time_left;
  request.repeatable = effect.repeatable;
  transport_.forward(effect.attempt, effect.front, request,
                     attempt_callback(effect.request, effect.attempt));
}

void Shell::execute(core::CancelAttempt& effect) {
  backend_calls_.cancel(effect.attempt);
  transport_.cancel(effect.attempt);
}

void Shell::execute(core::RelayAnswer& effect) {
  HeldRequest* held = held_requests_.find(effect.request);
  if (held == nullptr) return;
  HeldAnswer answer = held->answers[effect.attempt];
  answered_latency_.record(steady_now() - held->arrived);
  if (!answer.payload) {
    return held_requests_.refuse(effect.request, Outcome::kUnknown,
                                 Reason::kConnectionLost, Duration(0), Epoch());
  }
  held_requests_.answer(effect.request, answer.status, answer.payload);
}

void Shell::execute(core::RefuseRequest& effect) {
  if (HeldRequest* held = held_requests_.find(effect.request)) {
    refused_latency_.record(steady_now() - held->arrived);
  }
  held_requests_.refuse(effect.request, effect.outcome, effect.reason,
                        effect.retry_after, effect.newer_epoch);
}

void Shell::execute(core::ReplyOperator& effect) {
  operator_port_.reply(effect.call, effect.answer);
}

void Shell::execute(core::LogEvent& effect) { log_event(effect.event); }

void Shell::execute(core::ExitProcess& /*effect*/) {
  if (std::exchange(exiting_, true)) return;
  // New streams of other daemons are refused, which proves to them that their
  // requests are not run.
  transport_.shut_down();
  exit_when_flushed(kMaxFlushChecks);
}

std::string Shell::metrics() const {
  auto gauge = [](std::string_view name, std::string_view help,
                  std::size_t value) {
    return Gauge{name, help, static_cast<double>(value)};
  };
  std::vector<Gauge> gauges = {
      gauge("held_requests", "Requests that have not ended",
            held_requests_.size()),
      gauge("held_body_bytes", "Bodies of requests that have not ended",
            held_requests_.body_bytes()),
      gauge("cached_values", "Store values in the cache",
            state_.cache.entries.size()),
      gauge("stopping", "1 while the daemon stops", state_.stopping ? 1 : 0)};
  std::vector<NamedHistogram> histograms = {
      {"answered_seconds", "From a request's arrival to its answer",
       &answered_latency_},
      {"refused_seconds", "From a request's arrival to its refusal",
       &refused_latency_}};
  return print_metrics(state_.counters, gauges, histograms);
}

}  // namespace eelgrasspin::io
