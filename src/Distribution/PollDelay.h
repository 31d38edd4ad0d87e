#pragma once

#include "Support/Clock.h"

#include <cstdint>

namespace marigold::distribution {

/// Returns the delay before the next poll of the source after an answer that
/// contained a change. A change made just after the answer must wait for this
/// delay and for the transfer of the next answer, which is assumed to be as
/// large as this one.
///
/// Relevant for a series of large versions sent to a host with a slow link,
/// where the transfers alone use most of the time within which a change must be
/// known. BaseDelay is the delay for small answers, AnswerBytes the size of
/// this answer. LinkMbps is the rate of the host's link in Mbit/s, or 0 if it
/// is unknown.
Duration pollDelay(Duration BaseDelay, std::uint64_t AnswerBytes,
                   double LinkMbps);

} // namespace marigold::distribution
