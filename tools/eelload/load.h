#ifndef EELGRASSPIN_TOOLS_EELLOAD_LOAD_H_
#define EELGRASSPIN_TOOLS_EELLOAD_LOAD_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "eelgrasspin/ids.h"
#include "eelgrasspin/units.h"
#include "io/histogram.h"

/// Open-loop load over HTTP.
namespace eelgrasspin::load {

/// Draws key numbers, number k with a weight of 1 / (k + 1)^exponent.
class ZipfKeys {
 public:
  ZipfKeys(std::size_t count, double exponent);
  std::size_t draw(std::mt19937_64& random) const;

 private:
  std::vector<double> cumulative_;
};

struct LoadOptions {
  std::vector<Endpoint> targets;  ///< Taken in turn.
  std::string method = "GET";
  std::string path = "/panboard/pans/{key}";  ///< {key} is replaced.
  std::string key_prefix = "pan-";
  std::size_t keys = 1000;
  double zipf = 0.99;
  std::size_t body_bytes = 0;
  double rate = 100;  ///< Requests started a second, whatever is answered.
  Duration duration = seconds(10);
  Duration warm_up = seconds(1);  ///< At the start; not counted.
  Duration deadline = seconds(2);
  std::size_t connections = 512;  ///< For each target.
  bool idempotency_keys = false;
  /// A refused request is sent again after a second, this many times.
  std::uint32_t repeats = 0;
  std::uint64_t seed = 20261204;
  /// File for one line "MARK OUTCOME" of each request, counted or not; the mark
  /// also goes into the query, so that backend servers log it. Empty: none.
  std::string record;
};

struct LoadResult {
  std::uint64_t offered = 0;  ///< Started after the warm-up.
  std::uint64_t answered = 0;
  std::uint64_t not_run = 0;
  std::uint64_t unknown = 0;
  std::uint64_t failed = 0;      ///< No answer at all, or one without outcome.
  std::uint64_t mismatched = 0;  ///< Answer of another request.
  std::uint64_t repeated = 0;    ///< Sent again after a refusal.
  std::map<std::string, std::uint64_t> reasons;
  io::Histogram answered_latency;  ///< From the scheduled start.
  io::Histogram refused_latency;
  Duration elapsed{0};
};

/// Runs one load to its end; blocks.
LoadResult run_load(const LoadOptions& options);

}  // namespace eelgrasspin::load

#endif  // EELGRASSPIN_TOOLS_EELLOAD_LOAD_H_
