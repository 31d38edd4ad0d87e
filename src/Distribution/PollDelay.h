#pragma once

#include "Support/Clock.h"

#include <cstdint>

namespace marigold::distribution {

/// Pause after a call of the source that brought a change. A change that comes
/// just after it waits for the pause and for the next answer to arrive, which
/// is taken to be as large as this one.
///
/// Load pattern: a series of large versions to a host with a slow link, where
/// the answers alone take up most of the time in which a change has to be
/// known. BaseDelay is the pause for small answers; LinkMbps is the rate of the
/// host's link in Mbit/s, 0 if it is not known.
Duration pollDelay(Duration BaseDelay, std::uint64_t AnswerBytes,
                   double LinkMbps);

} // namespace marigold::distribution
