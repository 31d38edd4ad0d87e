#pragma once

#include "Config/Diagnostic.h"
#include "Config/ModelDiff.h"
#include "Ctl/FleetView.h"

#include <string>
#include <vector>

namespace marigold::ctl {

/// Output of the status command as text.
std::string statusText(const FleetView &Fleet);

/// Output of the status command as JSON, with the details of every node.
std::string statusJson(const FleetView &Fleet);

/// True if no version is active, a node in scope is unreachable or lags behind
/// the newest version, a node refused a version later than its active one, or
/// nodes hold different content under one version.
bool needsAttention(const FleetView &Fleet);

/// One line on the progress of a rollout.
std::string progressText(const ConfigVersion &Wanted,
                         const RolloutState &State);

/// Output of the wait command as text: the progress, the nodes without the
/// version, and conflicts.
std::string waitText(const ConfigVersion &Wanted, const FleetView &Fleet);

/// Output of the wait command as JSON. Result is "active", "refused",
/// "conflict", "unreachable" or "timed-out".
std::string waitJson(const ConfigVersion &Wanted, const FleetView &Fleet,
                     std::string_view Result);

/// Output of the check command as JSON. Model is null if the file is invalid.
std::string checkJson(const std::string &File,
                      const config::Diagnostics &Errors,
                      const config::ServiceModel *Model,
                      const std::string &Digest);

/// Output of the diff command as JSON.
std::string diffJson(const std::vector<config::ModelChange> &Changes);

} // namespace marigold::ctl
