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

/// Open-loop load over HTTP: requests start on schedule, whether or not earlier
/// ones are answered.
namespace eelgrasspin::load {

/// Draws key numbers from a Zipf distribution: number k has the weight
/// 1 / (k + 1)^exponent.
class ZipfKeys {
 public:
  ZipfKeys(std::size_t key_count, double exponent);
  std::size_t draw(std::mt19937_64& random) const;

 private:
  std::vector<double> cumulative_;
};

struct LoadOptions {
  std::vector<Endpoint> targets;  ///< Used round-robin.
  std::string method = "GET";
  std::string path = "/panboard/pans/{key}";  ///< {key} is replaced.
  std::string key_prefix = "pan-";
  std::size_t key_count = 1000;
  double zipf_exponent = 0.99;
  std::size_t body_bytes = 0;
  double rate = 100;  ///< Requests started per second.
  Duration duration = seconds(10);
  Duration warm_up = seconds(1);  ///< Comes before `duration`; not counted.
  Duration deadline = seconds(2);
  std::size_t connections_per_target = 512;  ///< Upper bound.
  bool idempotency_keys = false;
  /// Times that a request is sent again, a second after each refusal.
  std::uint32_t max_repeats = 0;
  std::uint64_t seed = 20261204;
  /// File that gets a line "MARK OUTCOME" for each request, counted or not. The
  /// mark is unique to the request; it is also sent in the query, so that
  /// backend servers log it. Empty: no file.
  std::string record_file;
};

struct LoadResult {
  std::uint64_t offered = 0;  ///< Started after the warm-up.
  std::uint64_t answered = 0;
  std::uint64_t not_run = 0;
  std::uint64_t unknown = 0;
  std::uint64_t failed = 0;      ///< No answer, or one without an outcome.
  std::uint64_t mismatched = 0;  ///< Status 200 without the right echo.
  std::uint64_t repeated = 0;    ///< Sent again after a refusal.
  /// Requests that were not answered, by reason.
  std::map<std::string, std::uint64_t> reasons;
  io::Histogram answered_latency;  ///< From the scheduled start of a request.
  io::Histogram refused_latency;
  Duration elapsed{0};
};

/// Sends the load and waits for all answers; blocks.
LoadResult run_load(const LoadOptions& options);

}  // namespace eelgrasspin::load

#endif  // EELGRASSPIN_TOOLS_EELLOAD_LOAD_H_
