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

/// Prometheus text.
std::string print_metrics(const core::Counters& counters,
                          const std::vector<Gauge>& gauges,
                          const std::vector<NamedHistogram>& histograms);

}  // namespace eelgrasspin::io

#endif  // EELGRASSPIN_IO_METRICS_H_
