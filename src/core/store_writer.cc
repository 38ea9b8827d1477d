#include "core/store_writer.h"

#include <utility>

#include "core/state.h"

namespace eelgrasspin::core {
namespace {

void send(State& state, PendingWrite& write, Effects& effects) {
  write.op = next_store_op(state);
  write.outstanding = true;
  state.writer.ops[write.op] = write.key;
  ++state.counters[Counter::kStoreWrites];
  effects.push_back(
      StorePut{write.op, write.key, write.expected, write.record});
}

void settle(State& state, const StoreKey& key, bool took_effect) {
  auto it = state.writer.pending.find(key);
  state.writer.settled.push_back({key, took_effect, it->second.first_sent});
  state.writer.pending.erase(it);
}

void on_conflict(State& state, PendingWrite& write,
                 const StoreConflict& conflict) {
  bool is_own_write = conflict.current.record == write.record;
  apply(state.cache, conflict.current);
  settle(state, write.key, is_own_write);
}

void on_unavailable(State& state, PendingWrite& write, Now now) {
  if (!state.guards.settle_lost_answers) {
    settle(state, write.key, false);
    return;
  }
  write.outstanding = false;
  write.retry_at = now.mono + config::kStoreRetryInterval;
}

void on_answer(State& state, const StoreAnswered& answer, Now now) {
  auto op = state.writer.ops.find(answer.op);
  if (op == state.writer.ops.end()) return;
  StoreKey key = op->second;
  state.writer.ops.erase(op);
  auto it = state.writer.pending.find(key);
  if (it == state.writer.pending.end() || it->second.op != answer.op) return;
  PendingWrite& write = it->second;
  if (const auto* written = std::get_if<StoreWritten>(&answer.result)) {
    apply(state.cache, {key, written->version, write.record});
    settle(state, key, true);
  } else if (const auto* conflict =
                 std::get_if<StoreConflict>(&answer.result)) {
    ++state.counters[Counter::kStoreConflicts];
    on_conflict(state, write, *conflict);
  } else {
    ++state.counters[Counter::kStoreUnavailable];
    on_unavailable(state, write, now);
  }
}

}  // namespace

std::uint64_t new_write_id(State& state) {
  return (state.self.incarnation.value << 20) + state.writer.next_write_id++;
}

bool write_pending(const State& state, const StoreKey& key) {
  return state.writer.pending.contains(key);
}

void start_write(State& state, const StoreKey& key, Version expected,
                 Record record, Now now, Effects& effects) {
  PendingWrite write{.key = key,
                     .expected = expected,
                     .record = std::move(record),
                     .first_sent = now.mono};
  auto [it, inserted] = state.writer.pending.emplace(key, std::move(write));
  if (inserted) send(state, it->second, effects);
}

void abandon_write(State& state, const StoreKey& key) {
  state.writer.pending.erase(key);
}

void step_store_writer(State& state, const Event& event, Now now,
                       Effects& effects) {
  state.writer.settled.clear();
  if (const auto* answer = std::get_if<StoreAnswered>(&event))
    on_answer(state, *answer, now);
  if (!std::holds_alternative<Tick>(event)) return;
  for (auto& [key, write] : state.writer.pending) {
    if (!write.outstanding && now.mono >= write.retry_at)
      send(state, write, effects);
  }
}

const SettledWrite* settled_write(const State& state, const StoreKey& key) {
  for (const SettledWrite& write : state.writer.settled) {
    if (write.key == key) return &write;
  }
  return nullptr;
}

}  // namespace eelgrasspin::core
