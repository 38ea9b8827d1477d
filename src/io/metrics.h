#ifndef EELGRASSPIN_IO_METRICS_H_
#define EELGRASSPIN_IO_METRICS_H_

#include <string>
#include <string_view>
#include <vector>

#include "core/counters.h"
#include "io/histogram.h"

namespace eelgrasspin::io {

struct Gauge {
  std::string_view name;  ///< Without the common prefix "eelgrasspin_".
  std::string_view help;
  double value = 0;
};

struct NamedHistogram {
  std::string_view name;  ///< Without the common prefix; in seconds.
  std::string_view help;
  const Histogram* histogram = nullptr;
};

/// One histogram of a family, identified by its labels.
struct LabelledHistogram {
  std::string labels;  ///< "key=\"value\",...", without the braces.
  const Histogram* histogram = nullptr;
};

/// One counter of a family, identified by its labels.
struct LabelledCounter {
  std::string labels;  ///< "key=\"value\",...", without the braces.
  std::uint64_t value = 0;
};

// Each function returns Prometheus text.
/// One family of counters.
std::string print_counters(std::string_view name, std::string_view help,
                           const std::vector<LabelledCounter>& counters);
std::string print_gauges(const std::vector<Gauge>& gauges);
std::string print_histograms(const std::vector<NamedHistogram>& histograms);
/// One family of histograms.
std::string print_histograms(std::string_view name, std::string_view help,
                             const std::vector<LabelledHistogram>& histograms);

/// Counters, gauges and histograms together.
std::string print_metrics(const core::Counters& counters,
                          const std::vector<Gauge>& gauges,
                          const std::vector<NamedHistogram>& histograms);

}  // namespace eelgrasspin::io

#endif  // EELGRASSPIN_IO_METRICS_H_
