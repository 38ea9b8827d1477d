#include "core/operator/accounts.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "core/membership/membership.h"
#include "core/state.h"

namespace eelgrasspin::core::operators {
namespace {

using AccountSetKey = std::pair<ServiceName, ZoneName>;

void merge(AccountSet& set, const DaemonAccount& account) {
  DaemonAccount& known = set.daemons[{account.daemon, account.incarnation}];
  if (known.as_of > account.as_of || known.counts == account.counts) return;
  known = account;
  set.changed = true;
}

void take_stored(AccountSet& set, const StoreEntry& entry) {
  set.version = entry.version;
  const auto* stored = std::get_if<ZoneAccount>(&entry.record);
  if (stored == nullptr) return;
  for (const DaemonAccount& account : stored->daemons) merge(set, account);
}

void load(core::State& state, const AccountSetKey& key, AccountSet& set,
          Effects& effects) {
  if (set.loaded || set.load) return;
  set.load = next_store_op(state);
  ++state.counters[Counter::kStoreReads];
  effects.push_back(StoreGet{*set.load, account_key(key.first, key.second)});
}

void on_answer(core::State& state, const StoreAnswered& answer) {
  for (auto& [key, set] : state.operators.account_sets) {
    if (set.load != answer.op) continue;
    set.load.reset();
    const auto* read = std::get_if<StoreRead>(&answer.result);
    if (read == nullptr || read->entries.empty()) return;
    if (std::holds_alternative<DamagedRecord>(read->entries.front().record))
      return;
    take_stored(set, read->entries.front());
    set.loaded = true;
    return;
  }
}

void on_settled(core::State& state, const AccountSetKey& key, AccountSet& set) {
  StoreKey store_key = account_key(key.first, key.second);
  if (settled_write(state, store_key) == nullptr) return;
  auto it = state.cache.entries.find(store_key);
  if (it != state.cache.entries.end()) take_stored(set, it->second);
}

void write(core::State& state, const AccountSetKey& key, AccountSet& set,
           Now now, Effects& effects) {
  StoreKey store_key = account_key(key.first, key.second);
  if (!set.loaded || !set.changed || now.mono < set.next_write ||
      write_pending(state, store_key))
    return;
  ZoneAccount account{.service = key.first,
                      .zone = key.second,
                      .write_id = new_write_id(state)};
  for (const auto& [daemon, known] : set.daemons)
    account.daemons.push_back(known);
  set.changed = false;
  set.next_write = now.mono + config::kAccountInterval;
  start_write(state, store_key, set.version, account, now, effects);
}

bool is_member(const core::State& state, const ZoneName& zone,
               const DaemonName& daemon) {
  const ZoneRoster* zone_roster = roster(state.cache, zone);
  return zone_roster != nullptr &&
         std::any_of(zone_roster->members.begin(), zone_roster->members.end(),
                     [&](const RosterMember& member) {
                       return member.daemon == daemon;
                     });
}

/// Merges the accounts that the zone's members last sent. A daemon that
/// coordinates two zones receives accounts of both, so only members of this
/// zone are taken.
void merge_received(core::State& state, const AccountSetKey& key,
                    AccountSet& set) {
  for (const auto& [daemon, received] : membership::received_accounts(state)) {
    auto it = received.accounts.find(key.first);
    if (it == received.accounts.end()) continue;
    if (is_member(state, key.second, daemon)) merge(set, it->second);
  }
}

}  // namespace

void step_accounts(core::State& state, const Event& event, Now now,
                   Effects& effects) {
  if (const auto* answer = std::get_if<StoreAnswered>(&event))
    on_answer(state, *answer);
  for (auto& [key, set] : state.operators.account_sets)
    on_settled(state, key, set);
  if (!std::holds_alternative<Tick>(event)) return;
  const Declarations* all_declared = declarations(state.cache);
  if (all_declared == nullptr) return;
  for (const ZoneName& zone : membership::coordinated_zones(state, now)) {
    for (const auto& [service, unused] : all_declared->services) {
      AccountSetKey key{service, zone};
      AccountSet& set = state.operators.account_sets[key];
      load(state, key, set, effects);
      merge_received(state, key, set);
      write(state, key, set, now, effects);
    }
  }
}

std::vector<DaemonAccount> accounts_of(const core::State& state,
                                       const ServiceName& service,
                                       const ZoneName& zone) {
  std::vector<DaemonAccount> found;
  auto it = state.operators.account_sets.find({service, zone});
  if (it == state.operators.account_sets.end()) return found;
  for (const auto& [daemon, account] : it->second.daemons)
    found.push_back(account);
  return found;
}

bool accounts_loaded(const core::State& state, const ServiceName& service,
                     const ZoneName& zone) {
  auto it = state.operators.account_sets.find({service, zone});
  return it != state.operators.account_sets.end() && it->second.loaded;
}

}  // namespace eelgrasspin::core::operators
