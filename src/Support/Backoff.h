#pragma once

#include "Support/Clock.h"
#include "Support/Random.h"

namespace marigold {

/// Exponential backoff with full jitter. Each delay is uniformly distributed
/// between zero and a ceiling that doubles up to a maximum. The jitter spreads
/// the reconnections of many nodes that lost the same peer at the same time.
class Backoff {
public:
  /// First is the ceiling of the first delay, Maximum the highest ceiling.
  Backoff(Duration First, Duration Maximum)
      : First_(First), Maximum_(Maximum), Ceiling_(First) {}

  /// Returns the delay before the next attempt and doubles the ceiling.
  Duration next(Random &Rng) {
    Duration Delay = Rng.upTo(Ceiling_);
    Ceiling_ = Ceiling_ > Maximum_ / 2 ? Maximum_ : Ceiling_ * 2;
    return Delay;
  }

  /// Like next, but at least half of the ceiling, for attempts whose cost
  /// matters more than the time of the first success.
  Duration nextLong(Random &Rng) {
    Duration Floor = Ceiling_ / 2;
    return Floor + next(Rng) / 2;
  }

  /// Resets the ceiling to its first value. Call after a successful attempt.
  void reset() { Ceiling_ = First_; }

private:
  Duration First_;
  Duration Maximum_;
  Duration Ceiling_;
};

} // namespace marigold
