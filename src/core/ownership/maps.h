#ifndef EELGRASSPIN_CORE_OWNERSHIP_MAPS_H_
#define EELGRASSPIN_CORE_OWNERSHIP_MAPS_H_

#include <optional>
#include <vector>

#include "core/cache.h"
#include "core/ownership/state.h"

namespace eelgrasspin::core {
struct State;
}

/// Reading the zone map and the ownership maps.
namespace eelgrasspin::core::ownership {

const ZoneMap* zone_map(const Cache& cache, const ServiceName& service);
const OwnershipMap* ownership_map(const Cache& cache, const Part& part);

/// Zone that decides on a slot; null if the map is not known or too short.
const ZoneName* zone_of(const Cache& cache, const ServiceName& service,
                        SlotId slot);

/// A unit as the zone's ownership map has it.
struct FoundUnit {
  Unit unit;
  const SlotRecord* record = nullptr;
};

/// The unit that a key belongs to: its own if it is carved out, else its slot.
/// No record if the zone's map does not have the slot or the zone map gives it
/// to another zone.
FoundUnit find_unit(const Cache& cache, const Part& part, SlotId slot,
                    const Key& key);

/// Record of exactly this unit; null if there is none.
const SlotRecord* unit_record(const OwnershipMap& map, const Unit& unit);
SlotRecord* unit_record(OwnershipMap& map, const Unit& unit);

/// Slot of a carved-out key of a service.
SlotId slot_of_key(const Cache& cache, const ServiceName& service,
                   const Key& key);

/// The index of a part, rebuilt if one of its maps has changed. Null if the
/// ownership map is not known.
const MapIndex* map_index(core::State& state, const Part& part);

/// First epoch of a slot under a zone epoch: above every epoch that the slot
/// had under a lower one.
Epoch first_epoch(std::uint64_t zone_epoch);

}  // namespace eelgrasspin::core::ownership

#endif  // EELGRASSPIN_CORE_OWNERSHIP_MAPS_H_
