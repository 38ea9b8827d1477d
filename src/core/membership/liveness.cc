#include "core/membership/liveness.h"

#include <algorithm>
#include <utility>

#include "core/membership/coordinator_lease.h"
#include "core/membership/peer_send.h"
#include "core/membership/reports.h"
#include "core/membership/store_sync.h"
#include "core/ownership/ownership.h"
#include "core/request/requests.h"

namespace eelgrasspin::core::membership {
namespace {

/// Zones whose roster names this daemon, besides its own.
std::vector<ZoneName> zones_involved(const core::State& state) {
  std::vector<ZoneName> zones{state.self.zone};
  const DaemonName& self = state.self.name;
  for_each_prefixed(
      state.cache, StoreKey("live/zone/"), [&](const StoreEntry& entry) {
        const auto* other = std::get_if<ZoneRoster>(&entry.record);
        if (other == nullptr || other->zone == state.self.zone) return;
        bool named = find_member(other->members, self) != nullptr ||
                     find_member(other->lost, self) != nullptr;
        for (const auto& [server, front] : other->fronts) {
          named = named || front.daemon == self;
          for (const FrontPredecessor& earlier : front.predecessors)
            named = named || earlier.daemon == self;
        }
        if (named) zones.push_back(other->zone);
      });
  return zones;
}

/// Lost members this daemon answers no more.
std::vector<DaemonName> silent_members(const core::State& state) {
  std::vector<DaemonName> ignored_members;
  const ZoneRoster* own = roster(state.cache, state.self.zone);
  if (own == nullptr) return ignored_members;
  for (const RosterMember& member : own->lost)
    ignored_members.push_back(member.daemon);
  return ignored_members;
}

/// A closure waits for fresh accounts.
bool closure_under_way(const core::State& state) {
  bool found = false;
  for_each_prefixed(state.cache, StoreKey("live/closure/"),
                    [&](const StoreEntry& entry) {
                      const auto* closure = std::get_if<Closure>(&entry.record);
                      bool open = closure != nullptr &&
                                  closure->step != ClosureStep::kSealed &&
                                  closure->step != ClosureStep::kCancelled;
                      found = found || open;
                    });
  return found;
}

Heartbeat make_heartbeat(core::State& state, Now now) {
  Heartbeat beat{.daemon = state.self.name,
                 .zone = state.self.zone,
                 .address = state.self.address,
                 .incarnation = state.self.incarnation,
                 .round = state.membership.round,
                 .cache_revision = state.membership.revision,
                 .stopping = state.stopping,
                 .reaches_store = reaches_store(state, now),
                 .ignored_members = silent_members(state),
                 .fronts = ownership::front_reports(state, now)};
  TimePoint& next_accounts = state.membership.next_accounts;
  bool due = now.mono >= next_accounts || state.stopping;
  if (due || closure_under_way(state)) {
    next_accounts = now.mono + config::kAccountInterval;
    beat.accounts = request::accounts(state, now);
  }
  return beat;
}

void start_round(core::State& state, Now now) {
  State& own = state.membership;
  own.next_heartbeat = now.mono + config::kHeartbeatInterval;
  ++own.round;
  own.rounds.push_back({own.round, now.mono});
  if (own.rounds.size() > config::kMaxHeartbeatRounds) own.rounds.pop_front();
}

void send_heartbeats(core::State& state, Now now, Effects& effects) {
  Heartbeat beat = make_heartbeat(state, now);
  if (!coordinated_zones(state, now).empty()) take_reports(state, beat, now);
  for (const ZoneName& zone : zones_involved(state)) {
    Endpoint to = coordinator_address(state, zone);
    if (to.empty() || to == state.self.address) continue;
    const CoordinatorLease* lease = coordinator_lease(state.cache, zone);
    if (lease != nullptr) beat.coordinator_epoch = lease->epoch;
    send_peer(state, to, beat, effects);
  }
}

/// Newest round of a member to be echoed to it. A stopping daemon vouches for
/// nobody.
std::uint64_t echo_for(const core::State& state, const RosterMember& member) {
  const Peer* known = peer(state, member.daemon);
  bool same = known != nullptr && known->incarnation == member.incarnation;
  return same && !state.stopping ? known->round : 0;
}

void send_hellos(core::State& state, Effects& effects) {
  for (const ZoneName& zone : zones_involved(state)) {
    const ZoneRoster* members = roster(state.cache, zone);
    if (members == nullptr) continue;
    for (const RosterMember& member : neighbours(*members, state.self.name)) {
      PeerHello hello{.daemon = state.self.name,
                      .zone = zone,
                      .incarnation = state.self.incarnation,
                      .round = state.membership.round,
                      .echo = echo_for(state, member)};
      send_peer(state, member.address, hello, effects);
    }
  }
}

/// Null if the message is of a run that has been replaced by another.
Peer* note_heard(core::State& state, const DaemonName& daemon,
                 Incarnation incarnation, Now now) {
  Peer& known = state.membership.peers[daemon];
  if (incarnation == known.earlier_incarnation && incarnation.value != 0)
    return nullptr;
  if (incarnation != known.incarnation) {
    known = Peer{.incarnation = incarnation,
                 .earlier_incarnation = known.incarnation};
  }
  known.heard = now.mono;
  return &known;
}

std::optional<TimePoint> sent_time(const core::State& state,
                                   std::uint64_t round) {
  for (const SentRound& sent : state.membership.rounds) {
    if (sent.round == round) return sent.sent;
  }
  return std::nullopt;
}

void note_echo(const core::State& state, Peer& known, std::uint64_t round) {
  std::optional<TimePoint> sent = sent_time(state, round);
  if (sent && (!known.echo_sent || *known.echo_sent < *sent))
    known.echo_sent = sent;
}

/// Sends what a member's cache lacks, at most once in each heartbeat interval.
void fill_gap(core::State& state, const Heartbeat& beat, Peer& known, Now now,
              Effects& effects) {
  if (beat.cache_revision >= state.membership.sync.last_change) return;
  if (now.mono - known.relayed_at < config::kHeartbeatInterval / 2) return;
  known.relayed_at = now.mono;
  send_missing(state, beat.address, beat.cache_revision, effects);
}

bool is_current_member(const core::State& state, const Heartbeat& beat) {
  const ZoneRoster* members = roster(state.cache, beat.zone);
  if (members == nullptr) return false;
  const RosterMember* member = find_member(members->members, beat.daemon);
  return member != nullptr && member->incarnation == beat.incarnation;
}

void on_heartbeat(core::State& state, const Heartbeat& beat, Now now,
                  Effects& effects) {
  Peer* known = note_heard(state, beat.daemon, beat.incarnation, now);
  if (known == nullptr) return;
  bool repeated = known->heartbeat && beat.round < known->heartbeat->round;
  if (repeated) return;
  if (!is_current_member(state, beat) || beat.stopping)
    state.membership.roster_due = true;
  known->heartbeat = beat;
  known->heartbeat->fronts.clear();
  known->heartbeat->accounts.clear();
  known->heartbeat_heard = now.mono;
  if (coordinated_zones(state, now).empty()) return;
  take_reports(state, beat, now);
  fill_gap(state, beat, *known, now, effects);
  if (!coordinates(state, beat.zone, now) || !is_current_member(state, beat))
    return;
  HeartbeatAnswer answer{
      .zone = beat.zone,
      .coordinator = state.self.name,
      .coordinator_epoch = coordinator_epoch(state, beat.zone),
      .round = beat.round,
      .revision = state.membership.revision};
  send_peer(state, beat.address, answer, effects);
}

void on_heartbeat_answer(core::State& state, const HeartbeatAnswer& answer,
                         Now now, Effects& effects) {
  const CoordinatorLease* lease = coordinator_lease(state.cache, answer.zone);
  bool deposed = lease != nullptr && answer.coordinator_epoch < lease->epoch;
  if (deposed && state.guards.fence) return;
  std::optional<TimePoint> sent = sent_time(state, answer.round);
  if (!sent) return;
  ZoneLease& observed = state.membership.leases[answer.zone];
  observed.heard = now.mono;
  note_evidence(observed, *sent);
  note_store_up(state, now, effects);
  state.membership.peers[answer.coordinator].heard = now.mono;
}

void on_hello(core::State& state, const PeerHello& hello, Now now) {
  const ZoneRoster* members = roster(state.cache, hello.zone);
  if (members == nullptr) return;
  const RosterMember* member = find_member(members->members, hello.daemon);
  if (member == nullptr || member->incarnation != hello.incarnation) return;
  Peer* known = note_heard(state, hello.daemon, hello.incarnation, now);
  if (known == nullptr) return;
  known->round = std::max(known->round, hello.round);
  note_echo(state, *known, hello.echo);
}

/// Drops daemons not heard for long; their rosters have dropped them, too.
void forget_silent_peers(core::State& state, Now now) {
  std::erase_if(state.membership.peers, [&](const auto& entry) {
    return now.mono - entry.second.heard > config::kPeerRetention;
  });
}

}  // namespace

const Peer* peer(const core::State& state, const DaemonName& daemon) {
  auto it = state.membership.peers.find(daemon);
  return it == state.membership.peers.end() ? nullptr : &it->second;
}

const RosterMember* find_member(const std::vector<RosterMember>& members,
                                const DaemonName& daemon) {
  for (const RosterMember& member : members) {
    if (member.daemon == daemon) return &member;
  }
  return nullptr;
}

std::vector<RosterMember> neighbours(const ZoneRoster& roster,
                                     const DaemonName& self) {
  std::vector<RosterMember> ring = roster.members;
  std::sort(ring.begin(), ring.end(),
            [](const RosterMember& left, const RosterMember& right) {
              return left.daemon < right.daemon;
            });
  auto own = std::find_if(
      ring.begin(), ring.end(),
      [&](const RosterMember& member) { return member.daemon == self; });
  if (own == ring.end()) return {};
  std::rotate(ring.begin(), own, ring.end());
  ring.erase(ring.begin());
  if (ring.size() <= config::kHelloNeighbours) return ring;
  constexpr std::ptrdiff_t kEachSide = config::kHelloNeighbours / 2;
  ring.erase(ring.begin() + kEachSide, ring.end() - kEachSide);
  return ring;
}

void step_liveness(core::State& state, const Event& event, Now now,
                   Effects& effects) {
  if (const auto* received = std::get_if<PeerReceived>(&event)) {
    if (const auto* beat = std::get_if<Heartbeat>(&received->message))
      on_heartbeat(state, *beat, now, effects);
    if (const auto* answer = std::get_if<HeartbeatAnswer>(&received->message))
      on_heartbeat_answer(state, *answer, now, effects);
    if (const auto* hello = std::get_if<PeerHello>(&received->message))
      on_hello(state, *hello, now);
  }
  bool due = std::holds_alternative<Tick>(event) &&
             now.mono >= state.membership.next_heartbeat;
  if (!due) return;
  start_round(state, now);
  send_heartbeats(state, now, effects);
  send_hellos(state, effects);
  forget_silent_peers(state, now);
}

}  // namespace eelgrasspin::core::membership
