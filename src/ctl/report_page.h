#ifndef EELGRASSPIN_CTL_REPORT_PAGE_H_
#define EELGRASSPIN_CTL_REPORT_PAGE_H_

#include <optional>
#include <string>

#include "eelgrasspin/command.h"

namespace eelgrasspin::ctl {

/// A closing report as a self-contained HTML page: the result of its
/// verification, charts of outcomes and of ownership over time, and every
/// table.
std::string report_page(const CommandAnswer& report);

/// Unix milliseconds of "2026-12-04T09:46:09.123Z"; empty if it is not such a
/// time.
std::optional<std::int64_t> parse_time(const std::string& text);

}  // namespace eelgrasspin::ctl

#endif  // EELGRASSPIN_CTL_REPORT_PAGE_H_
