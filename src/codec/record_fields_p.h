#ifndef EELGRASSPIN_CODEC_RECORD_FIELDS_P_H_
#define EELGRASSPIN_CODEC_RECORD_FIELDS_P_H_

#include "codec/command_fields_p.h"
#include "codec/json_p.h"
#include "eelgrasspin/records.h"

/// Private to src/codec: fields of the records kept in the store. Those of
/// OwnershipMap and ZoneMap are in compact_map.cc.
namespace eelgrasspin::codec {

template <>
struct LastEnumerator<ServerStatus> {
  static constexpr auto kValue = ServerStatus::kLost;
};
template <>
struct LastEnumerator<SlotPhase> {
  static constexpr auto kValue = SlotPhase::kClosed;
};
template <>
struct LastEnumerator<IntentState> {
  static constexpr auto kValue = IntentState::kUnknown;
};
template <>
struct LastEnumerator<ClosureStep> {
  static constexpr auto kValue = ClosureStep::kCancelled;
};
template <>
struct LastEnumerator<CommandState> {
  static constexpr auto kValue = CommandState::kLostToConflict;
};
template <>
struct LastEnumerator<Outcome> {
  static constexpr auto kValue = Outcome::kUnknown;
};
template <>
struct LastEnumerator<Reason> {
  static constexpr auto kValue =
      static_cast<Reason>(static_cast<std::uint64_t>(Reason::kCount) - 1);
};

template <>
inline constexpr bool kWrittenAsArray<Intent> = true;
template <>
inline constexpr bool kWrittenAsArray<OwnershipSpan> = true;
template <>
inline constexpr bool kWrittenAsArray<RefusalSample> = true;

template <class A>
void fields(A& a, ConstIfWriting<A, CoordinatorLease>& v) {
  a("zone", v.zone);
  a("holder", v.holder);
  a("address", v.address);
  a("epoch", v.epoch);
  a("sequence", v.sequence);
  a("released", v.released);
}

template <class A>
void fields(A& a, ConstIfWriting<A, RosterMember>& v) {
  a("daemon", v.daemon);
  a("address", v.address);
  a("incarnation", v.incarnation);
  a("acknowledged", v.acknowledged);
}

template <class A>
void fields(A& a, ConstIfWriting<A, FrontPredecessor>& v) {
  a("daemon", v.daemon);
  a("incarnation", v.incarnation);
  a("epoch", v.epoch);
}

template <class A>
void fields(A& a, ConstIfWriting<A, FrontAssignment>& v) {
  a("daemon", v.daemon);
  a("address", v.address);
  a("incarnation", v.incarnation);
  a("epoch", v.epoch);
  a("awaiting_predecessor", v.awaiting_predecessor);
  a("predecessors", v.predecessors);
}

template <class A>
void fields(A& a, ConstIfWriting<A, ZoneRoster>& v) {
  a("zone", v.zone);
  a("coordinator_epoch", v.coordinator_epoch);
  a("write_id", v.write_id);
  a("members", v.members);
  a("lost", v.lost);
  a("fronts", v.fronts);
  a("statuses", v.statuses);
  a("fenced", v.fenced);
}

template <class A>
void fields(A& a, ConstIfWriting<A, SlotRecord>& v) {
  a("owner", v.owner);
  a("epoch", v.epoch);
  a("phase", v.phase);
  a("target", v.target);
  a("target_zone", v.target_zone);
}

template <class A>
void fields(A& a, ConstIfWriting<A, Intent>& v) {
  a("service", v.service);
  a("slot", v.slot);
  a("idempotency_key", v.idempotency_key);
  a("fingerprint", v.fingerprint);
  a("state", v.state);
  a("status", v.status);
  a("recorded", v.recorded);
  a("ticket", v.intent_id);
}

template <class A>
void fields(A& a, ConstIfWriting<A, IntentSegment>& v) {
  a("zone", v.zone);
  a("number", v.number);
  a("coordinator_epoch", v.coordinator_epoch);
  a("write_id", v.write_id);
  a("sealed", v.sealed);
  a("intents", v.intents);
}

template <class A>
void fields(A& a, ConstIfWriting<A, QuarantineEntry>& v) {
  a("fingerprint", v.fingerprint);
  a("service", v.service);
  a("operation", v.operation);
  a("key", v.key);
  a("strikes", v.strikes);
  a("until", v.until);
}

template <class A>
void fields(A& a, ConstIfWriting<A, QuarantineList>& v) {
  a("zone", v.zone);
  a("write_id", v.write_id);
  a("entries", v.entries);
  a("released", v.released);
}

template <class A>
void fields(A& a, ConstIfWriting<A, OutcomeCounts>& v) {
  a("by_reason", v.by_reason);
  a("admitted", v.admitted);
  a("in_flight", v.in_flight);
}

template <class A>
void fields(A& a, ConstIfWriting<A, RefusalSample>& v) {
  a("when", v.when);
  a("operation", v.operation);
  a("key", v.key);
  a("outcome", v.outcome);
  a("reason", v.reason);
}

template <class A>
void fields(A& a, ConstIfWriting<A, DaemonAccount>& v) {
  a("daemon", v.daemon);
  a("incarnation", v.incarnation);
  a("as_of", v.as_of);
  a("counts", v.counts);
  a("samples", v.samples);
}

template <class A>
void fields(A& a, ConstIfWriting<A, ZoneAccount>& v) {
  a("service", v.service);
  a("zone", v.zone);
  a("write_id", v.write_id);
  a("daemons", v.daemons);
}

template <class A>
void fields(A& a, ConstIfWriting<A, OwnershipSpan>& v) {
  a("first_slot", v.first_slot);
  a("last_slot", v.last_slot);
  a("key", v.key);
  a("server", v.server);
  a("epoch", v.epoch);
  a("from", v.from);
  a("until", v.until);
}

template <class A>
void fields(A& a, ConstIfWriting<A, OwnershipHistory>& v) {
  a("service", v.service);
  a("zone", v.zone);
  a("write_id", v.write_id);
  a("dropped_spans", v.dropped_spans);
  a("spans", v.spans);
}

template <class A>
void fields(A& a, ConstIfWriting<A, ClosurePart>& v) {
  a("service", v.service);
  a("zone", v.zone);
  a("closure", v.closure);
  a("write_id", v.write_id);
  a("step", v.step);
  a("reached", v.reached);
  a("in_flight_at", v.in_flight_at);
  a("slots_owned", v.slots_owned);
  a("not_heard", v.not_reported);
  a("accounts", v.accounts);
  a("ownership", v.ownership);
}

template <class A>
void fields(A& a, ConstIfWriting<A, Closure>& v) {
  a("service", v.service);
  a("id", v.id);
  a("ordered_by", v.ordered_by);
  a("reason", v.reason);
  a("ordered", v.ordered);
  a("deadline", v.deadline);
  a("step", v.step);
  a("write_id", v.write_id);
  a("zones", v.zones);
  a("not_heard", v.not_reported);
  a("part_hashes", v.part_hashes);
  a("seal", v.seal);
  a("sealed_at", v.sealed_at);
}

template <class A>
void fields(A& a, ConstIfWriting<A, CommandRecord>& v) {
  a("id", v.id);
  a("ordered_by", v.ordered_by);
  a("ordered", v.ordered);
  a("text", v.text);
  a("command", v.command);
  a("base", v.base);
  a("state", v.state);
  a("result", v.result);
  a("finished", v.finished);
  a("write_id", v.write_id);
}

template <class A>
void fields(A& a, ConstIfWriting<A, DrainPlan>& v) {
  a("id", v.id);
  a("server", v.server);
  a("ordered_by", v.ordered_by);
  a("ordered", v.ordered);
  a("within", v.within);
  a("cancelled", v.cancelled);
  a("write_id", v.write_id);
}

template <class A>
void fields(A& a, ConstIfWriting<A, DamagedRecord>& v) {
  a("why", v.reason);
}

/// Encodes any record other than monostate, with its type and format number.
json::value record_to_json(const Record& record);
/// Returns a DamagedRecord if `value` cannot be decoded.
Record record_from_json(const StoreKey& key, const json::value& value);

template <>
struct Json<StoreEntry> {
  static json::value encode(const StoreEntry& entry);
  static void decode(const json::value& value, StoreEntry& out,
                     Failure& failure);
};

}  // namespace eelgrasspin::codec

#endif  // EELGRASSPIN_CODEC_RECORD_FIELDS_P_H_
