#include "core/membership/vm_watch.h"

#include <utility>

#include "core/membership/liveness.h"

namespace eelgrasspin::core::membership {
namespace {

const ListedVm* find_vm(const core::State& state, const std::string& name) {
  auto it = state.membership.vms.find(name);
  return it == state.membership.vms.end() ? nullptr : &it->second;
}

void list_if_due(core::State& state, Now now, Effects& effects) {
  State& membership = state.membership;
  bool overdue = now.mono - membership.vm_list_sent > config::kVmListInterval;
  if (membership.vm_list_pending && !overdue) return;
  if (now.mono < membership.next_vm_list) return;
  if (coordinated_zones(state, now).empty()) return;
  membership.vm_list_pending = true;
  membership.vm_list_sent = now.mono;
  membership.next_vm_list = now.mono + config::kVmListInterval;
  effects.push_back(ListVms{});
}

void on_vm_list(core::State& state, const VmsListed& answer, Now now) {
  State& membership = state.membership;
  membership.vm_list_pending = false;
  if (!ok(answer.result)) return;
  std::map<std::string, ListedVm> previous_vms =
      std::exchange(membership.vms, {});
  for (const VmEntry& vm : value(answer.result)) {
    auto previous = previous_vms.find(vm.name);
    bool unchanged =
        previous != previous_vms.end() && previous->second.state == vm.state;
    membership.vms[vm.name] = {vm.state,
                               unchanged ? previous->second.since : now.mono};
  }
}

}  // namespace

void step_vm_list(core::State& state, const Event& event, Now now,
                  Effects& effects) {
  if (const auto* answer = std::get_if<VmsListed>(&event))
    on_vm_list(state, *answer, now);
  if (std::holds_alternative<Tick>(event)) list_if_due(state, now, effects);
}

bool vm_leaving(const core::State& state, const std::string& name) {
  const ListedVm* vm = find_vm(state, name);
  return vm != nullptr && vm->state == VmState::kLeaving;
}

bool vm_gone(const core::State& state, const std::string& name) {
  const ListedVm* vm = find_vm(state, name);
  return vm != nullptr && vm->state == VmState::kGone;
}

bool daemon_vm_gone(const core::State& state, const DaemonName& daemon) {
  if (!vm_gone(state, daemon.str())) return false;
  const Peer* peer = find_peer(state, daemon);
  TimePoint since = find_vm(state, daemon.str())->since;
  return peer == nullptr || peer->last_received <= since;
}

}  // namespace eelgrasspin::core::membership
