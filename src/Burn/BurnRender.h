#pragma once

#include "Burn/BurnCalculator.h"

#include <string>

namespace marigold::burn {

/// Exit code of the report for use in alerts.
enum class BurnVerdict : int {
  /// Every service has data and none burns fast.
  Good = 0,
  /// A service burns faster than the limit in both windows.
  Burning = 1,
  /// Data is missing and nothing that is known burns.
  NoData = 5
};

/// Judges a report. A service burns when both its windows exceed Limit: the
/// long one shows that it matters, the short one that it still goes on.
BurnVerdict evaluate(const BurnReport &Report, double Limit);

/// Aligned text for a terminal.
std::string renderTable(const BurnReport &Report);

/// JSON for other programs; missing figures are null.
std::string renderJson(const BurnReport &Report);

/// One static page with bars for burn rates and budgets.
std::string renderHtml(const BurnReport &Report);

} // namespace marigold::burn
