#pragma once

#include "Support/Result.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace marigold::burn {

/// One series of a scrape in the text exposition format.
struct Series {
  /// Name of the metric.
  std::string Name_;
  /// Labels by name.
  std::map<std::string, std::string> Labels_;
  /// Value at the time of the scrape.
  double Value_ = 0;
};

/// Parses the text exposition format; comment lines are skipped. Fails with
/// SourceMalformed on the first line that is not a series.
Result<std::vector<Series>> parseExposition(std::string_view Text);

} // namespace marigold::burn
