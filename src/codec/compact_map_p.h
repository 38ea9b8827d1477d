#ifndef EELGRASSPIN_CODEC_COMPACT_MAP_P_H_
#define EELGRASSPIN_CODEC_COMPACT_MAP_P_H_

#include "codec/record_fields_p.h"

/// Private to src/codec: maps with an entry per slot, encoded column by column
/// so that 65,536 slots fit into one store value.
namespace eelgrasspin::codec {

void fields(ObjectWriter& a, const ZoneMap& map);
void fields(ObjectReader& a, ZoneMap& map);
void fields(ObjectWriter& a, const OwnershipMap& map);
void fields(ObjectReader& a, OwnershipMap& map);

}  // namespace eelgrasspin::codec

#endif  // EELGRASSPIN_CODEC_COMPACT_MAP_P_H_
