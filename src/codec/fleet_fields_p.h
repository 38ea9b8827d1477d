#ifndef EELGRASSPIN_CODEC_FLEET_FIELDS_P_H_
#define EELGRASSPIN_CODEC_FLEET_FIELDS_P_H_

#include <boost/json.hpp>
#include <string>
#include <string_view>

#include "fleet/model.h"

/// Private to src/codec: conversions shared by the fleet's messages. A missing
/// field or a wrong type throws; the decode functions return that as an error.
namespace eelgrasspin::codec {

inline std::string_view view_of(const boost::json::value& value) {
  const boost::json::string& text = value.as_string();
  return {text.data(), text.size()};
}

inline std::uint64_t number(const boost::json::value& value) {
  return value.to_number<std::uint64_t>();
}

inline std::string text_of(const boost::json::object& object,
                           std::string_view name) {
  return std::string(object.at(name).as_string());
}

boost::json::object store_update_object(const fleet::StoreUpdate& update);
fleet::StoreUpdate store_update_of(const boost::json::object& object);

}  // namespace eelgrasspin::codec

#endif  // EELGRASSPIN_CODEC_FLEET_FIELDS_P_H_
