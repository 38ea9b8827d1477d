#ifndef EELGRASSPIN_CODEC_FLEET_JSON_H_
#define EELGRASSPIN_CODEC_FLEET_JSON_H_

#include <string>
#include <string_view>
#include <variant>

#include "eelgrasspin/result.h"
#include "fleet/model.h"

/// What daemons of a fleet send each other and keep in the store, as JSON.
namespace eelgrasspin::codec {

using DaemonMessage = std::variant<fleet::Heartbeat, fleet::HeartbeatBatch,
                                   fleet::MapChange, fleet::StoreUpdate>;

std::string encode_heartbeat(const fleet::Heartbeat& heartbeat);
std::string encode_heartbeat_batch(const fleet::HeartbeatBatch& batch);
std::string encode_store_update(const fleet::StoreUpdate& update);
std::string encode_map_change(const fleet::MapChange& change);
Result<DaemonMessage> decode_datagram(std::string_view text);

std::string encode_owner_map(const fleet::OwnerMap& map);
/// A map whose ranges overlap or leave gaps is an error.
Result<fleet::OwnerMap> decode_owner_map(std::string_view text);

std::string encode_daemon(const fleet::DaemonRecord& daemon);
Result<fleet::DaemonRecord> decode_daemon(std::string_view text);

}  // namespace eelgrasspin::codec

#endif  // EELGRASSPIN_CODEC_FLEET_JSON_H_
