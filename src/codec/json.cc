#include "codec/json_p.h"

namespace eelgrasspin::codec {

json::value parse_text(std::string_view text, Failure& failure) {
  json::parse_options options;
  options.allow_invalid_utf8 = true;
  boost::system::error_code code;
  json::value value = json::parse(text, code, {}, options);
  if (code) failure.set("invalid JSON: " + code.message());
  return value;
}

}  // namespace eelgrasspin::codec
