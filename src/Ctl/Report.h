#pragma once

#include "Config/Diagnostic.h"
#include "Config/ModelDiff.h"
#include "Ctl/FleetView.h"

#include <string>
#include <vector>

namespace marigold::ctl {

/// Short state of a fleet for status.
std::string statusText(const FleetView &Fleet);

/// All that status knows, as JSON.
std::string statusJson(const FleetView &Fleet);

/// True when a node in scope is unreachable or lags behind the newest
/// version, a version later than the one in force was refused, or nodes hold
/// different content under one version.
bool needsAttention(const FleetView &Fleet);

/// One line on the progress of a version.
std::string progressText(const ConfigVersion &Wanted,
                         const RolloutState &State);

/// Result of wait: the progress and the nodes that are missing.
std::string waitText(const ConfigVersion &Wanted, const FleetView &Fleet);

/// Result of wait as JSON; Result is "active", "refused", "conflict",
/// "unreachable" or "timed-out".
std::string waitJson(const ConfigVersion &Wanted, const FleetView &Fleet,
                     std::string_view Result);

/// Errors of a text as JSON. Model is null for an invalid text.
std::string checkJson(const std::string &File,
                      const config::Diagnostics &Errors,
                      const config::ServiceModel *Model,
                      const std::string &Digest);

/// Differences as JSON.
std::string diffJson(const std::vector<config::ModelChange> &Changes);

} // namespace marigold::ctl
