#pragma once

#include "Node/ControlCore.h"

#include <string>

namespace marigold::node {

/// Returns the JSON body of GET /status: this node's record, the configuration
/// version in use, the last refused version and the history of adopted ones.
/// Includes the host table if WithHosts.
std::string renderStatus(const ControlCore &Core, bool WithHosts,
                         TimePoint Now);

} // namespace marigold::node
