#pragma once

#include "Node/ControlCore.h"

#include <string>

namespace marigold::node {

/// JSON of GET /status as section 5.5 of the design page describes it.
std::string renderStatus(const ControlCore &Core, bool WithHosts,
                         TimePoint Now);

} // namespace marigold::node
