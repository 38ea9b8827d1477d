#ifndef EELGRASSPIN_TESTS_OWNERSHIP_ORACLE_H_
#define EELGRASSPIN_TESTS_OWNERSHIP_ORACLE_H_

#include <algorithm>
#include <array>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "eelgrasspin/units.h"

/// Judges on virtual time whether servers own keys exclusively, from what
/// happens at the servers alone.
namespace eelgrasspin::fleet {

enum class OwnerFault : std::uint8_t {
  kBothBegin,   ///< Two servers hold a key and both begin requests on it.
  kEpoch,       ///< A key is taken with an epoch that isn't above all others.
  kBothHold,    ///< Two servers hold a key for over kMaxCommonHold.
  kStillAtWork  ///< A key is given away while another server works on it.
};
inline constexpr std::size_t kOwnerFaults = 4;
inline constexpr std::array<const char*, kOwnerFaults> kOwnerFaultNames{
    "both begin", "epoch", "both hold", "still at work"};

inline constexpr Duration kMaxCommonHold = milliseconds(500);

/// How a grant reached its server.
struct GrantArrival {
  TimePoint at;  ///< Its hold counts from then.
  bool held_up = false;
  bool after_heal = false;  ///< Its sender was thawed, or the link healed.
};

class OwnershipOracle {
 public:
  explicit OwnershipOracle(std::vector<std::uint32_t> keys)
      : keys_(std::move(keys)), records_(keys_.size()) {}

  const std::vector<std::uint32_t>& keys() const { return keys_; }
  /// The first lines about each form that was broken.
  const std::vector<std::string>& violations() const { return violations_; }
  std::size_t count(OwnerFault fault) const {
    return counts_.at(static_cast<std::size_t>(fault));
  }
  /// Times that two servers held a key at once, by whatever grants.
  std::size_t overlaps() const { return overlaps_; }

  /// A server carries out a grant of the key at `keys()[key]`.
  void granted(std::size_t server, std::size_t key, Epoch epoch,
               const GrantArrival& arrival, TimePoint until, TimePoint now) {
    std::vector<Record>& servers = records_of(key, server);
    Record& own = servers[server];
    bool held = own.until_with_all > now;
    if (!arrival.after_heal) {
      for (std::size_t i = 0; i < servers.size(); ++i) {
        if (i == server || servers[i].epoch < epoch) continue;
        add(OwnerFault::kEpoch, key, server, i, now);
        break;
      }
      own.epoch = std::max(own.epoch, epoch);
      own.until_for_requests = std::max(own.until_for_requests, until);
    }
    own.until_with_all = std::max(own.until_with_all, until);
    if (arrival.held_up) return;
    own.until_in_time = std::max(own.until_in_time, until);
    own.until_unreleased = std::max(own.until_unreleased, until);
    if (held) return;
    for (std::size_t i = 0; i < servers.size(); ++i) {
      if (i == server) continue;
      if (std::min(servers[i].work_until, servers[i].until_unreleased) > now)
        add(OwnerFault::kStillAtWork, key, server, i, now);
    }
  }
  void released(std::size_t server, std::size_t key) {
    Record& own = records_of(key, server)[server];
    own.until_with_all = own.until_in_time = own.until_for_requests =
        TimePoint();
  }
  /// A server begins a request on a key that it holds.
  void began(std::size_t server, std::size_t key, TimePoint work_until,
             TimePoint now) {
    std::vector<Record>& servers = records_of(key, server);
    Record& own = servers[server];
    own.work_until = std::max(own.work_until, work_until);
    if (own.until_for_requests <= now) return;
    own.began_at = now;
    for (std::size_t i = 0; i < servers.size(); ++i) {
      if (i == server || servers[i].until_for_requests <= now) continue;
      TimePoint both = std::max(servers[i].held_since, own.held_since);
      if (servers[i].began_at >= both && servers[i].held_since > TimePoint() &&
          own.held_since > TimePoint()) {
        add(OwnerFault::kBothBegin, key, server, i, now);
      }
    }
  }
  /// The work that runs on the key at the server has ended by then.
  TimePoint work_end(std::size_t server, std::size_t key) {
    const Record& own = records_of(key, server)[server];
    return std::min(own.work_until, own.until_unreleased);
  }
  /// The server's process ends.
  void ended(std::size_t server) {
    for (std::size_t key = 0; key < keys_.size(); ++key) {
      Record& own = records_of(key, server)[server];
      Epoch epoch = own.epoch;
      own = Record();
      own.epoch = epoch;
    }
  }
  void step(TimePoint now) {
    for (std::size_t key = 0; key < keys_.size(); ++key) step_key(key, now);
  }

 private:
  struct Record {
    Epoch epoch;  ///< The highest with which the server had the key.
    TimePoint until_with_all;
    TimePoint until_for_requests;  ///< Without grants after a heal.
    TimePoint until_in_time;       ///< Without grants that were held up.
    TimePoint until_unreleased;    ///< The same, as if nothing was released.
    TimePoint held_since;          ///< By `until_for_requests`.
    TimePoint work_until;
    TimePoint began_at;
  };

  std::vector<Record>& records_of(std::size_t key, std::size_t server) {
    std::vector<Record>& servers = records_[key];
    if (servers.size() <= server) servers.resize(server + 1);
    return servers;
  }

  void step_key(std::size_t key, TimePoint now) {
    std::vector<Record>& servers = records_[key];
    std::size_t holders = 0;
    std::size_t holders_in_time = 0;
    std::size_t first = 0;
    std::size_t last = 0;
    for (std::size_t i = 0; i < servers.size(); ++i) {
      Record& record = servers[i];
      if (record.until_for_requests <= now) {
        record.held_since = TimePoint();
      } else if (record.held_since == TimePoint()) {
        record.held_since = now;
      }
      if (record.until_with_all > now) ++holders;
      if (record.until_in_time <= now) continue;
      if (holders_in_time++ == 0) first = i;
      last = i;
    }
    if (holders > 1) ++overlaps_;
    if (holders_in_time < 2) {
      common_since_.erase(key);
      return;
    }
    auto [since, added] = common_since_.try_emplace(key, now);
    if (now - since->second <= kMaxCommonHold) return;
    add(OwnerFault::kBothHold, key, first, last, now);
    since->second = now;
  }

  void add(OwnerFault fault, std::size_t key, std::size_t server,
           std::size_t other, TimePoint now) {
    auto form = static_cast<std::size_t>(fault);
    if (counts_.at(form)++ > 0) return;
    const std::vector<Record>& servers = records_[key];
    violations_.push_back(std::to_string(to_ms(now.time_since_epoch())) + " " +
                          kOwnerFaultNames.at(form) + ": key " +
                          std::to_string(keys_[key]) + " at s" +
                          std::to_string(server) + " (epoch " +
                          std::to_string(servers[server].epoch.value) +
                          ") and s" + std::to_string(other) + " (epoch " +
                          std::to_string(servers[other].epoch.value) + ")");
  }

  std::vector<std::uint32_t> keys_;
  std::vector<std::vector<Record>> records_;  ///< By key, then by server.
  std::map<std::size_t, TimePoint> common_since_;
  std::array<std::size_t, kOwnerFaults> counts_{};
  std::vector<std::string> violations_;
  std::size_t overlaps_ = 0;
};

}  // namespace eelgrasspin::fleet

#endif  // EELGRASSPIN_TESTS_OWNERSHIP_ORACLE_H_
