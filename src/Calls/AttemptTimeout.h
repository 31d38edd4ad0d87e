#pragma once

#include "Support/Clock.h"

#include <optional>

namespace marigold::calls {

/// State of a request when an attempt begins.
struct AttemptTiming {
  /// Latency objective of the route, from the request's arrival.
  Duration Objective_{};
  /// Time until the request's deadline.
  Duration Remaining_{};
  /// Whether the request may run more than once.
  bool Repeatable_ = false;
  /// Whether the route allows a further attempt after this one.
  bool AnotherAttempt_ = false;
};

/// Longest wait for one attempt before the request is sent to another target;
/// nothing when it waits until its deadline. Answers the load pattern in which
/// some targets hang or lose answers while the others are quick: without it a
/// request that meets such a target fails at its deadline although there was
/// time to run it elsewhere. Most answers of a sound target arrive within the
/// objective, so that few attempts are given up in vain; the retry budget
/// bounds the rest.
std::optional<Duration> attemptTimeout(const AttemptTiming &Timing);

} // namespace marigold::calls
