#pragma once

#include "Burn/BurnCalculator.h"

#include <string>

namespace marigold::burn {

/// Result of evaluating a report; also the exit code of marigold-burn, for use
/// in alerts.
enum class BurnVerdict : int {
  /// The data is complete and no service exceeds the limit in both windows.
  Good = 0,
  /// A service exceeds the limit in both windows.
  Burning = 1,
  /// Data is missing, and no service exceeds the limit as far as is known.
  NoData = 5
};

/// Evaluates a report. A service is burning if its burn rate exceeds Limit in
/// both windows: the long window shows that the burn is significant, the short
/// one that it is still going on.
BurnVerdict evaluate(const BurnReport &Report, double Limit);

/// Formats the report as a table for a terminal.
std::string renderTable(const BurnReport &Report);

/// Formats the report as JSON; missing figures are null.
std::string renderJson(const BurnReport &Report);

/// Formats the report as a static HTML page with bars for the burn rates.
std::string renderHtml(const BurnReport &Report);

} // namespace marigold::burn
