#pragma once

#include "Support/Result.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace marigold::burn {

/// One time series from a scrape in the Prometheus text exposition format.
struct Series {
  /// Name of the metric.
  std::string Name_;
  /// Labels by name.
  std::map<std::string, std::string> Labels_;
  /// Sample value at the time of the scrape.
  double Value_ = 0;
};

/// Parses the Prometheus text exposition format; comment lines are skipped.
/// Fails with SourceMalformed at the first malformed line.
Result<std::vector<Series>> parseExposition(std::string_view Text);

} // namespace marigold::burn
