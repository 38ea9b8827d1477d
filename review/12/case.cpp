// A drill takes the store back to a copy from before the owner map was first
// written, while all routers are killed.
#include "review/kit-3.hpp"

namespace {

using namespace review;  // NOLINT

int run(const std::string& folder) {
  Bench bench(folder, 32);
  std::vector<std::unique_ptr<ServerStandin>> boards;
  HolderCheck check(bench.record, {});
  int begun_on_held = 0;
  auto add_board = [&](const std::string& name) {
    boards.push_back(std::make_unique<ServerStandin>(bench.io, name, true));
    ServerStandin* board = boards.back().get();
    check.add(board);
    board->work = milliseconds(20);
    board->on_run = [&, board](const ServerRun& run) {
      bool both = check.held_elsewhere(board->name(), *run.key);
      if (both) ++begun_on_held;
      bench.record.line("request " + run.id + " runs at " + run.server +
                        ", key " + std::to_string(*run.key) +
                        (both ? ", which another instance holds too" : ""));
    };
    board->on_grant = [&, board](std::uint32_t first, std::uint32_t last,
                                 std::uint64_t fence) {
      if (fence == board->epoch(first) && board->holds(first)) return;
      bench.record.line("grant to " + board->name() + ": keys " +
                        std::to_string(first) + "-" + std::to_string(last) +
                        ", fence " + std::to_string(fence));
    };
  };
  bench.store.put(kConfigKind, kActiveConfigName, kConfiguration);
  for (const char* name : {"i-a", "i-b"}) {
    add_board(name);
    bench.list(*boards.back(), "panboard");
  }
  bench.store.take_copy();
  bench.record.line("the store's copy is taken");
  TimePoint copied_at = io::steady_now();
  bench.routers.reserve(2);
  bench.add_router(1, "gongoni", "kilifi");
  bench.add_router(2, "kipevu", "mombasa");
  for (Router& router : bench.routers) {
    if (!bench.become_ready(router)) return kCouldNotRun;
  }
  // Clients read keys all over the key space, 20 times a second.
  int sent = 0;
  int served = 0;
  TimePoint next_send = io::steady_now();
  auto each = [&] {
    check.look();
    if (io::steady_now() < next_send) return;
    next_send = io::steady_now() + milliseconds(50);
    std::uint32_t key = static_cast<std::uint32_t>(++sent) * 7919 % 65'536;
    std::string id = "r" + std::to_string(sent);
    Router& router = bench.routers[static_cast<std::size_t>(sent) % 2];
    bench.record.line("request " + id + " sent to " + router.name + ", key " +
                      std::to_string(key));
    bench.send(router, keyed_request(id, key), seconds(3),
               [&, id](io::HttpResult result) {
                 const auto* answer = std::get_if<io::HttpResponse>(&result);
                 if (answer != nullptr && answer->status == 200) ++served;
                 bench.record.line("request " + id + " answered " +
                                   (answer == nullptr
                                        ? std::string("not at all")
                                        : std::to_string(answer->status)));
               });
  };
  if (!bench.run_until([&] { return served >= 20; }, seconds(15), each))
    return kCouldNotRun;
  add_board("i-c");
  bench.list(*boards.back(), "panboard");
  if (!bench.run_until([&] { return boards.back()->ran.size() >= 2; },
                       seconds(10), each)) {
    return kCouldNotRun;
  }
  bench.run_for(milliseconds(500), each);
  if (check.longest() > milliseconds(0)) return kCouldNotRun;
  if (with_trouble()) {
    bench.record.line(
        "drill: the store is away, and the routers are killed; the copy is " +
        std::to_string((io::steady_now() - copied_at).count() / 1000) +
        " ms old");
    bench.store.down = true;
    for (Router& router : bench.routers) bench.signal(router, SIGKILL);
    bench.store.restore_copy();
    bench.run_for(milliseconds(300), each);
    bench.store.down = false;
    bench.record.line("the store is back from the copy");
    bench.store.put(kConfigKind, kActiveConfigName, kConfiguration);
    for (const auto& board : boards) bench.list(*board, "panboard");
    for (Router& router : bench.routers) bench.start(router);
  }
  int served_before = served;
  bench.run_for(seconds(25), each);
  bench.record.line("served in the last 25 s: " +
                    std::to_string(served - served_before));
  bench.record.line(
      "longest time for which two instances held a key: " +
      std::to_string(check.longest().count() / 1000) +
      " ms; requests begun on such keys: " + std::to_string(begun_on_held));
  if (served == served_before) return kCouldNotRun;
  return check.longest() > milliseconds(500) ? kBroken : kHeld;
}

}  // namespace

int main(int, char** arguments) {
  return run_case([&] { return run(arguments[1]); });
}
