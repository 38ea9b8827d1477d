#ifndef EELGRASSPIN_FLEET_SETTINGS_H_
#define EELGRASSPIN_FLEET_SETTINGS_H_

#include <map>
#include <optional>
#include <vector>

#include "fleet/config.h"
#include "fleet/model.h"

namespace eelgrasspin::fleet {

/// Settings of a daemon, read at its start.
struct Settings {
  DaemonRecord self;
  /// Region of each availability zone.
  std::map<ZoneName, RegionName> regions;
  /// Addresses of daemons to send heartbeats to before the store has answered.
  std::vector<Endpoint> seeds;
  /// Time from the order to stop until the process is killed.
  Duration stop_timeout = seconds(6);
  /// Longest duration of a grant that a server accepts.
  Duration hold_max = seconds(10);
  /// Longest delay with which a grant may reach a server that was paused.
  Duration max_delivery_delay = milliseconds(300);
  /// All daemons together may send this share of a service's requests as
  /// retries within `retry_window`.
  double retry_ratio = 0.2;
  /// Number of retries within `retry_window` that are allowed in addition to
  /// that share, also for all daemons together.
  std::uint32_t retry_slack = 60;
  Duration retry_window = seconds(10);
  /// Time from the end of a server after which its address may be given to
  /// another one.
  Duration address_reuse_delay = seconds(2);
  /// Interval at which a server's entry in the registry is renewed.
  Duration registry_check_in = seconds(1);
  /// Time from an operator's order to evacuate a zone until its servers must be
  /// sent nothing more; empty: no such orders are given.
  std::optional<Duration> evacuation_time;
  /// Whether queue places and Retry-After depend on the request; off only in
  /// comparisons with the same places for all.
  bool admission_control = true;
  /// Bytes of memory that the process may use.
  std::size_t memory_limit = std::size_t{256} << 20;
  /// Connections that the process may have open. 0: unknown.
  std::size_t max_connections = 0;
};

}  // namespace eelgrasspin::fleet

#endif  // EELGRASSPIN_FLEET_SETTINGS_H_
