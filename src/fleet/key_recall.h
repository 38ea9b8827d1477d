#ifndef EELGRASSPIN_FLEET_KEY_RECALL_H_
#define EELGRASSPIN_FLEET_KEY_RECALL_H_

#include "fleet/state.h"

/// Recall of all keys of a service. The coordinator of a first map does not
/// know whether servers hold keys by grants of a map that the store has lost.
/// It has every server release all keys before it grants any.
/// docs/design/0016-store-restored.md.
namespace eelgrasspin::fleet {

/// Starts a recall, at an epoch below those of the map's ranges.
void start_recall(CoordinatorRole& role, const OwnerMap& map, TimePoint now);
/// Sends the releases that are due, and ends the recall once every server has
/// answered or no lost grant lasts any more.
void send_recalls(State& state, const ServiceName& service, MapState& map,
                  TimePoint now, Effects& effects);
/// Takes note of the end of an order if it belongs to the recall.
void on_recall_ended(CoordinatorRole& role, const Order& order,
                     const OrderEnded& ended, TimePoint now);

}  // namespace eelgrasspin::fleet

#endif  // EELGRASSPIN_FLEET_KEY_RECALL_H_
