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

/// The daemon's own zone and other zones whose roster names it.
std::vector<ZoneName> involved_zones(const core::State& state) {
  std::vector<ZoneName> zones{state.self.zone};
  const DaemonName& self = state.self.name;
  for_each_prefixed(
      state.cache, StoreKey("live/zone/"), [&](const StoreEntry& entry) {
        const auto* zone_roster = std::get_if<ZoneRoster>(&entry.record);
        if (zone_roster == nullptr || zone_roster->zone == state.self.zone)
          return;
        bool named = find_member(zone_roster->members, self) != nullptr ||
                     find_member(zone_roster->lost, self) != nullptr;
        for (const auto& [server, front] : zone_roster->fronts) {
          named = named || front.daemon == self;
          for (const FrontPredecessor& predecessor : front.predecessors)
            named = named || predecessor.daemon == self;
        }
        if (named) zones.push_back(zone_roster->zone);
      });
  return zones;
}

/// Lost members of the own zone; this daemon no longer answers them.
std::vector<DaemonName> members_to_ignore(const core::State& state) {
  std::vector<DaemonName> ignored;
  const ZoneRoster* own_roster = roster(state.cache, state.self.zone);
  if (own_roster == nullptr) return ignored;
  for (const RosterMember& member : own_roster->lost)
    ignored.push_back(member.daemon);
  return ignored;
}

/// Whether a closure is in progress, which needs fresh accounts.
bool closure_in_progress(const core::State& state) {
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
  Heartbeat heartbeat{.daemon = state.self.name,
                      .zone = state.self.zone,
                      .address = state.self.address,
                      .incarnation = state.self.incarnation,
                      .round = state.membership.round,
                      .cache_revision = state.membership.revision,
                      .stopping = state.stopping,
                      .reaches_store = is_store_reachable(state, now),
                      .ignored_members = members_to_ignore(state),
                      .fronts = ownership::front_reports(state, now)};
  TimePoint& next_accounts = state.membership.next_accounts;
  bool due = now.mono >= next_accounts || state.stopping;
  if (due || closure_in_progress(state)) {
    next_accounts = now.mono + config::kAccountInterval;
    heartbeat.accounts = request::accounts(state, now);
  }
  return heartbeat;
}

void start_round(core::State& state, Now now) {
  State& membership = state.membership;
  membership.next_heartbeat = now.mono + config::kHeartbeatInterval;
  ++membership.round;
  membership.sent_rounds.push_back({membership.round, now.mono});
  if (membership.sent_rounds.size() > config::kMaxHeartbeatRounds)
    membership.sent_rounds.pop_front();
}

void send_heartbeats(core::State& state, Now now, Effects& effects) {
  Heartbeat heartbeat = make_heartbeat(state, now);
  if (!coordinated_zones(state, now).empty())
    accept_reports(state, heartbeat, now);
  for (const ZoneName& zone : involved_zones(state)) {
    Endpoint to = coordinator_address(state, zone);
    if (to.empty() || to == state.self.address) continue;
    const CoordinatorLease* lease = coordinator_lease(state.cache, zone);
    if (lease != nullptr) heartbeat.coordinator_epoch = lease->epoch;
    send_peer(state, to, heartbeat, effects);
  }
}

/// Newest round received from a member, to be echoed to it. A stopping daemon
/// echoes 0: it must not count as evidence that others are reachable.
std::uint64_t echo_for(const core::State& state, const RosterMember& member) {
  const Peer* peer = find_peer(state, member.daemon);
  bool same_incarnation =
      peer != nullptr && peer->incarnation == member.incarnation;
  return same_incarnation && !state.stopping ? peer->round : 0;
}

void send_hellos(core::State& state, Effects& effects) {
  for (const ZoneName& zone : involved_zones(state)) {
    const ZoneRoster* zone_roster = roster(state.cache, zone);
    if (zone_roster == nullptr) continue;
    for (const RosterMember& member :
         neighbours(*zone_roster, state.self.name)) {
      PeerHello hello{.daemon = state.self.name,
                      .zone = zone,
                      .incarnation = state.self.incarnation,
                      .round = state.membership.round,
                      .echo = echo_for(state, member)};
      send_peer(state, member.address, hello, effects);
    }
  }
}

/// Null if the message is from an incarnation that has been replaced by a later
/// one.
Peer* record_received(core::State& state, const DaemonName& daemon,
                      Incarnation incarnation, Now now) {
  Peer& peer = state.membership.peers[daemon];
  if (incarnation == peer.previous_incarnation && incarnation.value != 0)
    return nullptr;
  if (incarnation != peer.incarnation) {
    peer = Peer{.incarnation = incarnation,
                .previous_incarnation = peer.incarnation};
  }
  peer.last_received = now.mono;
  return &peer;
}

std::optional<TimePoint> round_sent_time(const core::State& state,
                                         std::uint64_t round) {
  for (const SentRound& sent : state.membership.sent_rounds) {
    if (sent.round == round) return sent.sent;
  }
  return std::nullopt;
}

void update_echo(const core::State& state, Peer& peer, std::uint64_t round) {
  std::optional<TimePoint> sent = round_sent_time(state, round);
  if (sent && (!peer.echoed_round_sent || *peer.echoed_round_sent < *sent))
    peer.echoed_round_sent = sent;
}

/// Sends a member the entries that its cache lacks, at most once in half a
/// heartbeat interval.
void relay_missing_entries(core::State& state, const Heartbeat& heartbeat,
                           Peer& peer, Now now, Effects& effects) {
  if (heartbeat.cache_revision >= state.membership.sync.newest_relayed) return;
  if (now.mono - peer.last_relayed < config::kHeartbeatInterval / 2) return;
  peer.last_relayed = now.mono;
  send_missing_entries(state, heartbeat.address, heartbeat.cache_revision,
                       effects);
}

bool is_current_member(const core::State& state, const Heartbeat& heartbeat) {
  const ZoneRoster* zone_roster = roster(state.cache, heartbeat.zone);
  if (zone_roster == nullptr) return false;
  const RosterMember* member =
      find_member(zone_roster->members, heartbeat.daemon);
  return member != nullptr && member->incarnation == heartbeat.incarnation;
}

void on_heartbeat(core::State& state, const Heartbeat& heartbeat, Now now,
                  Effects& effects) {
  Peer* peer =
      record_received(state, heartbeat.daemon, heartbeat.incarnation, now);
  if (peer == nullptr) return;
  bool outdated = peer->heartbeat && heartbeat.round < peer->heartbeat->round;
  if (outdated) return;
  if (!is_current_member(state, heartbeat) || heartbeat.stopping)
    state.membership.roster_due = true;
  peer->heartbeat = heartbeat;
  peer->heartbeat->fronts.clear();
  peer->heartbeat->accounts.clear();
  peer->heartbeat_received = now.mono;
  if (coordinated_zones(state, now).empty()) return;
  accept_reports(state, heartbeat, now);
  relay_missing_entries(state, heartbeat, *peer, now, effects);
  if (!coordinates(state, heartbeat.zone, now) ||
      !is_current_member(state, heartbeat))
    return;
  HeartbeatAnswer answer{
      .zone = heartbeat.zone,
      .coordinator = state.self.name,
      .coordinator_epoch = coordinator_epoch(state, heartbeat.zone),
      .round = heartbeat.round,
      .revision = state.membership.revision};
  send_peer(state, heartbeat.address, answer, effects);
}

void on_heartbeat_answer(core::State& state, const HeartbeatAnswer& answer,
                         Now now, Effects& effects) {
  const CoordinatorLease* lease = coordinator_lease(state.cache, answer.zone);
  bool superseded = lease != nullptr && answer.coordinator_epoch < lease->epoch;
  if (superseded && state.guards.fence) return;
  std::optional<TimePoint> sent = round_sent_time(state, answer.round);
  if (!sent) return;
  ObservedLease& observed = state.membership.leases[answer.zone];
  observed.last_coordinator_message = now.mono;
  confirm_membership(observed, *sent);
  mark_store_up(state, now, effects);
  state.membership.peers[answer.coordinator].last_received = now.mono;
}

void on_hello(core::State& state, const PeerHello& hello, Now now) {
  const ZoneRoster* zone_roster = roster(state.cache, hello.zone);
  if (zone_roster == nullptr) return;
  const RosterMember* member = find_member(zone_roster->members, hello.daemon);
  if (member == nullptr || member->incarnation != hello.incarnation) return;
  Peer* peer = record_received(state, hello.daemon, hello.incarnation, now);
  if (peer == nullptr) return;
  peer->round = std::max(peer->round, hello.round);
  update_echo(state, *peer, hello.echo);
}

/// Drops daemons without a message for config::kPeerRetention; rosters have
/// dropped them by then.
void forget_expired_peers(core::State& state, Now now) {
  std::erase_if(state.membership.peers, [&](const auto& entry) {
    return now.mono - entry.second.last_received > config::kPeerRetention;
  });
}

}  // namespace

const Peer* find_peer(const core::State& state, const DaemonName& daemon) {
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
  auto self_position = std::find_if(
      ring.begin(), ring.end(),
      [&](const RosterMember& member) { return member.daemon == self; });
  if (self_position == ring.end()) return {};
  std::rotate(ring.begin(), self_position, ring.end());
  ring.erase(ring.begin());
  if (ring.size() <= config::kHelloNeighbours) return ring;
  constexpr std::ptrdiff_t kEachSide = config::kHelloNeighbours / 2;
  ring.erase(ring.begin() + kEachSide, ring.end() - kEachSide);
  return ring;
}

void step_liveness(core::State& state, const Event& event, Now now,
                   Effects& effects) {
  if (const auto* received = std::get_if<PeerReceived>(&event)) {
    if (const auto* heartbeat = std::get_if<Heartbeat>(&received->message))
      on_heartbeat(state, *heartbeat, now, effects);
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
  forget_expired_peers(state, now);
}

}  // namespace eelgrasspin::core::membership
