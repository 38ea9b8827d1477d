#include "ctl/explain.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <fstream>
#include <iostream>
#include <set>

#include "ctl/exit_codes.h"

namespace eelgrasspin::ctl {
namespace {

/// Events about the store and about the state of the daemon itself.
constexpr std::array<std::string_view, 11> kContextEvents = {
    "store_lost",
    "store_reached",
    "config_adopted",
    "map_adopted",
    "coordinator_started",
    "coordinator_ended",
    "keys_rehomed",
    "resumed",
    "start",
    "stop_ordered",
    "daemon_heard"};

std::int64_t time_ms_of(const std::string& line) {
  std::string text = field_value(line, "time_ms");
  std::int64_t time = 0;
  std::from_chars(text.data(), text.data() + text.size(), time);
  return time;
}

bool is_context_event(const std::string& line,
                      const std::set<std::string>& servers) {
  std::string event = field_value(line, "event");
  if (std::find(kContextEvents.begin(), kContextEvents.end(), event) !=
      kContextEvents.end()) {
    return true;
  }
  bool is_server_event = event == "server" || event == "server_backoff" ||
                         event == "granted" || event == "released" ||
                         event == "order_failed";
  return is_server_event && servers.count(field_value(line, "server")) > 0;
}

}  // namespace

std::string field_value(const std::string& line, const std::string& key) {
  std::string prefix = key + "=";
  std::size_t position = 0;
  while ((position = line.find(prefix, position)) != std::string::npos) {
    if (position == 0 || line[position - 1] == ' ') break;
    position += prefix.size();
  }
  if (position == std::string::npos) return {};
  std::size_t start = position + prefix.size();
  if (start < line.size() && line[start] == '"') {
    std::size_t end = line.find('"', start + 1);
    return line.substr(start + 1, end - start - 1);
  }
  return line.substr(start, line.find(' ', start) - start);
}

std::vector<LogLine> related_lines(const std::string& id,
                                   const std::vector<LogLine>& lines) {
  std::vector<LogLine> related;
  std::set<std::string> servers;
  std::set<std::string> files;
  std::set<std::string> fingerprints;
  std::int64_t first = 0;
  std::int64_t last = 0;
  for (const LogLine& line : lines) {
    if (field_value(line.text, "id") != id) continue;
    related.push_back(line);
    files.insert(line.file);
    servers.insert(field_value(line.text, "server"));
    std::string fingerprint = field_value(line.text, "fingerprint");
    if (!fingerprint.empty() && fingerprint != "-")
      fingerprints.insert(fingerprint);
    first = first == 0 ? line.time_ms : std::min(first, line.time_ms);
    last = std::max(last, line.time_ms);
  }
  if (related.empty()) return related;
  for (const LogLine& line : lines) {
    // Crashes under earlier repetitions, at any daemon, decide on this one.
    if (field_value(line.text, "event") == "crash_strike" &&
        fingerprints.count(field_value(line.text, "fingerprint")) > 0) {
      related.push_back(line);
      continue;
    }
    bool in_window =
        line.time_ms >= first - kContextBeforeMs && line.time_ms <= last;
    if (!in_window || files.count(line.file) == 0) continue;
    if (field_value(line.text, "id").empty() &&
        is_context_event(line.text, servers)) {
      related.push_back(line);
    }
  }
  std::stable_sort(related.begin(), related.end(),
                   [](const LogLine& left, const LogLine& right) {
                     return left.time_ms < right.time_ms;
                   });
  return related;
}

int explain(const std::string& id, const std::vector<std::string>& files) {
  std::vector<LogLine> lines;
  for (const std::string& file : files) {
    std::ifstream in(file);
    if (!in) {
      std::cerr << "eelctl: cannot read " << file << "\n";
      return kBadInput;
    }
    for (std::string text; std::getline(in, text);) {
      lines.push_back({time_ms_of(text), file, text});
    }
  }
  std::vector<LogLine> related = related_lines(id, lines);
  if (related.empty()) {
    std::cerr << "eelctl: no log line with the request id " << id << "\n";
    return kBadInput;
  }
  for (const LogLine& line : related) {
    std::cout << line.file << ": " << line.text << "\n";
  }
  return kDone;
}

}  // namespace eelgrasspin::ctl
