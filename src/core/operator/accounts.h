#ifndef EELGRASSPIN_CORE_OPERATOR_ACCOUNTS_H_
#define EELGRASSPIN_CORE_OPERATOR_ACCOUNTS_H_

#include <vector>

#include "core/effect.h"
#include "core/event.h"
#include "eelgrasspin/records.h"

namespace eelgrasspin::core {
struct State;
}

/// Accounts of a zone's daemons in the store, so that a daemon's loss leaves
/// the report with its last one heard.
namespace eelgrasspin::core::operators {

/// Loads, merges and writes the books of each zone this daemon coordinates.
void step_accounts(core::State& state, const Event& event, Now now,
                   Effects& effects);

/// Accounts known for a service in a coordinated zone, lost daemons included;
/// empty until the book is loaded.
std::vector<DaemonAccount> accounts_of(const core::State& state,
                                       const ServiceName& service,
                                       const ZoneName& zone);
/// Whether the stored book has been read, so that accounts_of is complete.
bool accounts_loaded(const core::State& state, const ServiceName& service,
                     const ZoneName& zone);

}  // namespace eelgrasspin::core::operators

#endif  // EELGRASSPIN_CORE_OPERATOR_ACCOUNTS_H_
