#ifndef EELGRASSPIN_CODEC_MESSAGE_FIELDS_P_H_
#define EELGRASSPIN_CODEC_MESSAGE_FIELDS_P_H_

#include "codec/record_fields_p.h"
#include "eelgrasspin/grant.h"
#include "eelgrasspin/peer_message.h"
#include "eelgrasspin/vm_list.h"

/// Private to src/codec: fields of messages between daemons, of grant orders
/// and replies, and of VM list entries.
namespace eelgrasspin::codec {

template <>
struct LastEnumerator<VmState> {
  static constexpr auto kValue = VmState::kGone;
};

template <>
inline constexpr bool kWrittenAsArray<SlotGrant> = true;
template <>
inline constexpr bool kWrittenAsArray<HotKey> = true;

template <>
struct TypeName<Heartbeat> {
  static constexpr std::string_view kValue = "heartbeat";
};
template <>
struct TypeName<HeartbeatAnswer> {
  static constexpr std::string_view kValue = "heartbeat_answer";
};
template <>
struct TypeName<StoreRelay> {
  static constexpr std::string_view kValue = "store_relay";
};
template <>
struct TypeName<CacheRequest> {
  static constexpr std::string_view kValue = "cache_request";
};
template <>
struct TypeName<PeerHello> {
  static constexpr std::string_view kValue = "peer_hello";
};
template <>
struct TypeName<IntentBatch> {
  static constexpr std::string_view kValue = "intent_batch";
};
template <>
struct TypeName<IntentBatchAnswer> {
  static constexpr std::string_view kValue = "intent_batch_answer";
};
template <>
struct TypeName<IntentOutcomes> {
  static constexpr std::string_view kValue = "intent_outcomes";
};
template <>
struct TypeName<StrikeReport> {
  static constexpr std::string_view kValue = "strike_report";
};
template <>
struct TypeName<CommandCall> {
  static constexpr std::string_view kValue = "command_call";
};
template <>
struct TypeName<CommandCallAnswer> {
  static constexpr std::string_view kValue = "command_call_answer";
};
template <>
struct TypeName<GrantAnswer> {
  static constexpr std::string_view kValue = "grant_answer";
};
template <>
struct TypeName<GrantStale> {
  static constexpr std::string_view kValue = "grant_stale";
};
template <>
struct TypeName<GrantUnreachable> {
  static constexpr std::string_view kValue = "grant_unreachable";
};

template <class A>
void fields(A& a, ConstIfWriting<A, SlotGrant>& v) {
  a("slot", v.slot);
  a("key", v.key);
  a("epoch", v.epoch);
}

template <class A>
void fields(A& a, ConstIfWriting<A, HotKey>& v) {
  a("key", v.key);
  a("rate", v.rate);
}

template <class A>
void fields(A& a, ConstIfWriting<A, FrontReport>& v) {
  a("server", v.server);
  a("front_epoch", v.front_epoch);
  a("holds_grant", v.holds_grant);
  a("lapsed", v.lapsed);
  a("stopped", v.stopped);
  a("released", v.released);
  a("requests_per_second", v.requests_per_second);
  a("queued", v.queued);
  a("running", v.running);
  a("slot_rates", v.slot_rates);
  a("hot_keys", v.hot_keys);
  a("silent", v.grant_expired);
  a("map_version", v.map_version);
}

template <class A>
void fields(A& a, ConstIfWriting<A, Heartbeat>& v) {
  a("daemon", v.daemon);
  a("zone", v.zone);
  a("address", v.address);
  a("incarnation", v.incarnation);
  a("coordinator_epoch", v.coordinator_epoch);
  a("round", v.round);
  a("cache_revision", v.cache_revision);
  a("stopping", v.stopping);
  a("hears_store", v.reaches_store);
  a("silent", v.ignored_members);
  a("fronts", v.fronts);
  a("accounts", v.accounts);
}

template <class A>
void fields(A& a, ConstIfWriting<A, HeartbeatAnswer>& v) {
  a("zone", v.zone);
  a("coordinator", v.coordinator);
  a("coordinator_epoch", v.coordinator_epoch);
  a("round", v.round);
  a("revision", v.revision);
}

template <class A>
void fields(A& a, ConstIfWriting<A, StoreRelay>& v) {
  a("zone", v.zone);
  a("coordinator_epoch", v.coordinator_epoch);
  a("since", v.since);
  a("revision", v.revision);
  a("entries", v.entries);
}

template <class A>
void fields(A& a, ConstIfWriting<A, CacheRequest>& v) {
  a("daemon", v.daemon);
  a("address", v.address);
}

template <class A>
void fields(A& a, ConstIfWriting<A, PeerHello>& v) {
  a("daemon", v.daemon);
  a("zone", v.zone);
  a("incarnation", v.incarnation);
  a("round", v.round);
  a("echo", v.echo);
}

template <class A>
void fields(A& a, ConstIfWriting<A, IntentBatch>& v) {
  a("daemon", v.daemon);
  a("address", v.address);
  a("batch", v.batch);
  a("intents", v.intents);
  a("zone", v.zone);
}

template <class A>
void fields(A& a, ConstIfWriting<A, IntentVerdict>& v) {
  a("recorded", v.recorded);
  a("earlier", v.earlier);
}

template <class A>
void fields(A& a, ConstIfWriting<A, IntentBatchAnswer>& v) {
  a("batch", v.batch);
  a("verdicts", v.verdicts);
}

template <class A>
void fields(A& a, ConstIfWriting<A, IntentOutcomes>& v) {
  a("daemon", v.daemon);
  a("intents", v.intents);
  a("address", v.address);
  a("batch", v.batch);
  a("zone", v.zone);
}

template <class A>
void fields(A& a, ConstIfWriting<A, StrikeReport>& v) {
  a("daemon", v.daemon);
  a("entry", v.entry);
  a("event", v.report_id);
  a("zone", v.zone);
}

template <class A>
void fields(A& a, ConstIfWriting<A, CommandCall>& v) {
  a("call", v.call);
  a("from", v.from);
  a("address", v.address);
  a("ordered_by", v.ordered_by);
  a("id", v.id);
  a("text", v.text);
  a("command", v.command);
}

template <class A>
void fields(A& a, ConstIfWriting<A, CommandCallAnswer>& v) {
  a("call", v.call);
  a("from", v.from);
  a("answer", v.answer);
}

template <class A>
void fields(A& a, ConstIfWriting<A, GrantOrder>& v) {
  a("front", v.front);
  a("front_epoch", v.front_epoch);
  a("sequence", v.sequence);
  a("echo", v.echo);
  a("term", v.term);
  a("set_version", v.set_version);
  a("carries_set", v.carries_set);
  a("slots", v.slots);
  a("want_inventory", v.want_inventory);
}

template <class A>
void fields(A& a, ConstIfWriting<A, GrantAnswer>& v) {
  a("incarnation", v.incarnation);
  a("front_epoch", v.front_epoch);
  a("sequence", v.sequence);
  a("set_version", v.set_version);
  a("applied_set_version", v.applied_set_version);
  a("inventory", v.inventory);
  a("running", v.running);
}

template <class A>
void fields(A& a, ConstIfWriting<A, GrantStale>& v) {
  a("highest", v.highest_epoch);
}

template <class A>
void fields(A& a, ConstIfWriting<A, GrantUnreachable>& v) {
  a("connection_refused", v.connection_refused);
}

template <class A>
void fields(A& a, ConstIfWriting<A, VmEntry>& v) {
  a("name", v.name);
  a("state", v.state);
}

}  // namespace eelgrasspin::codec

#endif  // EELGRASSPIN_CODEC_MESSAGE_FIELDS_P_H_
