#include "core/operator/accounts.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "core/membership/membership.h"
#include "core/state.h"

namespace eelgrasspin::core::operators {
namespace {

using BookKey = std::pair<ServiceName, ZoneName>;

void merge(AccountBook& book, const DaemonAccount& account) {
  DaemonAccount& known = book.daemons[{account.daemon, account.incarnation}];
  if (known.as_of > account.as_of || known.counts == account.counts) return;
  known = account;
  book.changed = true;
}

void take_stored(AccountBook& book, const StoreEntry& entry) {
  book.version = entry.version;
  const auto* stored = std::get_if<ZoneAccount>(&entry.record);
  if (stored == nullptr) return;
  for (const DaemonAccount& account : stored->daemons) merge(book, account);
}

void load(core::State& state, const BookKey& key, AccountBook& book,
          Effects& effects) {
  if (book.loaded || book.load) return;
  book.load = next_store_op(state);
  ++state.counters[Counter::kStoreReads];
  effects.push_back(StoreGet{*book.load, account_key(key.first, key.second)});
}

void on_answer(core::State& state, const StoreAnswered& answer) {
  for (auto& [key, book] : state.operators.books) {
    if (book.load != answer.op) continue;
    book.load.reset();
    const auto* read = std::get_if<StoreRead>(&answer.result);
    if (read == nullptr || read->entries.empty()) return;
    if (std::holds_alternative<DamagedRecord>(read->entries.front().record))
      return;
    take_stored(book, read->entries.front());
    book.loaded = true;
    return;
  }
}

void on_settled(core::State& state, const BookKey& key, AccountBook& book) {
  StoreKey store_key = account_key(key.first, key.second);
  if (settled_write(state, store_key) == nullptr) return;
  auto it = state.cache.entries.find(store_key);
  if (it != state.cache.entries.end()) take_stored(book, it->second);
}

void write(core::State& state, const BookKey& key, AccountBook& book, Now now,
           Effects& effects) {
  StoreKey store_key = account_key(key.first, key.second);
  if (!book.loaded || !book.changed || now.mono < book.next_write ||
      write_pending(state, store_key))
    return;
  ZoneAccount account{.service = key.first,
                      .zone = key.second,
                      .write_id = new_write_id(state)};
  for (const auto& [daemon, known] : book.daemons)
    account.daemons.push_back(known);
  book.changed = false;
  book.next_write = now.mono + config::kAccountInterval;
  start_write(state, store_key, book.version, account, now, effects);
}

bool is_member(const core::State& state, const ZoneName& zone,
               const DaemonName& daemon) {
  const ZoneRoster* members = roster(state.cache, zone);
  return members != nullptr &&
         std::any_of(members->members.begin(), members->members.end(),
                     [&](const RosterMember& member) {
                       return member.daemon == daemon;
                     });
}

/// Takes over what the zone's members last reported. A daemon that coordinates
/// two zones hears both; each account belongs to one book.
void merge_heard(core::State& state, const BookKey& key, AccountBook& book) {
  for (const auto& [daemon, heard] : membership::received_accounts(state)) {
    auto it = heard.accounts.find(key.first);
    if (it == heard.accounts.end()) continue;
    if (is_member(state, key.second, daemon)) merge(book, it->second);
  }
}

}  // namespace

void step_accounts(core::State& state, const Event& event, Now now,
                   Effects& effects) {
  if (const auto* answer = std::get_if<StoreAnswered>(&event))
    on_answer(state, *answer);
  for (auto& [key, book] : state.operators.books) on_settled(state, key, book);
  if (!std::holds_alternative<Tick>(event)) return;
  const Declarations* all = declarations(state.cache);
  if (all == nullptr) return;
  for (const ZoneName& zone : membership::coordinated_zones(state, now)) {
    for (const auto& [service, unused] : all->services) {
      BookKey key{service, zone};
      AccountBook& book = state.operators.books[key];
      load(state, key, book, effects);
      merge_heard(state, key, book);
      write(state, key, book, now, effects);
    }
  }
}

std::vector<DaemonAccount> accounts_of(const core::State& state,
                                       const ServiceName& service,
                                       const ZoneName& zone) {
  std::vector<DaemonAccount> found;
  auto it = state.operators.books.find({service, zone});
  if (it == state.operators.books.end()) return found;
  for (const auto& [daemon, account] : it->second.daemons)
    found.push_back(account);
  return found;
}

bool accounts_loaded(const core::State& state, const ServiceName& service,
                     const ZoneName& zone) {
  auto it = state.operators.books.find({service, zone});
  return it != state.operators.books.end() && it->second.loaded;
}

}  // namespace eelgrasspin::core::operators
