#include "fleet/body_room.h"

namespace eelgrasspin::fleet {
namespace {

constexpr double kMeanWeight = 0.01;

}  // namespace

bool has_body_room(const BodyLoad& load, std::size_t bytes) {
  double held = static_cast<double>(load.own_bytes) +
                load.other_requests * load.mean_bytes;
  if (held <= 0) return true;
  double limit = static_cast<double>(kBodyBytesPerSlot) * load.slots;
  return held + static_cast<double>(bytes) <= limit;
}

bool has_link_room(std::size_t in_flight, std::size_t bytes,
                   Duration objective) {
  if (in_flight == 0) return true;
  double seconds = static_cast<double>(objective.count()) / 1e6;
  double limit = kLinkBytesPerSecond * seconds * kLinkObjectiveShare;
  return static_cast<double>(in_flight + bytes) <= limit;
}

double next_mean_bytes(double mean, std::size_t bytes) {
  return mean + kMeanWeight * (static_cast<double>(bytes) - mean);
}

}  // namespace eelgrasspin::fleet
