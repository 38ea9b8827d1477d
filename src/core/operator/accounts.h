#ifndef EELGRASSPIN_CORE_OPERATOR_ACCOUNTS_H_
#define EELGRASSPIN_CORE_OPERATOR_ACCOUNTS_H_

#include <vector>

#include "core/effect.h"
#include "core/event.h"
#include "eelgrasspin/records.h"

namespace eelgrasspin::core {
struct State;
}

/// Accounts of a zone's daemons in the store, so that the closing report still
/// has the last received account of a lost daemon.
namespace eelgrasspin::core::operators {

/// Loads, updates and writes the accounts of the zones that this daemon
/// coordinates.
void step_accounts(core::State& state, const Event& event, Now now,
                   Effects& effects);

/// Known accounts of a service in a coordinated zone, lost daemons included.
/// Incomplete until accounts_loaded().
std::vector<DaemonAccount> accounts_of(const core::State& state,
                                       const ServiceName& service,
                                       const ZoneName& zone);
/// Whether the stored accounts have been read, so that accounts_of() is
/// complete.
bool accounts_loaded(const core::State& state, const ServiceName& service,
                     const ZoneName& zone);

}  // namespace eelgrasspin::core::operators

#endif  // EELGRASSPIN_CORE_OPERATOR_ACCOUNTS_H_
