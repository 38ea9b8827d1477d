#ifndef EELGRASSPIN_IO_REQUEST_FIELDS_H_
#define EELGRASSPIN_IO_REQUEST_FIELDS_H_

#include <optional>

#include "eelgrasspin/ids.h"
#include "eelgrasspin/outcome.h"
#include "eelgrasspin/request.h"
#include "eelgrasspin/transport.h"
#include "io/h2_session.h"

/// Encodes forwarded requests and their results as HTTP/2 messages between
/// daemons.
namespace eelgrasspin::io {

H2Message encode_request(const OutboundRequest& request,
                         const DaemonName& from);

struct DecodedRequest {
  RequestHead head;
  ForwardedFrom from;
  std::shared_ptr<const Payload> payload;
};
/// Empty if a required field is missing or unreadable.
std::optional<DecodedRequest> decode_request(H2Message message);

H2Message encode_answer(std::uint16_t status, const Payload& payload);
H2Message encode_refusal(Outcome outcome, Reason reason, Duration retry_after,
                         Epoch newer_epoch);
/// Decodes an answer or refusal of another daemon. An unreadable message counts
/// as a truncated answer with unknown outcome.
AttemptReply decode_reply(H2Message message);

std::optional<Reason> parse_reason(std::string_view text);
std::optional<Outcome> parse_outcome(std::string_view text);

}  // namespace eelgrasspin::io

#endif  // EELGRASSPIN_IO_REQUEST_FIELDS_H_
