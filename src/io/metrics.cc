#include "io/metrics.h"

#include <cstddef>
#include <sstream>

namespace eelgrasspin::io {
namespace {

constexpr std::string_view kPrefix = "eelgrasspin_";
// Histogram buckets end at powers of two microseconds.
constexpr int kMinBucketPower = 7;   // 128 us
constexpr int kMaxBucketPower = 26;  // 67 s
constexpr double kMicrosecondsPerSecond = 1e6;

void print_header(std::ostream& out, std::string_view name,
                  std::string_view help, std::string_view type) {
  out << "# HELP " << kPrefix << name << ' ' << help << "\n# TYPE " << kPrefix
      << name << ' ' << type << '\n';
}

double in_seconds(Duration duration) {
  return static_cast<double>(duration.count()) / kMicrosecondsPerSecond;
}

void print_histogram(std::ostream& out, std::string_view name,
                     const std::string& labels, const Histogram& histogram) {
  std::string before_limit = labels.empty() ? "" : labels + ",";
  std::string braces = labels.empty() ? "" : "{" + labels + "}";
  for (int power = kMinBucketPower; power <= kMaxBucketPower; ++power) {
    Duration limit(std::int64_t{1} << power);
    out << kPrefix << name << "_bucket{" << before_limit << "le=\""
        << in_seconds(limit) << "\"} " << histogram.count_below(limit) << '\n';
  }
  out << kPrefix << name << "_bucket{" << before_limit << "le=\"+Inf\"} "
      << histogram.count() << '\n'
      << kPrefix << name << "_sum" << braces << ' '
      << in_seconds(histogram.sum()) << '\n'
      << kPrefix << name << "_count" << braces << ' ' << histogram.count()
      << '\n';
}

}  // namespace

std::string print_metrics(const core::Counters& counters,
                          const std::vector<Gauge>& gauges,
                          const std::vector<NamedHistogram>& histograms) {
  std::ostringstream out;
  for (std::size_t i = 0; i < static_cast<std::size_t>(core::Counter::kCount);
       ++i) {
    auto counter = static_cast<core::Counter>(i);
    core::CounterText text = core::counter_text(counter);
    print_header(out, text.name, text.help, "counter");
    out << kPrefix << text.name << ' ' << counters[counter] << '\n';
  }
  return out.str() + print_gauges(gauges) + print_histograms(histograms);
}

std::string print_counters(std::string_view name, std::string_view help,
                           const std::vector<LabelledCounter>& counters) {
  std::ostringstream out;
  print_header(out, name, help, "counter");
  for (const LabelledCounter& counter : counters) {
    out << kPrefix << name << '{' << counter.labels << "} " << counter.value
        << '\n';
  }
  return out.str();
}

std::string print_gauges(const std::vector<Gauge>& gauges) {
  std::ostringstream out;
  for (const Gauge& gauge : gauges) {
    print_header(out, gauge.name, gauge.help, "gauge");
    out << kPrefix << gauge.name << ' ' << gauge.value << '\n';
  }
  return out.str();
}

std::string print_histograms(const std::vector<NamedHistogram>& histograms) {
  std::ostringstream out;
  for (const NamedHistogram& named : histograms) {
    print_header(out, named.name, named.help, "histogram");
    print_histogram(out, named.name, {}, *named.histogram);
  }
  return out.str();
}

std::string print_histograms(std::string_view name, std::string_view help,
                             const std::vector<LabelledHistogram>& histograms) {
  std::ostringstream out;
  print_header(out, name, help, "histogram");
  for (const LabelledHistogram& labelled : histograms)
    print_histogram(out, name, labelled.labels, *labelled.histogram);
  return out.str();
}

}  // namespace eelgrasspin::io
