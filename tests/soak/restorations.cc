#include "tests/soak/restorations.h"

namespace eelgrasspin::soak {
namespace {

/// The registry drops the entry of a silent server after this time.
constexpr Duration kEntryExpiry = milliseconds(2600);
/// Servers and the operator write again within this time.
constexpr int kWrittenAgainMs = 1800;

}  // namespace

StoreRestorations::StoreRestorations(Fleet& fleet, std::uint32_t seed)
    : fleet_(fleet), random_(seed + 1), started_(io::steady_now()) {
  schedule();
}

Duration StoreRestorations::random_duration(int min_ms, int max_ms) {
  return milliseconds(
      std::uniform_int_distribution<int>(min_ms, max_ms)(random_));
}

void StoreRestorations::run_after(Duration delay,
                                  std::function<void()> action) {
  boost::asio::steady_timer& timer = scheduled_.emplace_back(fleet_.io());
  timer.expires_after(delay);
  timer.async_wait(
      [action = std::move(action)](boost::system::error_code failed) {
        if (!failed) action();
      });
}

void StoreRestorations::record(const std::string& what) {
  history_.push_back(std::to_string(to_ms(io::steady_now() - started_)) +
                     "ms " + what);
}

void StoreRestorations::schedule() {
  run_after(random_duration(200, 2500), [this] {
    if (!stopped_) restore();
  });
}

void StoreRestorations::restore() {
  in_progress_ = true;
  record("store copied");
  fleet_.store().take_copy();
  Duration age = random_duration(300, 6000);
  Duration refusing = random_duration(0, 800);
  run_after(age, [this] {
    fleet_.begin_restoration();
    record("store refuses");
  });
  run_after(age + refusing, [this] {
    fleet_.store().restore_copy();
    record("store restored");
  });
  Duration back = age + refusing + random_duration(0, 800);
  run_after(back, [this] {
    fleet_.store().down = false;
    record("store back");
  });
  run_after(back + random_duration(0, kWrittenAgainMs), [this] {
    fleet_.write_again();
    record("written again");
  });
  run_after(back + kEntryExpiry, [this] {
    fleet_.expire_entries();
    fleet_.end_restoration();
    in_progress_ = false;
    schedule();
  });
}

}  // namespace eelgrasspin::soak
