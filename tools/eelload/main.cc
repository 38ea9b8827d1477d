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

options::options_description describe_options() {
  LoadOptions defaults;
  options::options_description description(
      "eelload --target IP:PORT [--target ...] [options]; JSON to standard "
      "output");
  auto add = description.add_options();
  add("target", options::value<std::vector<std::string>>()->composing(),
      "callers' port of a daemon; can be repeated, used round-robin");
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
  add("keys", options::value<std::size_t>()->default_value(defaults.key_count),
      "number of keys");
  add("zipf", options::value<double>()->default_value(defaults.zipf_exponent),
      "exponent of the Zipf distribution of the keys");
  add("body-bytes", options::value<std::size_t>()->default_value(0),
      "size of each request body");
  add("rate", options::value<double>()->default_value(defaults.rate),
      "requests started per second");
  add("seconds", options::value<double>()->default_value(10),
      "length of each measurement");
  add("warm-up", options::value<double>()->default_value(1),
      "seconds before each measurement that are not counted");
  add("rounds", options::value<int>()->default_value(1),
      "measurements of each kind, alternately direct and through the daemons");
  add("deadline-ms", options::value<std::int64_t>()->default_value(2000),
      "deadline of each request");
  add("connections",
      options::value<std::size_t>()->default_value(
          defaults.connections_per_target),
      "maximum number of connections to each target");
  add("repeats", options::value<std::uint32_t>()->default_value(0),
      "times a refused request is sent again, a second after each refusal");
  add("idempotency-keys", "send a fresh Idempotency-Key with each request");
  add("seed", options::value<std::uint64_t>()->default_value(defaults.seed),
      "random seed of the keys");
  add("record", options::value<std::string>()->default_value(""),
      "file for the outcome of each request");
  add("daemon-pid", options::value<int>(),
      "process whose processor time per request is measured");
  add("help", "print this help");
  return description;
}

Duration seconds_from(double value) {
  return Duration(static_cast<std::int64_t>(value * 1e6));
}

LoadOptions load_options(const options::variables_map& values) {
  LoadOptions load;
  for (const auto& target : values["target"].as<std::vector<std::string>>()) {
    load.targets.emplace_back(target);
  }
  load.record_file = values["record"].as<std::string>();
  load.path = values["path"].as<std::string>();
  load.method = values["method"].as<std::string>();
  load.key_prefix = values["key-prefix"].as<std::string>();
  load.key_count = std::max<std::size_t>(1, values["keys"].as<std::size_t>());
  load.zipf_exponent = values["zipf"].as<double>();
  load.body_bytes = values["body-bytes"].as<std::size_t>();
  load.rate = std::max(0.01, values["rate"].as<double>());
  load.duration = seconds_from(values["seconds"].as<double>());
  load.warm_up = seconds_from(values["warm-up"].as<double>());
  load.deadline =
      eelgrasspin::milliseconds(values["deadline-ms"].as<std::int64_t>());
  load.connections_per_target = values["connections"].as<std::size_t>();
  load.max_repeats = values["repeats"].as<std::uint32_t>();
  load.idempotency_keys = values.count("idempotency-keys") > 0;
  load.seed = values["seed"].as<std::uint64_t>();
  return load;
}

/// User and system time of a process in seconds; 0 if it cannot be read.
double processor_seconds(int pid) {
  constexpr int kUserTimeField = 14;
  std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
  std::string word;
  double ticks = 0;
  for (int field = 1; field <= kUserTimeField + 1 && file >> word; ++field) {
    if (field >= kUserTimeField) ticks += std::strtod(word.c_str(), nullptr);
  }
  return ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
}

void add(LoadResult& total, const LoadResult& round_result) {
  total.offered += round_result.offered;
  total.answered += round_result.answered;
  total.not_run += round_result.not_run;
  total.unknown += round_result.unknown;
  total.failed += round_result.failed;
  total.mismatched += round_result.mismatched;
  total.repeated += round_result.repeated;
  for (const auto& [reason, count] : round_result.reasons)
    total.reasons[reason] += count;
  total.answered_latency.merge(round_result.answered_latency);
  total.refused_latency.merge(round_result.refused_latency);
  total.elapsed += round_result.elapsed;
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

double ratio(Duration numerator, Duration denominator) {
  if (denominator == Duration(0)) return 0;
  return static_cast<double>(numerator.count()) /
         static_cast<double>(denominator.count());
}

std::optional<LoadOptions> direct_options(
    const LoadOptions& load, const options::variables_map& values) {
  if (values.count("direct") == 0) return std::nullopt;
  LoadOptions direct = load;
  direct.targets = {Endpoint(values["direct"].as<std::string>())};
  std::size_t second_slash = load.path.find('/', 1);
  if (values.count("direct-path") > 0) {
    direct.path = values["direct-path"].as<std::string>();
  } else if (second_slash != std::string::npos) {
    direct.path = load.path.substr(second_slash);
  }
  return direct;
}

int run(const options::variables_map& values) {
  LoadOptions load = load_options(values);
  std::optional<LoadOptions> direct = direct_options(load, values);
  int pid = values.count("daemon-pid") > 0 ? values["daemon-pid"].as<int>() : 0;
  LoadResult via_daemons;
  LoadResult directly;
  double used_seconds = 0;
  for (int round = 0; round < values["rounds"].as<int>(); ++round) {
    if (direct) add(directly, eelgrasspin::load::run_load(*direct));
    double used_before = pid > 0 ? processor_seconds(pid) : 0;
    add(via_daemons, eelgrasspin::load::run_load(load));
    if (pid > 0) used_seconds += processor_seconds(pid) - used_before;
  }
  json::object out = {{"rate", load.rate}, {"daemons", to_json(via_daemons)}};
  if (direct) {
    out["direct"] = to_json(directly);
    out["latency_ratio"] = {
        {"p50", ratio(via_daemons.answered_latency.quantile(0.5),
                      directly.answered_latency.quantile(0.5))},
        {"p99", ratio(via_daemons.answered_latency.quantile(0.99),
                      directly.answered_latency.quantile(0.99))}};
  }
  if (pid > 0 && via_daemons.offered > 0) {
    // The processor time includes the warm-up, `offered` does not.
    double warm_up_factor =
        static_cast<double>((load.warm_up + load.duration).count()) /
        static_cast<double>(load.duration.count());
    out["processor_us_per_request"] =
        used_seconds * 1e6 /
        (static_cast<double>(via_daemons.offered) * warm_up_factor);
  }
  std::cout << json::serialize(out) << std::endl;
  return via_daemons.mismatched + directly.mismatched > 0 ? kExitMismatch : 0;
}

int usage(const std::string& why,
          const options::options_description& description) {
  std::cerr << "eelload: " << why << "\n" << description;
  return kExitUsage;
}

}  // namespace

int main(int argc, char** argv) {
  options::options_description description = describe_options();
  options::variables_map values;
  try {
    options::store(options::command_line_parser(argc, argv)
                       .options(description)
                       .positional({})
                       .run(),
                   values);
  } catch (const options::error& failure) {
    return usage(failure.what(), description);
  }
  if (values.count("help") > 0) {
    std::cout << description;
    return 0;
  }
  if (values.count("target") == 0)
    return usage("--target is required", description);
  for (const auto& target : values["target"].as<std::vector<std::string>>()) {
    if (!eelgrasspin::io::parse_endpoint(Endpoint(target))) {
      return usage(target + " is not an IP address with a port", description);
    }
  }
  return run(values);
}
