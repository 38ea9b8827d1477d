#include "codec/message_json.h"

#include "codec/message_fields_p.h"

namespace eelgrasspin::codec {
namespace {

template <class T>
std::string encode(const T& value) {
  return json::serialize(to_json(value));
}

template <class T>
Result<T> decode(std::string_view text) {
  Failure failure;
  json::value value = parse_text(text, failure);
  T out;
  from_json(value, out, failure);
  if (failure.failed()) return Error{ErrorCode::kInvalid, failure.message};
  return out;
}

}  // namespace

std::string encode_message(const PeerMessage& message) {
  return encode(message);
}
Result<PeerMessage> decode_message(std::string_view text) {
  return decode<PeerMessage>(text);
}

std::string encode_grant_order(const GrantOrder& order) {
  return encode(order);
}
Result<GrantOrder> decode_grant_order(std::string_view text) {
  return decode<GrantOrder>(text);
}

std::string encode_grant_reply(const GrantReply& reply) {
  return encode(reply);
}
Result<GrantReply> decode_grant_reply(std::string_view text) {
  return decode<GrantReply>(text);
}

std::string encode_answer(const CommandAnswer& answer) {
  return encode(answer);
}
Result<CommandAnswer> decode_answer(std::string_view text) {
  return decode<CommandAnswer>(text);
}

std::string encode_vms(const std::vector<VmEntry>& vms) { return encode(vms); }
Result<std::vector<VmEntry>> decode_vms(std::string_view text) {
  return decode<std::vector<VmEntry>>(text);
}

}  // namespace eelgrasspin::codec
