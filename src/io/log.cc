#include "io/log.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <boost/smart_ptr/make_shared.hpp>
#include <iostream>

namespace eelgrasspin::io {
namespace {

namespace logging = boost::log;

constexpr std::array<std::string_view, 4> kLevelNames = {"debug", "info",
                                                         "warning", "error"};
BOOST_LOG_ATTRIBUTE_KEYWORD(severity, "Severity", int)

logging::sources::severity_logger<int>& logger() {
  static logging::sources::severity_logger<int> instance;
  return instance;
}

bool needs_quotes(std::string_view text) {
  return text.empty() || std::any_of(text.begin(), text.end(), [](char c) {
           return c == ' ' || c == '"' || c == '=' || c == '\\' ||
                  static_cast<unsigned char>(c) < ' ';
         });
}

std::string quote_if_needed(std::string_view text) {
  if (!needs_quotes(text)) return std::string(text);
  std::string result = "\"";
  for (char c : text) {
    if (c == '"' || c == '\\') result += '\\';
    result += static_cast<unsigned char>(c) < ' ' ? ' ' : c;
  }
  return result + "\"";
}

int min_level(std::string_view level) {
  const auto* found = std::find(kLevelNames.begin(), kLevelNames.end(), level);
  return found == kLevelNames.end()
             ? static_cast<int>(LogLevel::kInfo)
             : static_cast<int>(found - kLevelNames.begin());
}

/// Lines are dropped while this much waits for the reader of standard output.
constexpr std::size_t kMaxBufferedBytes = 128 * 1024;

/// Writes lines to standard output without blocking.
class NonblockingStdout : public logging::sinks::basic_formatted_sink_backend<
                              char, logging::sinks::synchronized_feeding> {
 public:
  NonblockingStdout() {
    int flags = ::fcntl(STDOUT_FILENO, F_GETFL);
    if (flags >= 0) ::fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
  }

  void consume(const logging::record_view& /*record*/,
               const string_type& line) {
    if (buffer_.size() + line.size() + 1 > kMaxBufferedBytes) {
      ++dropped_;
      return;
    }
    buffer_ += line;
    buffer_ += '\n';
    ssize_t count = ::write(STDOUT_FILENO, buffer_.data(), buffer_.size());
    if (count > 0) buffer_.erase(0, static_cast<std::size_t>(count));
  }

  std::uint64_t dropped() const { return dropped_; }

 private:
  std::string buffer_;
  std::uint64_t dropped_ = 0;
};

boost::shared_ptr<NonblockingStdout>& nonblocking_stdout() {
  static boost::shared_ptr<NonblockingStdout> backend;
  return backend;
}

}  // namespace

void open_nonblocking_log(std::string_view level) {
  using Sink = logging::sinks::synchronous_sink<NonblockingStdout>;
  if (!nonblocking_stdout()) {
    nonblocking_stdout() = boost::make_shared<NonblockingStdout>();
    auto sink = boost::make_shared<Sink>(nonblocking_stdout());
    sink->set_formatter(logging::expressions::stream
                        << logging::expressions::smessage);
    logging::core::get()->add_sink(sink);
  }
  logging::core::get()->set_filter(severity >= min_level(level));
}

std::uint64_t log_lines_dropped() {
  return nonblocking_stdout() ? nonblocking_stdout()->dropped() : 0;
}

void open_log(std::string_view level) {
  int min_severity = min_level(level);
  static bool sink_added = false;
  if (!sink_added) {
    logging::add_console_log(
        std::cerr,
        logging::keywords::format = logging::expressions::stream
                                    << logging::expressions::smessage,
        logging::keywords::auto_flush = true);
    sink_added = true;
  }
  logging::core::get()->set_filter(severity >= min_severity);
}

std::string format_fields(const LogFields& fields) {
  std::string line;
  for (const auto& [key, value] : fields) {
    if (!line.empty()) line += ' ';
    line += key;
    line += '=';
    line += quote_if_needed(value);
  }
  return line;
}

void log_line(LogLevel level, const LogFields& fields) {
  auto number = static_cast<int>(level);
  auto now =
      std::chrono::time_point_cast<Duration>(std::chrono::system_clock::now());
  BOOST_LOG_SEV(logger(), number)
      << "time_ms=" << to_ms(now)
      << " level=" << kLevelNames[static_cast<std::size_t>(number)] << ' '
      << format_fields(fields);
}

void log_event(const TimelineEvent& event) {
  LogFields fields = {{"event", std::string(to_string(event.kind))},
                      {"daemon", event.daemon.str()},
                      {"zone", event.zone.str()},
                      {"sequence", std::to_string(event.sequence)}};
  auto add = [&](std::string_view key, std::string value) {
    if (!value.empty()) fields.emplace_back(key, std::move(value));
  };
  add("service", event.service.str());
  add("server", event.server.str());
  if (event.slot) add("slot", std::to_string(event.slot->value));
  if (event.epoch > 0) add("epoch", std::to_string(event.epoch));
  add("revision", std::to_string(event.revision.value));
  add("cause", event.cause);
  add("detail", event.detail);
  log_line(LogLevel::kInfo, fields);
}

}  // namespace eelgrasspin::io
