#ifndef EELGRASSPIN_CODEC_RECORD_JSON_H_
#define EELGRASSPIN_CODEC_RECORD_JSON_H_

#include <string>
#include <string_view>

#include "eelgrasspin/records.h"

/// JSON encoding of the records kept in the object store.
namespace eelgrasspin::codec {

/// Encodes a record with its type and format number; empty for monostate.
std::string encode_record(const Record& record);
/// Returns a DamagedRecord if the text cannot be decoded, is of a newer format,
/// or is not the record of `key`.
Record decode_record(const StoreKey& key, std::string_view text);

}  // namespace eelgrasspin::codec

#endif  // EELGRASSPIN_CODEC_RECORD_JSON_H_
