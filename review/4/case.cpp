// Another writer leaves one entry among those of the instances. All routers are
// then killed at once and start again.
#include "../standin.hpp"

using namespace review;

namespace {

constexpr double kRecoverySeconds = 15;
/// Valid JSON whose string has an escaped surrogate without its pair: bytes
/// that are no text, as some writers of JSON print them.
constexpr char kOddEntry[] =
    R"({"addr":"127.42.0.9:8080","born":1768982855592,"info":{"service":"\udcff",)"
    R"("version":"v1","zone":"z1","slots":2},"status":{"state":"ready","seq":1,)"
    R"("coldLeftS":0}})";

struct Totals {
  int sent = 0;
  int served = 0;
};

/// Sends each kind of request to each daemon for some seconds.
Totals run_clients(const Deployment& deployment, double seconds,
                   const std::string& phase, Record& record) {
  Totals totals;
  double end = now_s() + seconds;
  for (int number = 0; now_s() < end; ++number) {
    for (const auto& daemon : deployment.daemons) {
      std::string id = phase + std::to_string(number) + "-" + daemon.name;
      int kind = number % 3;
      std::string text =
          kind == 0   ? request("GET", "/ledger/x", id, 5000)
          : kind == 1 ? request("GET", "/pan/x", id, 2000, number * 997 % 65536)
                      : request("POST", "/dispatch/x", id, 2500, {}, "lorry");
      ++totals.sent;
      int status = 0;
      if (auto stream = connect_to(daemon.ip, deployment.front_port)) {
        stream->send(text);
        auto answer = stream->receive(3);
        if (answer) status = answer->status();
      }
      if (status == 200) ++totals.served;
      record.line("request id=" + id + " status=" + std::to_string(status));
    }
    sleep_s(0.1);
  }
  record.line(phase + ": sent " + std::to_string(totals.sent) + ", served " +
              std::to_string(totals.served));
  return totals;
}

}  // namespace

int main(int, char** arguments) {
  limit_time(110);
  Record record(std::string(arguments[1]) + "/record.txt");
  TemporaryFolder folder;
  Store store("127.42.0.100");
  std::vector<std::unique_ptr<Instance>> instances;
  for (const char* service : {"ledgers", "boards", "books"}) {
    for (int i = 0; i < 2; ++i) {
      instances.push_back(std::make_unique<Instance>(
          "127.42.0.101", "i-" + std::string(service) + std::to_string(i),
          service, i == 0 ? "z1" : "z2", std::string(service) == "boards",
          record, 0.02));
      store.put("servers", instances.back()->id(), instances.back()->entry());
    }
  }
  store.put("config", "main", configuration());
  Deployment deployment(folder.path, "127.42.1", store.endpoint());
  for (const char* zone : {"z1", "z2", "z1"}) deployment.add(zone);
  for (auto& daemon : deployment.daemons) deployment.start(daemon, true);
  if (!deployment.wait_until_ready(20)) give_up();
  sleep_s(4);
  Totals before = run_clients(deployment, 5, "before", record);
  if (trouble()) {
    store.put("servers", "i-foreign", kOddEntry);
    record.line("another writer has written servers/i-foreign");
  }
  sleep_s(1);
  for (auto& daemon : deployment.daemons) Deployment::stop(daemon, SIGKILL);
  record.line("all routers killed");
  sleep_s(1);
  for (auto& daemon : deployment.daemons) deployment.start(daemon, false);
  record.line("all routers started again");
  sleep_s(kRecoverySeconds + 1);
  for (const auto& daemon : deployment.daemons) {
    record.line(daemon.name +
                (deployment.ready(daemon) ? " is ready" : " is not ready"));
  }
  Totals after = run_clients(deployment, 8, "after", record);
  std::cout << "served before " << before.served << " of " << before.sent
            << ", after recoveryS " << after.served << " of " << after.sent
            << "\n";
  if (before.served * 4 < before.sent) finish(deployment, folder, 2);
  finish(deployment, folder, after.served * 4 < after.sent ? 1 : 0);
}
