#ifndef EELGRASSPIN_CODEC_MESSAGE_JSON_H_
#define EELGRASSPIN_CODEC_MESSAGE_JSON_H_

#include <string>
#include <string_view>
#include <vector>

#include "eelgrasspin/command.h"
#include "eelgrasspin/grant.h"
#include "eelgrasspin/peer_message.h"
#include "eelgrasspin/result.h"
#include "eelgrasspin/timeline.h"
#include "eelgrasspin/vm_list.h"

/// JSON encoding of messages between daemons, grant orders, command answers and
/// VM lists.
namespace eelgrasspin::codec {

std::string encode_message(const PeerMessage& message);
Result<PeerMessage> decode_message(std::string_view text);

std::string encode_grant_order(const GrantOrder& order);
Result<GrantOrder> decode_grant_order(std::string_view text);

/// For GrantAnswer and GrantStale; GrantUnreachable is never sent.
std::string encode_grant_reply(const GrantReply& reply);
Result<GrantReply> decode_grant_reply(std::string_view text);

std::string encode_answer(const CommandAnswer& answer);
Result<CommandAnswer> decode_answer(std::string_view text);

std::string encode_vms(const std::vector<VmEntry>& vms);
Result<std::vector<VmEntry>> decode_vms(std::string_view text);

}  // namespace eelgrasspin::codec

#endif  // EELGRASSPIN_CODEC_MESSAGE_JSON_H_
