#ifndef EELGRASSPIN_CORE_OWNERSHIP_MAPS_H_
#define EELGRASSPIN_CORE_OWNERSHIP_MAPS_H_

#include <optional>
#include <vector>

#include "core/cache.h"
#include "core/ownership/state.h"

namespace eelgrasspin::core {
struct State;
}

/// Lookups in the zone maps and ownership maps.
namespace eelgrasspin::core::ownership {

const ZoneMap* zone_map(const Cache& cache, const ServiceName& service);
const OwnershipMap* ownership_map(const Cache& cache,
                                  const ServiceZone& service_zone);

/// Zone to which a slot is assigned; null if the zone map is not known or does
/// not cover the slot.
const ZoneName* zone_of(const Cache& cache, const ServiceName& service,
                        SlotId slot);

/// A unit with its record in the zone's ownership map.
struct FoundUnit {
  Unit unit;
  const SlotRecord* record = nullptr;
};

/// The unit that a key belongs to: the key itself if it is carved out, else its
/// slot. Without a record if the zone's map does not have the slot or the zone
/// map assigns it to another zone.
FoundUnit find_unit(const Cache& cache, const ServiceZone& service_zone,
                    SlotId slot, const Key& key);

/// The record of this very unit; null if there is none.
const SlotRecord* unit_record(const OwnershipMap& map, const Unit& unit);
SlotRecord* unit_record(OwnershipMap& map, const Unit& unit);

/// Slot of a key of a service.
SlotId slot_of_key(const Cache& cache, const ServiceName& service,
                   const Key& key);

/// The index of a service's ownership map in a zone, rebuilt if the ownership
/// map or the zone map has changed. Null if the ownership map is not known.
const MapIndex* map_index(core::State& state, const ServiceZone& service_zone);

/// First epoch of a slot under a zone epoch; greater than all epochs of the
/// slot under lower zone epochs.
Epoch first_epoch(std::uint64_t zone_epoch);

}  // namespace eelgrasspin::core::ownership

#endif  // EELGRASSPIN_CORE_OWNERSHIP_MAPS_H_
