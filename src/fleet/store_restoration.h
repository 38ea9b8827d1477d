#ifndef EELGRASSPIN_FLEET_STORE_RESTORATION_H_
#define EELGRASSPIN_FLEET_STORE_RESTORATION_H_

#include "fleet/state.h"

/// What a daemon does when the store has been restored from an older copy:
/// everything is read again, and what this system has written is written again.
/// Until the entries of others have been written again, what was known before
/// the restoration stays in force. docs/design/0016-store-restored.md.
namespace eelgrasspin::fleet {

void on_store_era(State& state, const StoreEraSeen& seen, TimePoint now,
                  Effects& effects);
void on_earlier_era(const State& state, const EarlierEraAnswered& answered,
                    Effects& effects);

/// Time in which a server that is up writes its entry again, even around an
/// outage of the store.
Duration outdated_entries_time(const Settings& settings);
/// Whether the store was restored so recently that it may still list entries
/// which their writers have changed or removed since the copy was taken.
bool lists_outdated_entries(const State& state, TimePoint now);

/// Whether a copy of that part of the store no longer holds outdated entries:
/// lists_outdated_entries() is over, and the copy was read since, by this
/// daemon or by the relay that it follows.
bool is_settled(const State& state, StoreView view, TimePoint now);

/// Whether this daemon has run for so long before the last restoration that no
/// grant of an earlier process of its name can have lasted until then.
bool remembers_lost_grants(const State& state);

}  // namespace eelgrasspin::fleet

#endif  // EELGRASSPIN_FLEET_STORE_RESTORATION_H_
