// The links between one instance and the routers are cut for six seconds. After
// that, bytes that were held up reach the instance.
#include "../standin.hpp"

using namespace review;

namespace {

constexpr double kCutSeconds = 6;
/// The link is up again, but TCP sends held-up bytes again only some time
/// later: its interval grows to seconds during a cut.
constexpr double kRetransmissionDelay = 0.6;
constexpr double kThawSlack = 0.3;

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
    sleep_s(0.1);
  }
}

}  // namespace

int main(int, char** arguments) {
  limit_time(110);
  Record record(std::string(arguments[1]) + "/record.txt");
  TemporaryFolder folder;
  Store store("127.48.0.100");
  std::vector<std::unique_ptr<Instance>> boards;
  std::vector<std::unique_ptr<Link>> links;
  std::mutex mutex;
  int broken = 0;
  double healed = -1;
  for (int i = 0; i < 4; ++i) {
    boards.push_back(std::make_unique<Instance>(
        "127.48.0.101", "i-board" + std::to_string(i), "boards",
        i % 2 == 0 ? "z1" : "z2", true, record, 0.05));
    links.push_back(
        std::make_unique<Link>("127.48.0.101", boards.back()->port()));
    boards.back()->address = links.back()->endpoint();
  }
  for (const auto& board : boards) {
    board->on_grant = [&, self = board.get()](std::uint32_t from,
                                              std::uint32_t to,
                                              std::uint64_t fence) {
      std::lock_guard lock(mutex);
      for (const auto& other : boards) {
        if (other.get() == self) continue;
        for (std::uint32_t key : {from, to}) {
          std::uint64_t had = other->granted_fence(key);
          if (had < fence) continue;
          double since = healed < 0 ? 0 : now_s() - healed;
          bool counts = healed >= 0 && since > kThawSlack;
          if (counts) ++broken;
          record.line(
              (counts ? "BROKEN: " : "excused: ") + self->id() + " takes key " +
              std::to_string(key) + " with fence " + std::to_string(fence) +
              ", " + std::to_string(since) + " s after the link is back; " +
              other->id() + " had it with fence " + std::to_string(had) +
              " and holds it for " +
              std::to_string(other->hold_end(key) - now_s()) + " s more");
        }
      }
    };
    store.put("servers", board->id(), board->entry());
  }
  store.put("config", "main", configuration());
  Deployment deployment(folder.path, "127.48.1", store.endpoint());
  for (const char* zone : {"z1", "z2", "z1"}) deployment.add(zone);
  for (auto& daemon : deployment.daemons) deployment.start(daemon, true);
  if (!deployment.wait_until_ready(20)) give_up();
  sleep_s(3);
  std::atomic<int> served = 0;
  std::vector<std::thread> clients;
  for (int client = 0; client < 4; ++client) {
    clients.emplace_back(run_client, std::cref(deployment), client,
                         now_s() + 22, std::ref(record), std::ref(served));
  }
  sleep_s(8);
  if (trouble()) {
    links[0]->cut();
    record.line("the links of " + boards[0]->id() + " are cut");
    sleep_s(kCutSeconds);
    {
      std::lock_guard lock(mutex);
      healed = now_s();
    }
    record.line("the links of " + boards[0]->id() + " are back");
    sleep_s(kRetransmissionDelay);
    links[0]->heal();
  }
  for (std::thread& client : clients) client.join();
  std::cout << "served " << served
            << ", keys taken with a fence below that of another instance: "
            << broken << "\n";
  if (served < 50) finish(deployment, folder, 2);
  finish(deployment, folder, broken > 0 ? 1 : 0);
}
