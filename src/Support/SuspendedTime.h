#pragma once

#include "Support/Clock.h"

namespace marigold {

/// Time for which the host was suspended since it started, which the monotonic
/// clock leaves out; at most a little too short. Zero if the host does not
/// tell.
Duration suspendedTime();

} // namespace marigold
