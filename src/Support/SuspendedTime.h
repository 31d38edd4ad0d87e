#pragma once

#include "Support/Clock.h"

namespace marigold {

/// Returns the total time for which the host has been suspended since boot,
/// which the monotonic clock does not count. The result may be slightly too
/// small, but never too large. Returns zero if a clock cannot be read.
Duration suspendedTime();

} // namespace marigold
