#include "Calls/AttemptTimeout.h"

namespace marigold::calls {
namespace {

/// Share of the objective for which an attempt is waited for, in percent. An
/// answer after the objective is of less use, but one that is just behind it
/// is better than a second run.
constexpr int TimeoutPercent = 120;

/// Share of the objective that must be left for the next attempt, in percent:
/// about the median run of a service that meets its objective.
constexpr int NextAttemptPercent = 50;

} // namespace

std::optional<Duration> attemptTimeout(const AttemptTiming &Timing) {
  if (!Timing.Repeatable_ || !Timing.AnotherAttempt_ ||
      Timing.Objective_ <= Duration::zero())
    return std::nullopt;
  Duration Timeout = Timing.Objective_ * TimeoutPercent / 100;
  Duration Next = Timing.Objective_ * NextAttemptPercent / 100;
  if (Timing.Remaining_ < Timeout + Next)
    return std::nullopt;
  return Timeout;
}

} // namespace marigold::calls
