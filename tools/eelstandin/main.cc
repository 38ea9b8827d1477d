#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/program_options.hpp>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <optional>

#include "standin/platform.h"
#include "standin/server.h"

namespace {

namespace options = boost::program_options;
using eelgrasspin::Endpoint;
using eelgrasspin::milliseconds;
using eelgrasspin::ServerName;

constexpr int kExitUsage = 1;
constexpr int kExitPorts = 3;

options::options_description known_options() {
  options::options_description known(
      "eelstandin platform --listen IP:PORT [options]\n"
      "eelstandin server --name N --listen IP:PORT [options]");
  auto add = known.add_options();
  add("role", options::value<std::string>(), "platform or server");
  add("listen", options::value<std::string>(), "IP number and port");
  add("control", options::value<std::vector<std::string>>()->composing(),
      "control line to start with, such as \"slow 5\"");
  add("name", options::value<std::string>(), "server: its name");
  add("concurrency", options::value<std::uint32_t>()->default_value(2),
      "server: requests run at once");
  add("cold-start", options::value<std::int64_t>()->default_value(0),
      "server: work is slower for this many ms");
  add("work", options::value<std::int64_t>()->default_value(5),
      "server: ms of work for each request");
  add("execution-limit", options::value<std::int64_t>()->default_value(1000),
      "server: ms after which work is given up");
  add("log", options::value<std::string>()->default_value(""),
      "server: file for a line of each request as it starts");
  add("no-grants", "server: checks no grants");
  add("crashable", "server: a path with /crash ends the process");
  add("help", "this text");
  return known;
}

void wait_for_signal(boost::asio::io_context& io) {
  boost::asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&io](boost::system::error_code failed, int /*number*/) {
    if (!failed) io.stop();
  });
  io.run();
}

/// Listens, carries out the control lines and runs until a signal.
template <class StandIn>
int run(boost::asio::io_context& io, StandIn& stand_in,
        const options::variables_map& given) {
  Endpoint listen(given["listen"].as<std::string>());
  if (auto failed = stand_in.listen(listen)) {
    std::cerr << "eelstandin: " << failed->message << "\n";
    return kExitPorts;
  }
  if (given.count("control") > 0) {
    for (const auto& line : given["control"].as<std::vector<std::string>>()) {
      if (auto wrong = stand_in.apply_control_line(line)) {
        std::cerr << "eelstandin: " << wrong->message << "\n";
        return kExitUsage;
      }
    }
  }
  std::cout << "listening on " << stand_in.bound_endpoint() << std::endl;
  wait_for_signal(io);
  return 0;
}

int run_server(boost::asio::io_context& io,
               const options::variables_map& given) {
  eelgrasspin::standin::ServerOptions server;
  server.name = ServerName(given["name"].as<std::string>());
  server.execution_log_path = given["log"].as<std::string>();
  server.concurrency = given["concurrency"].as<std::uint32_t>();
  server.cold_start = milliseconds(given["cold-start"].as<std::int64_t>());
  server.service_time = milliseconds(given["work"].as<std::int64_t>());
  server.execution_limit =
      milliseconds(given["execution-limit"].as<std::int64_t>());
  server.checks_grants = given.count("no-grants") == 0;
  server.crashable = given.count("crashable") > 0;
  server.crash = [] { std::_Exit(1); };
  eelgrasspin::standin::BackendServer stand_in(io, server);
  return run(io, stand_in, given);
}

int usage(const std::string& why, const options::options_description& known) {
  std::cerr << "eelstandin: " << why << "\n" << known;
  return kExitUsage;
}

}  // namespace

int main(int argc, char** argv) {
  options::options_description known = known_options();
  options::positional_options_description role;
  role.add("role", 1);
  options::variables_map given;
  try {
    options::store(options::command_line_parser(argc, argv)
                       .options(known)
                       .positional(role)
                       .run(),
                   given);
  } catch (const options::error& wrong) {
    return usage(wrong.what(), known);
  }
  if (given.count("help") > 0) {
    std::cout << known;
    return 0;
  }
  if (given.count("role") == 0) return usage("a role is needed", known);
  if (given.count("listen") == 0) return usage("--listen is needed", known);
  std::string name = given["role"].as<std::string>();
  boost::asio::io_context io(1);
  if (name == "platform") {
    eelgrasspin::standin::Platform platform(io);
    return run(io, platform, given);
  }
  if (name != "server") return usage("unknown role " + name, known);
  if (given.count("name") == 0) return usage("--name is needed", known);
  return run_server(io, given);
}
