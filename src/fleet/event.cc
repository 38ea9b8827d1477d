#include "fleet/event.h"

#include <array>

namespace eelgrasspin::fleet {

std::string_view event_name(const Event& event) {
  // In the order of the variant's alternatives.
  constexpr std::array<std::string_view, std::variant_size_v<Event>> kNames = {
      "store_era_seen",
      "earlier_era_answered",
      "configuration_seen",
      "servers_listed",
      "server_seen",
      "server_removed",
      "evacuations_listed",
      "view_listed",
      "store_changed",
      "store_update_received",
      "map_seen",
      "map_missing",
      "daemon_seen",
      "map_write_ended",
      "quarantine_record_read",
      "quarantine_record_written",
      "store_answered",
      "store_failed",
      "heartbeat_received",
      "heartbeat_batch_received",
      "map_change_received",
      "request_received",
      "caller_left",
      "attempt_ended",
      "order_ended",
      "tick",
      "stop_ordered",
      "resumed"};
  return kNames[event.index()];
}

std::string_view order_result_name(OrderResult result) {
  switch (result) {
    case OrderResult::kDone:
      return "done";
    case OrderResult::kOtherServer:
      return "other_server";
    case OrderResult::kFenced:
      return "fenced";
    case OrderResult::kInvalid:
      return "invalid";
    case OrderResult::kNotSent:
      return "not_sent";
    case OrderResult::kUnanswered:
      return "unanswered";
  }
  return "unknown";
}

}  // namespace eelgrasspin::fleet
