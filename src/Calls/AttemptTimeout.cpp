#include "Calls/AttemptTimeout.h"

namespace marigold::calls {
namespace {

/// Timeout of an attempt in percent of the objective. Above 100 because an
/// answer shortly after the objective is still better than a second run.
constexpr int TimeoutPercent = 120;

/// Time that must remain for the next attempt, in percent of the objective.
/// Roughly the median run time of a service that meets its objective.
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
