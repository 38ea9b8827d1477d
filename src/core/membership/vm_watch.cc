#include "core/membership/vm_watch.h"

#include <utility>

#include "core/membership/liveness.h"

namespace eelgrasspin::core::membership {
namespace {

const ListedVm* listed(const core::State& state, const std::string& name) {
  auto it = state.membership.vms.find(name);
  return it == state.membership.vms.end() ? nullptr : &it->second;
}

void list_if_due(core::State& state, Now now, Effects& effects) {
  State& own = state.membership;
  bool overdue = now.mono - own.vm_list_sent > config::kVmListInterval;
  if (own.vm_list_under_way && !overdue) return;
  if (now.mono < own.next_vm_list) return;
  if (coordinated_zones(state, now).empty()) return;
  own.vm_list_under_way = true;
  own.vm_list_sent = now.mono;
  own.next_vm_list = now.mono + config::kVmListInterval;
  effects.push_back(ListVms{});
}

void on_listed(core::State& state, const VmsListed& answer, Now now) {
  State& own = state.membership;
  own.vm_list_under_way = false;
  if (!ok(answer.result)) return;
  std::map<std::string, ListedVm> earlier = std::exchange(own.vms, {});
  for (const VmEntry& vm : value(answer.result)) {
    auto known = earlier.find(vm.name);
    bool same = known != earlier.end() && known->second.state == vm.state;
    own.vms[vm.name] = {vm.state, same ? known->second.since : now.mono};
  }
}

}  // namespace

void step_vms(core::State& state, const Event& event, Now now,
              Effects& effects) {
  if (const auto* answer = std::get_if<VmsListed>(&event))
    on_listed(state, *answer, now);
  if (std::holds_alternative<Tick>(event)) list_if_due(state, now, effects);
}

bool vm_leaving(const core::State& state, const std::string& name) {
  const ListedVm* vm = listed(state, name);
  return vm != nullptr && vm->state == VmState::kLeaving;
}

bool vm_gone(const core::State& state, const std::string& name) {
  const ListedVm* vm = listed(state, name);
  return vm != nullptr && vm->state == VmState::kGone;
}

bool daemon_vm_gone(const core::State& state, const DaemonName& daemon) {
  if (!vm_gone(state, daemon.str())) return false;
  const Peer* known = peer(state, daemon);
  TimePoint since = listed(state, daemon.str())->since;
  return known == nullptr || known->heard <= since;
}

}  // namespace eelgrasspin::core::membership
