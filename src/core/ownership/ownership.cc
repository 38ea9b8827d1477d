#include "core/ownership/ownership.h"

#include <xxhash.h>

#include "core/state.h"

namespace eelgrasspin::core::ownership {

void step(core::State& /*state*/, const Event& /*event*/, Now /*now*/,
          Effects& /*effects*/) {}

SlotId slot_of(const Key& key, std::uint32_t key_slots) {
  std::uint64_t hash = XXH64(key.str().data(), key.str().size(), 0);
  return SlotId(static_cast<std::uint32_t>(hash & (key_slots - 1)));
}

SendCheck check_send(const core::State& /*state*/, const ServerName& /*server*/,
                     SlotId /*slot*/, const Key& /*key*/, Now /*now*/) {
  return {};
}

std::vector<ServerName> fronted_servers(const core::State& /*state*/) {
  return {};
}

std::vector<FrontReport> front_reports(const core::State& /*state*/,
                                       Now /*now*/) {
  return {};
}

Result<std::string> order_move(core::State& /*state*/,
                               const MoveCommand& /*move*/, Now /*now*/,
                               Effects& /*effects*/) {
  return Error{ErrorCode::kUnavailable,
               "this daemon does not coordinate the zone"};
}

std::uint64_t owned_units(const core::State& /*state*/,
                          const ServiceName& /*service*/,
                          const ZoneName& /*zone*/) {
  return 0;
}

std::vector<OwnershipSpan> history(const core::State& /*state*/,
                                   const ServiceName& /*service*/,
                                   const ZoneName& /*zone*/) {
  return {};
}

}  // namespace eelgrasspin::core::ownership
