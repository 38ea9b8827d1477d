#include <string>

#include "eelgrasspin/declarations.h"
#include "eelgrasspin/outcome.h"
#include "eelgrasspin/peer_message.h"
#include "eelgrasspin/records.h"
#include "eelgrasspin/result.h"
#include "eelgrasspin/timeline.h"

namespace eelgrasspin {

std::string to_string(const Finding& finding) {
  std::string text = finding.file;
  if (finding.line > 0) text += ":" + std::to_string(finding.line);
  if (finding.column > 0) text += ":" + std::to_string(finding.column);
  text += ": " + finding.message;
  if (!finding.hint.empty()) text += " (" + finding.hint + ")";
  return text;
}

std::string_view to_string(Outcome outcome) {
  switch (outcome) {
    case Outcome::kAnswered:
      return "answered";
    case Outcome::kNotRun:
      return "not run";
    case Outcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

std::string_view to_string(Reason reason) {
  static constexpr std::string_view kNames[] = {"none",
                                                "bad_request",
                                                "unknown_service",
                                                "unknown_operation",
                                                "idempotency_key_missing",
                                                "idempotency_key_invalid",
                                                "body_too_large",
                                                "deadline_passed",
                                                "queue_full",
                                                "caller_over_share",
                                                "no_owner",
                                                "owner_unreachable",
                                                "moved",
                                                "grant_refused",
                                                "quarantined",
                                                "service_closed",
                                                "stopping",
                                                "hop_limit",
                                                "intent_not_recorded",
                                                "repeat_in_progress",
                                                "repeat_outcome_unknown",
                                                "pushback",
                                                "cancelled",
                                                "timeout_after_send",
                                                "connection_lost",
                                                "truncated_answer",
                                                "retry_budget_spent",
                                                "server_failed"};
  static_assert(std::size(kNames) == static_cast<std::size_t>(Reason::kCount));
  return kNames[static_cast<std::size_t>(reason)];
}

int http_status(Outcome outcome, Reason reason) {
  if (outcome == Outcome::kUnknown)
    return reason == Reason::kRepeatOutcomeUnknown ? 409 : 504;
  switch (reason) {
    case Reason::kBadRequest:
    case Reason::kIdempotencyKeyMissing:
    case Reason::kIdempotencyKeyInvalid:
      return 400;
    case Reason::kUnknownService:
    case Reason::kUnknownOperation:
      return 404;
    case Reason::kBodyTooLarge:
      return 413;
    case Reason::kRepeatInProgress:
      return 409;
    case Reason::kServiceClosed:
      return 410;
    case Reason::kQuarantined:
      return 422;
    case Reason::kHopLimit:
      return 508;
    case Reason::kDeadlinePassed:
      return 504;
    default:
      return 503;
  }
}

std::string_view to_string(ExecutionClass execution_class) {
  switch (execution_class) {
    case ExecutionClass::kRead:
      return "read";
    case ExecutionClass::kIdempotent:
      return "idempotent";
    case ExecutionClass::kAtMostOnce:
      return "at_most_once";
  }
  return "at_most_once";
}

std::string_view to_string(TimelineKind kind) {
  static constexpr std::string_view kNames[] = {"daemon_started",
                                                "daemon_stopping",
                                                "pause_detected",
                                                "store_down",
                                                "store_up",
                                                "damaged_record",
                                                "declarations_adopted",
                                                "coordinator_gained",
                                                "coordinator_lost",
                                                "member_joined",
                                                "member_lost",
                                                "front_assigned",
                                                "front_gained",
                                                "front_stopped",
                                                "grant_confirmed",
                                                "grant_stale",
                                                "server_unreachable",
                                                "server_lapsed",
                                                "server_returned",
                                                "move_started",
                                                "slots_released",
                                                "move_finished",
                                                "recovery",
                                                "drain_started",
                                                "drain_finished",
                                                "zone_handover",
                                                "closure_step",
                                                "command_accepted",
                                                "command_finished",
                                                "command_refused",
                                                "quarantined",
                                                "quarantine_released",
                                                "isolation_yield",
                                                "fenced"};
  static_assert(std::size(kNames) ==
                static_cast<std::size_t>(TimelineKind::kCount));
  return kNames[static_cast<std::size_t>(kind)];
}

std::vector<const ServerDeclaration*> servers_of(
    const Declarations& declarations, const ServiceName& service,
    const ZoneName& zone) {
  std::vector<const ServerDeclaration*> found;
  for (const auto& [name, server] : declarations.servers) {
    if (server.service == service && server.zone == zone)
      found.push_back(&server);
  }
  return found;
}

bool operator==(const StoreEntry& left, const StoreEntry& right) {
  return left.key == right.key && left.version == right.version &&
         left.record == right.record;
}

StoreKey live_prefix() { return StoreKey("live/"); }
StoreKey declarations_key() { return StoreKey("live/declarations"); }
StoreKey coordinator_lease_key(const ZoneName& zone) {
  return StoreKey("live/zone/" + zone.str() + "/lease");
}
StoreKey roster_key(const ZoneName& zone) {
  return StoreKey("live/zone/" + zone.str() + "/roster");
}
StoreKey zone_prefix(const ZoneName& zone) {
  return StoreKey("live/zone/" + zone.str() + "/");
}
StoreKey zone_map_key(const ServiceName& service) {
  return StoreKey("live/service/" + service.str() + "/zones");
}
StoreKey ownership_map_key(const ServiceName& service, const ZoneName& zone) {
  return StoreKey("live/own/" + service.str() + "/" + zone.str());
}
StoreKey ownership_history_key(const ServiceName& service,
                               const ZoneName& zone) {
  return StoreKey("kept/history/" + service.str() + "/" + zone.str());
}
StoreKey intent_segment_key(const ZoneName& zone, std::uint64_t number) {
  return StoreKey(intent_prefix(zone).str() + std::to_string(number));
}
StoreKey intent_prefix(const ZoneName& zone) {
  return StoreKey("kept/intent/" + zone.str() + "/");
}
StoreKey quarantine_key(const ZoneName& zone) {
  return StoreKey("live/quarantine/" + zone.str());
}
StoreKey account_key(const ServiceName& service, const ZoneName& zone) {
  return StoreKey("kept/account/" + service.str() + "/" + zone.str());
}
StoreKey closure_key(const ServiceName& service) {
  return StoreKey("live/closure/" + service.str());
}
StoreKey closure_part_key(const ServiceName& service, const ZoneName& zone) {
  return StoreKey("kept/closure-part/" + service.str() + "/" + zone.str());
}
StoreKey command_key(const CommandId& id) {
  return StoreKey("live/command/" + id.str());
}
StoreKey drain_key(const ServerName& server) {
  return StoreKey("live/drain/" + server.str());
}

}  // namespace eelgrasspin
