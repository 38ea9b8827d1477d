#ifndef EELGRASSPIN_CODEC_FLEET_JSON_H_
#define EELGRASSPIN_CODEC_FLEET_JSON_H_

#include <string>
#include <string_view>
#include <variant>

#include "eelgrasspin/result.h"
#include "fleet/model.h"

/// JSON encoding of the messages between daemons of a fleet, and of the records
/// that they keep in the store.
namespace eelgrasspin::codec {

using DaemonMessage = std::variant<fleet::Heartbeat, fleet::HeartbeatBatch,
                                   fleet::MapChange, fleet::StoreUpdate>;

std::string encode_heartbeat(const fleet::Heartbeat& heartbeat);
std::string encode_heartbeat_batch(const fleet::HeartbeatBatch& batch);
std::string encode_store_update(const fleet::StoreUpdate& update);
std::string encode_map_change(const fleet::MapChange& change);
Result<DaemonMessage> decode_datagram(std::string_view text);

std::string encode_owner_map(const fleet::OwnerMap& map);
/// Rejects a map whose key ranges overlap or have gaps. `unstated` is the era
/// of a map that states none.
Result<fleet::OwnerMap> decode_owner_map(std::string_view text,
                                         StoreEra unstated = {});

/// The record of strikes holds the wall-clock time of each, from which the
/// reader, whose clock may differ a little, computes its age.
std::string encode_strikes(const std::vector<fleet::Strike>& strikes,
                           WallTime now);
Result<std::vector<fleet::Strike>> decode_strikes(std::string_view text,
                                                  WallTime now);

std::string encode_daemon(const fleet::DaemonRecord& daemon);
Result<fleet::DaemonRecord> decode_daemon(std::string_view text);

}  // namespace eelgrasspin::codec

#endif  // EELGRASSPIN_CODEC_FLEET_JSON_H_
