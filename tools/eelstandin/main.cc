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
constexpr int kExitPortUnavailable = 3;

options::options_description describe_options() {
  options::options_description description(
      "eelstandin platform --listen IP:PORT [options]\n"
      "eelstandin server --name N --listen IP:PORT [options]");
  auto add = description.add_options();
  add("role", options::value<std::string>(), "platform or server");
  add("listen", options::value<std::string>(), "IP number and port");
  add("control", options::value<std::vector<std::string>>()->composing(),
      "control line to carry out at the start, such as \"slow 5\"");
  add("name", options::value<std::string>(), "server: its name");
  add("concurrency", options::value<std::uint32_t>()->default_value(2),
      "server: requests that run concurrently");
  add("cold-start", options::value<std::int64_t>()->default_value(0),
      "server: ms after the start in which work takes longer");
  add("work", options::value<std::int64_t>()->default_value(5),
      "server: ms of work for each request");
  add("execution-limit", options::value<std::int64_t>()->default_value(1000),
      "server: ms after which work is aborted");
  add("log", options::value<std::string>()->default_value(""),
      "server: file that gets a line for each request as it starts");
  add("no-grants", "server: checks no grants");
  add("crashable", "server: a path with /crash ends the process");
  add("help", "print this help");
  return description;
}

void wait_for_signal(boost::asio::io_context& io) {
  boost::asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&io](boost::system::error_code error, int /*number*/) {
    if (!error) io.stop();
  });
  io.run();
}

/// Listens, carries out the control lines, and serves until SIGTERM or SIGINT.
template <class StandIn>
int run(boost::asio::io_context& io, StandIn& stand_in,
        const options::variables_map& values) {
  Endpoint listen(values["listen"].as<std::string>());
  if (auto listen_error = stand_in.listen(listen)) {
    std::cerr << "eelstandin: " << listen_error->message << "\n";
    return kExitPortUnavailable;
  }
  if (values.count("control") > 0) {
    for (const auto& line : values["control"].as<std::vector<std::string>>()) {
      if (auto control_error = stand_in.apply_control_line(line)) {
        std::cerr << "eelstandin: " << control_error->message << "\n";
        return kExitUsage;
      }
    }
  }
  std::cout << "listening on " << stand_in.bound_endpoint() << std::endl;
  wait_for_signal(io);
  return 0;
}

int run_server(boost::asio::io_context& io,
               const options::variables_map& values) {
  eelgrasspin::standin::ServerOptions server;
  server.name = ServerName(values["name"].as<std::string>());
  server.execution_log_path = values["log"].as<std::string>();
  server.concurrency = values["concurrency"].as<std::uint32_t>();
  server.cold_start = milliseconds(values["cold-start"].as<std::int64_t>());
  server.service_time = milliseconds(values["work"].as<std::int64_t>());
  server.execution_limit =
      milliseconds(values["execution-limit"].as<std::int64_t>());
  server.checks_grants = values.count("no-grants") == 0;
  server.crashable = values.count("crashable") > 0;
  server.crash = [] { std::_Exit(1); };
  eelgrasspin::standin::BackendServer stand_in(io, server);
  return run(io, stand_in, values);
}

int usage(const std::string& why,
          const options::options_description& description) {
  std::cerr << "eelstandin: " << why << "\n" << description;
  return kExitUsage;
}

}  // namespace

int main(int argc, char** argv) {
  options::options_description description = describe_options();
  options::positional_options_description positions;
  positions.add("role", 1);
  options::variables_map values;
  try {
    options::store(options::command_line_parser(argc, argv)
                       .options(description)
                       .positional(positions)
                       .run(),
                   values);
  } catch (const options::error& failure) {
    return usage(failure.what(), description);
  }
  if (values.count("help") > 0) {
    std::cout << description;
    return 0;
  }
  if (values.count("role") == 0)
    return usage("a role is required", description);
  if (values.count("listen") == 0)
    return usage("--listen is required", description);
  std::string role = values["role"].as<std::string>();
  boost::asio::io_context io(1);
  if (role == "platform") {
    eelgrasspin::standin::Platform platform(io);
    return run(io, platform, values);
  }
  if (role != "server") return usage("unknown role " + role, description);
  if (values.count("name") == 0)
    return usage("--name is required", description);
  return run_server(io, values);
}
