#ifndef EELGRASSPIN_CODEC_RECORD_JSON_H_
#define EELGRASSPIN_CODEC_RECORD_JSON_H_

#include <string>
#include <string_view>

#include "eelgrasspin/records.h"

/// Text forms of what goes to the store and between processes.
namespace eelgrasspin::codec {

/// JSON text of a record, with its type and format number; empty for monostate.
std::string encode_record(const Record& record);
/// DamagedRecord if the text cannot be read, is of a newer format, or does not
/// belong under `key`.
Record decode_record(const StoreKey& key, std::string_view text);

}  // namespace eelgrasspin::codec

#endif  // EELGRASSPIN_CODEC_RECORD_JSON_H_
