#ifndef EELGRASSPIN_CORE_MEMBERSHIP_VM_WATCH_H_
#define EELGRASSPIN_CORE_MEMBERSHIP_VM_WATCH_H_

#include <string>

#include "core/effect.h"
#include "core/event.h"
#include "core/state.h"

/// The platform's list of VMs, polled by coordinators. The list lags behind: a
/// VM that is listed as live may be gone.
namespace eelgrasspin::core::membership {

void step_vm_list(core::State& state, const Event& event, Now now,
                  Effects& effects);

/// Whether a VM is listed as leaving.
bool vm_leaving(const core::State& state, const std::string& name);
/// Whether a VM is listed as gone.
bool vm_gone(const core::State& state, const std::string& name);
/// Whether a daemon's VM is listed as gone and no message from it has arrived
/// since.
bool daemon_vm_gone(const core::State& state, const DaemonName& daemon);

}  // namespace eelgrasspin::core::membership

#endif  // EELGRASSPIN_CORE_MEMBERSHIP_VM_WATCH_H_
