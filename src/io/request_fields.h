#ifndef EELGRASSPIN_IO_REQUEST_FIELDS_H_
#define EELGRASSPIN_IO_REQUEST_FIELDS_H_

#include <optional>

#include "eelgrasspin/ids.h"
#include "eelgrasspin/outcome.h"
#include "eelgrasspin/request.h"
#include "eelgrasspin/transport.h"
#include "io/h2_session.h"

/// Requests and their ends as HTTP/2 fields between daemons.
namespace eelgrasspin::io {

H2Message encode_request(const OutboundRequest& request,
                         const DaemonName& from);

struct DecodedRequest {
  RequestHead head;
  ForwardedFrom from;
  std::shared_ptr<const Payload> payload;
};
/// Empty if a field is missing or unreadable.
std::optional<DecodedRequest> decode_request(H2Message message);

H2Message encode_answer(std::uint16_t status, const Payload& payload);
H2Message encode_refusal(Outcome outcome, Reason reason, Duration retry_after,
                         Epoch newer_epoch);
/// What an answer or refusal of another daemon means for the attempt.
AttemptReply decode_reply(H2Message message);

std::optional<Reason> reason_from(std::string_view text);
std::optional<Outcome> outcome_from(std::string_view text);

}  // namespace eelgrasspin::io

#endif  // EELGRASSPIN_IO_REQUEST_FIELDS_H_
