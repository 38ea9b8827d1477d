#ifndef EELGRASSPIN_FLEET_SETTINGS_H_
#define EELGRASSPIN_FLEET_SETTINGS_H_

#include <map>
#include <vector>

#include "fleet/config.h"
#include "fleet/model.h"

namespace eelgrasspin::fleet {

/// What a daemon is told when it starts.
struct Settings {
  DaemonRecord self;
  /// Regions of all availability zones.
  std::map<ZoneName, RegionName> regions;
  /// Daemons to announce itself to before the store has answered.
  std::vector<Endpoint> seeds;
  /// From the order to stop until the process is killed.
  Duration stop_timeout = seconds(6);
  /// Longest hold that a server grants.
  Duration hold_max = seconds(10);
  /// Delivery of a grant may be late by this much after a pause.
  Duration thaw_slack = milliseconds(300);
  /// Repeated sends allowed to one service in `retry_window`, by all daemons
  /// together: this share of its requests ...
  double retry_ratio = 0.2;
  /// ... plus this many.
  std::uint32_t retry_slack = 60;
  Duration retry_window = seconds(10);
};

}  // namespace eelgrasspin::fleet

#endif  // EELGRASSPIN_FLEET_SETTINGS_H_
