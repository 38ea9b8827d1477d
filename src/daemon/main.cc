#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/program_options.hpp>
#include <csignal>
#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>

#include "config/settings.h"
#include "io/log.h"
#include "io/shell.h"

namespace {

namespace options = boost::program_options;
using eelgrasspin::Error;
using eelgrasspin::Finding;
using eelgrasspin::config::Settings;

constexpr int kExitOk = 0;
constexpr int kExitUsage = 1;
constexpr int kExitBadSettings = 2;
constexpr int kExitPortUnavailable = 3;

struct Arguments {
  std::string settings;
  bool check = false;
};

/// Empty if the program ends at once, with the exit status `status`.
std::optional<Arguments> read_arguments(int argc, char** argv, int& status) {
  options::options_description description("eelgrasspind --settings FILE");
  description.add_options()("settings", options::value<std::string>(),
                            "settings file of this daemon (INI)")(
      "check", "read and check the settings, then exit")(
      "help", "print this help")("version", "print the version");
  options::variables_map values;
  try {
    options::store(options::command_line_parser(argc, argv)
                       .options(description)
                       .positional({})
                       .run(),
                   values);
  } catch (const options::error& failure) {
    std::cerr << "eelgrasspind: " << failure.what() << "\n" << description;
    status = kExitUsage;
    return std::nullopt;
  }
  if (values.count("help") > 0) {
    std::cout << description;
    status = kExitOk;
    return std::nullopt;
  }
  if (values.count("version") > 0) {
    std::cout << "eelgrasspind " << EELGRASSPIN_VERSION << "\n";
    status = kExitOk;
    return std::nullopt;
  }
  if (values.count("settings") == 0) {
    std::cerr << "eelgrasspind: --settings FILE is required\n" << description;
    status = kExitUsage;
    return std::nullopt;
  }
  return Arguments{values["settings"].as<std::string>(),
                   values.count("check") > 0};
}

std::optional<std::string> read_file(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) return std::nullopt;
  std::ostringstream text;
  text << file.rdbuf();
  if (file.bad()) return std::nullopt;
  return text.str();
}

std::optional<Settings> load_settings(const std::string& path) {
  std::optional<std::string> text = read_file(path);
  if (!text) {
    std::cerr << "eelgrasspind: cannot read " << path << "\n";
    return std::nullopt;
  }
  auto result = eelgrasspin::config::read_settings(*text, path);
  if (const auto* findings = std::get_if<std::vector<Finding>>(&result)) {
    for (const Finding& finding : *findings) {
      std::cerr << to_string(finding) << "\n";
    }
    return std::nullopt;
  }
  return std::get<Settings>(std::move(result));
}

int run(const Settings& settings) {
  boost::asio::io_context io(1);
  eelgrasspin::io::open_log(settings.log_level);
  eelgrasspin::io::Shell shell(io, settings, [&io] { io.stop(); });
  std::vector<Error> errors = shell.bind();
  for (const Error& error : errors) {
    std::cerr << "eelgrasspind: " << error.message << "\n";
  }
  if (!errors.empty()) return kExitPortUnavailable;
  int signal_count = 0;
  boost::asio::signal_set signals(io, SIGTERM, SIGINT);
  std::function<void(boost::system::error_code, int)> on_signal =
      [&](boost::system::error_code wait_error, int /*number*/) {
        if (wait_error) return;
        // A second signal stops without waiting for the graceful stop to
        // complete.
        if (++signal_count > 1) return io.stop();
        shell.request_stop();
        signals.async_wait(on_signal);
      };
  signals.async_wait(on_signal);
  shell.start();
  io.run();
  return kExitOk;
}

}  // namespace

int main(int argc, char** argv) {
  int status = kExitOk;
  std::optional<Arguments> arguments = read_arguments(argc, argv, status);
  if (!arguments) return status;
  std::optional<Settings> settings = load_settings(arguments->settings);
  if (!settings) return kExitBadSettings;
  if (arguments->check) {
    std::cout << arguments->settings << ": ok\n";
    return kExitOk;
  }
  return run(*settings);
}
