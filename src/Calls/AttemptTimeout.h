#pragma once

#include "Support/Clock.h"

#include <optional>

namespace marigold::calls {

/// Properties of a request at the beginning of an attempt.
struct AttemptTiming {
  /// Latency objective of the route, counted from the request's arrival.
  Duration Objective_{};
  /// Time until the request's deadline.
  Duration Remaining_{};
  /// Whether running the request more than once is safe.
  bool Repeatable_ = false;
  /// Whether the route allows another attempt after this one.
  bool AnotherAttempt_ = false;
};

/// Returns the timeout of one attempt, after which the request is sent to
/// another target, or nullopt if the attempt may last until the deadline. Some
/// targets hang or lose answers while others are fast; without the timeout a
/// request to such a target fails at its deadline although there was time to
/// run it elsewhere. A healthy target answers most requests within the
/// objective, so that few attempts time out unnecessarily; the retry budget
/// bounds the rest.
std::optional<Duration> attemptTimeout(const AttemptTiming &Timing);

} // namespace marigold::calls
