#include <algorithm>

#include "tests/soak/guarantee_checker.h"

namespace eelgrasspin::soak {
namespace {

/// A leaving server gets nothing more from then on, and a configuration is in
/// force; the platform's usual bound, and some scheduling of a busy machine.
constexpr Duration kInForce = milliseconds(2300);
constexpr std::size_t kMostReported = 20;

bool promises_not_run(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

std::string ms(Duration duration) {
  return std::to_string(to_ms(duration)) + "ms";
}

}  // namespace

void Promises::broken(std::string what) {
  if (broken_.size() < kMostReported) broken_.push_back(std::move(what));
}

void Promises::sent(const std::string& id, bool repeatable) {
  requests_[id].repeatable = repeatable;
}

void Promises::ran(const std::string& id, const std::string& server,
                   const std::vector<std::string>& holders) {
  auto found = requests_.find(id);
  if (found == requests_.end()) return broken("unasked: " + id);
  found->second.ran_at.push_back(server);
  for (const std::string& holder : holders) {
    if (holder == server) continue;
    std::string what = "two owners: " + id;
    what.append(" runs at ").append(server).append(", ").append(holder);
    broken(what.append(" holds its key"));
  }
}

void Promises::granted(const std::string& server, std::uint64_t epoch,
                       std::uint64_t seen) {
  if (epoch > seen) return;
  broken("epoch not above: " + server + " is granted keys at " +
         std::to_string(epoch) + ", another has seen " + std::to_string(seen));
}

void Promises::ran_while_leaving(const std::string& id,
                                 const std::string& server, Duration since,
                                 bool in_touch) {
  if (!in_touch || since <= kInForce) return;
  broken("leaving server used: " + id + " at " + server + " after " +
         ms(since));
}

void Promises::answered(const std::string& id, int status,
                        const std::string& server, bool whole) {
  Request& request = requests_[id];
  request.status = status;
  if (status != 200) return;
  ++served_;
  bool ran_there = std::find(request.ran_at.begin(), request.ran_at.end(),
                             server) != request.ran_at.end();
  if (!ran_there || !whole) {
    broken("mixed: " + id + " is answered for " + server);
  }
}

void Promises::cut_by_stop(const std::string& id) {
  requests_[id].cut_by_stop = true;
}

void Promises::version_seen(const std::string& process, std::uint64_t version,
                            std::optional<Duration> behind, bool in_touch) {
  std::uint64_t& last = versions_[process];
  if (version < last) {
    broken("configuration back: " + process + " at " + std::to_string(version) +
           " after " + std::to_string(last));
  }
  last = std::max(last, version);
  if (in_touch && behind && *behind > kInForce) {
    broken("configuration late: " + process + " at " + std::to_string(version) +
           ", " + ms(*behind) + " after the next");
  }
}

void Promises::ended_by_itself(const std::string& process, int status) {
  broken("ended by itself: " + process + ", status " + std::to_string(status));
}

void Promises::not_recovered(const std::string& what) {
  broken("not recovered: " + what);
}

void Promises::finish() {
  for (const auto& [id, request] : requests_) {
    if (request.repeatable) continue;
    if (request.ran_at.size() > 1) broken("twice: " + id);
    if (promises_not_run(request.status) && !request.ran_at.empty()) {
      broken("refused: " + id + " was answered " +
             std::to_string(request.status) + " and ran");
    }
    if (request.cut_by_stop && !request.ran_at.empty()) {
      broken("lost: " + id + " ran, and a stop in good order cut its answer");
    }
  }
}

}  // namespace eelgrasspin::soak
