// One instance is partitioned from the store and from the routers; connections
// to it are reset. It runs on and holds its keys until its holds run out.
#include "../standin.hpp"

using namespace review;

namespace {

constexpr double kLongestOverlap = 0.5;
/// An entry is removed after three check-in intervals of silence.
constexpr double kEntryLifetime = 3 * 0.87;

void run_client(const Deployment& deployment, int client, double end,
                Record& record, std::atomic<int>& served) {
  for (int number = 0; now_s() < end; ++number) {
    const auto& daemon =
        deployment.daemons[static_cast<std::size_t>(client + number) %
                           deployment.daemons.size()];
    std::string id =
        "c" + std::to_string(client) + "-" + std::to_string(number);
    int key = (client * 8191 + number * 9973) % 65'536;
    int status = 0;
    if (auto stream = connect_to(daemon.ip, deployment.front_port)) {
      stream->send(request("GET", "/pan/" + id, id, 2000, key));
      if (auto answer = stream->receive(3)) status = answer->status();
    }
    if (status == 200) ++served;
    record.line("request id=" + id + " key=" + std::to_string(key) +
                " status=" + std::to_string(status));
    sleep_s(1);
  }
}

}  // namespace

int main(int, char** arguments) {
  limit_time(110);
  Record record(std::string(arguments[1]) + "/record.txt");
  TemporaryFolder folder;
  Store store("127.46.0.100");
  std::vector<std::unique_ptr<Instance>> boards;
  for (int i = 0; i < 4; ++i) {
    boards.push_back(std::make_unique<Instance>(
        "127.46.0.101", "i-board" + std::to_string(i), "boards",
        i % 2 == 0 ? "z1" : "z2", true, record, 0.1));
  }
  Instance& cut = *boards[0];
  std::mutex mutex;
  double longest = 0;
  for (std::size_t i = 1; i < boards.size(); ++i) {
    boards[i]->on_grant = [&, self = boards[i].get()](std::uint32_t from,
                                                      std::uint32_t to,
                                                      std::uint64_t fence) {
      for (std::uint32_t key : {from, to}) {
        double overlap = cut.hold_end(key) - now_s();
        if (overlap <= 0) continue;
        std::lock_guard lock(mutex);
        longest = std::max(longest, overlap);
        record.line((overlap > kLongestOverlap ? "BROKEN: " : "") + self->id() +
                    " is given key " + std::to_string(key) + " (fence " +
                    std::to_string(fence) + "), which " + cut.id() +
                    " holds for " + std::to_string(overlap) + " s more");
      }
    };
  }
  for (const auto& board : boards)
    store.put("servers", board->id(), board->entry());
  store.put("config", "main", configuration());
  Deployment deployment(folder.path, "127.46.1", store.endpoint());
  for (const char* zone : {"z1", "z2", "z1"}) deployment.add(zone);
  for (auto& daemon : deployment.daemons) deployment.start(daemon, true);
  if (!deployment.wait_until_ready(20)) give_up();
  sleep_s(3);
  std::atomic<int> served = 0;
  std::vector<std::thread> clients;
  for (int client = 0; client < 2; ++client) {
    clients.emplace_back(run_client, std::cref(deployment), client,
                         now_s() + 23, std::ref(record), std::ref(served));
  }
  sleep_s(14);
  if (trouble()) {
    cut.cut_off();
    record.line(cut.id() + " is partitioned from the store and the routers");
    sleep_s(kEntryLifetime);
    store.remove("servers", cut.id());
    record.line("the entry of " + cut.id() + " is removed");
  }
  for (std::thread& client : clients) client.join();
  std::cout << "served " << served << ", longest time for which two instances "
            << "held the same key " << longest << " s (allowed "
            << kLongestOverlap << ")\n";
  if (served < 20) finish(deployment, folder, 2);
  finish(deployment, folder, longest > kLongestOverlap ? 1 : 0);
}
