#include <unistd.h>

#include <boost/json.hpp>
#include <boost/program_options.hpp>
#include <fstream>
#include <iostream>
#include <optional>

#include "io/endpoint.h"
#include "tools/eelload/load.h"

namespace {

namespace json = boost::json;
namespace options = boost::program_options;
using eelgrasspin::Duration;
using eelgrasspin::Endpoint;
using eelgrasspin::load::LoadOptions;
using eelgrasspin::load::LoadResult;

constexpr int kExitUsage = 1;
constexpr int kExitMismatch = 2;

options::options_description known_options() {
  LoadOptions defaults;
  options::options_description known(
      "eelload --target IP:PORT [--target ...] [options]; JSON to standard "
      "output");
  auto add = known.add_options();
  add("target", options::value<std::vector<std::string>>()->composing(),
      "callers' port of a daemon; several are taken in turn");
  add("direct", options::value<std::string>(),
      "backend server to measure directly in the same run");
  add("direct-path", options::value<std::string>(),
      "path at the backend server; default: --path without its service");
  add("path", options::value<std::string>()->default_value(defaults.path),
      "path with {key}");
  add("method", options::value<std::string>()->default_value(defaults.method),
      "HTTP method");
  add("key-prefix",
      options::value<std::string>()->default_value(defaults.key_prefix),
      "text before each key's number");
  add("keys", options::value<std::size_t>()->default_value(defaults.keys),
      "number of keys");
  add("zipf", options::value<double>()->default_value(defaults.zipf),
      "exponent of the keys' popularity");
  add("body-bytes", options::value<std::size_t>()->default_value(0),
      "size of each body");
  add("rate", options::value<double>()->default_value(defaults.rate),
      "requests started a second");
  add("seconds", options::value<double>()->default_value(10),
      "length of each measurement");
  add("warm-up", options::value<double>()->default_value(1),
      "seconds before it that are not counted");
  add("rounds", options::value<int>()->default_value(1),
      "measurements of each kind, direct and through the daemons in turn");
  add("deadline-ms", options::value<std::int64_t>()->default_value(2000),
      "deadline of each request");
  add("connections",
      options::value<std::size_t>()->default_value(defaults.connections),
      "most connections to each target");
  add("repeats", options::value<std::uint32_t>()->default_value(0),
      "times a refused request is sent again, each after a second");
  add("idempotency-keys", "send a fresh Idempotency-Key with each request");
  add("seed", options::value<std::uint64_t>()->default_value(defaults.seed),
      "seed of the drawn keys");
  add("record", options::value<std::string>()->default_value(""),
      "file for the outcome of each request");
  add("daemon-pid", options::value<int>(),
      "process whose processor time is counted for each request");
  add("help", "this text");
  return known;
}

Duration seconds_of(double value) {
  return Duration(static_cast<std::int64_t>(value * 1e6));
}

LoadOptions load_options(const options::variables_map& given) {
  LoadOptions load;
  for (const auto& target : given["target"].as<std::vector<std::string>>()) {
    load.targets.emplace_back(target);
  }
  load.record = given["record"].as<std::string>();
  load.path = given["path"].as<std::string>();
  load.method = given["method"].as<std::string>();
  load.key_prefix = given["key-prefix"].as<std::string>();
  load.keys = std::max<std::size_t>(1, given["keys"].as<std::size_t>());
  load.zipf = given["zipf"].as<double>();
  load.body_bytes = given["body-bytes"].as<std::size_t>();
  load.rate = std::max(0.01, given["rate"].as<double>());
  load.duration = seconds_of(given["seconds"].as<double>());
  load.warm_up = seconds_of(given["warm-up"].as<double>());
  load.deadline =
      eelgrasspin::milliseconds(given["deadline-ms"].as<std::int64_t>());
  load.connections = given["connections"].as<std::size_t>();
  load.repeats = given["repeats"].as<std::uint32_t>();
  load.idempotency_keys = given.count("idempotency-keys") > 0;
  load.seed = given["seed"].as<std::uint64_t>();
  return load;
}

/// Processor time of a process in seconds; 0 if it cannot be read.
double processor_seconds(int pid) {
  constexpr int kUserField = 14;
  std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
  std::string word;
  double ticks = 0;
  for (int field = 1; field <= kUserField + 1 && file >> word; ++field) {
    if (field >= kUserField) ticks += std::strtod(word.c_str(), nullptr);
  }
  return ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
}

void add(LoadResult& sum, const LoadResult& part) {
  sum.offered += part.offered;
  sum.answered += part.answered;
  sum.not_run += part.not_run;
  sum.unknown += part.unknown;
  sum.failed += part.failed;
  sum.mismatched += part.mismatched;
  sum.repeated += part.repeated;
  for (const auto& [reason, count] : part.reasons) sum.reasons[reason] += count;
  sum.answered_latency.merge(part.answered_latency);
  sum.refused_latency.merge(part.refused_latency);
  sum.elapsed += part.elapsed;
}

json::object latency_json(const eelgrasspin::io::Histogram& latency) {
  auto ms = [](Duration duration) {
    return static_cast<double>(duration.count()) / 1000;
  };
  return {{"p50_ms", ms(latency.quantile(0.5))},
          {"p90_ms", ms(latency.quantile(0.9))},
          {"p99_ms", ms(latency.quantile(0.99))},
          {"p999_ms", ms(latency.quantile(0.999))},
          {"max_ms", ms(latency.max())}};
}

json::object to_json(const LoadResult& result) {
  double elapsed = static_cast<double>(result.elapsed.count()) / 1e6;
  json::object reasons;
  for (const auto& [reason, count] : result.reasons) reasons[reason] = count;
  return {
      {"offered", result.offered},
      {"answered", result.answered},
      {"not_run", result.not_run},
      {"unknown", result.unknown},
      {"failed", result.failed},
      {"mismatched", result.mismatched},
      {"repeated", result.repeated},
      {"goodput_per_second", static_cast<double>(result.answered) / elapsed},
      {"reasons", reasons},
      {"answered_latency", latency_json(result.answered_latency)},
      {"refused_latency", latency_json(result.refused_latency)}};
}

double ratio(Duration above, Duration below) {
  if (below == Duration(0)) return 0;
  return static_cast<double>(above.count()) /
         static_cast<double>(below.count());
}

std::optional<LoadOptions> direct_options(const LoadOptions& load,
                                          const options::variables_map& given) {
  if (given.count("direct") == 0) return std::nullopt;
  LoadOptions direct = load;
  direct.targets = {Endpoint(given["direct"].as<std::string>())};
  std::size_t end = load.path.find('/', 1);
  if (given.count("direct-path") > 0) {
    direct.path = given["direct-path"].as<std::string>();
  } else if (end != std::string::npos) {
    direct.path = load.path.substr(end);
  }
  return direct;
}

int run(const options::variables_map& given) {
  LoadOptions load = load_options(given);
  std::optional<LoadOptions> direct = direct_options(load, given);
  int pid = given.count("daemon-pid") > 0 ? given["daemon-pid"].as<int>() : 0;
  LoadResult through;
  LoadResult straight;
  double processor = 0;
  for (int round = 0; round < given["rounds"].as<int>(); ++round) {
    if (direct) add(straight, eelgrasspin::load::run_load(*direct));
    double before = pid > 0 ? processor_seconds(pid) : 0;
    add(through, eelgrasspin::load::run_load(load));
    if (pid > 0) processor += processor_seconds(pid) - before;
  }
  json::object out = {{"rate", load.rate}, {"daemons", to_json(through)}};
  if (direct) {
    out["direct"] = to_json(straight);
    out["latency_ratio"] = {
        {"p50", ratio(through.answered_latency.quantile(0.5),
                      straight.answered_latency.quantile(0.5))},
        {"p99", ratio(through.answered_latency.quantile(0.99),
                      straight.answered_latency.quantile(0.99))}};
  }
  if (pid > 0 && through.offered > 0) {
    double warm = static_cast<double>((load.warm_up + load.duration).count()) /
                  static_cast<double>(load.duration.count());
    out["processor_us_per_request"] =
        processor * 1e6 / (static_cast<double>(through.offered) * warm);
  }
  std::cout << json::serialize(out) << std::endl;
  return through.mismatched + straight.mismatched > 0 ? kExitMismatch : 0;
}

int usage(const std::string& why, const options::options_description& known) {
  std::cerr << "eelload: " << why << "\n" << known;
  return kExitUsage;
}

}  // namespace

int main(int argc, char** argv) {
  options::options_description known = known_options();
  options::variables_map given;
  try {
    options::store(options::command_line_parser(argc, argv)
                       .options(known)
                       .positional({})
                       .run(),
                   given);
  } catch (const options::error& wrong) {
    return usage(wrong.what(), known);
  }
  if (given.count("help") > 0) {
    std::cout << known;
    return 0;
  }
  if (given.count("target") == 0) return usage("--target is needed", known);
  for (const auto& target : given["target"].as<std::vector<std::string>>()) {
    if (!eelgrasspin::io::parse_endpoint(Endpoint(target))) {
      return usage(target + " is not an IP number with a port", known);
    }
  }
  return run(given);
}
