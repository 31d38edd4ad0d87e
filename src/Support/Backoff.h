#pragma once

#include "Support/Clock.h"
#include "Support/Random.h"

namespace marigold {

/// Delays between attempts: each is uniform between zero and a ceiling that
/// doubles up to a maximum. Full jitter spreads the reconnections of many
/// nodes that lost the same peer at the same moment.
class Backoff {
public:
  /// Ceiling of the first delay and of all later ones.
  Backoff(Duration First, Duration Maximum)
      : First_(First), Maximum_(Maximum), Ceiling_(First) {}

  /// Delay before the next attempt.
  Duration next(Random &Rng) {
    Duration Delay = Rng.upTo(Ceiling_);
    Ceiling_ = Ceiling_ > Maximum_ / 2 ? Maximum_ : Ceiling_ * 2;
    return Delay;
  }

  /// Returns to the first ceiling after a success.
  void reset() { Ceiling_ = First_; }

private:
  Duration First_;
  Duration Maximum_;
  Duration Ceiling_;
};

} // namespace marigold
