#pragma once

#include "Support/Clock.h"

#include <cstdint>
#include <random>

namespace marigold {

/// Pseudorandom number generator with an explicit seed, so that a test or a
/// fuzz run can reproduce a sequence. Not thread-safe.
class Random {
public:
  explicit Random(std::uint64_t Seed) : Engine_(Seed) {}

  /// Returns a uniformly distributed number in [0, Bound), or 0 if Bound is 0.
  std::uint64_t below(std::uint64_t Bound) {
    if (Bound == 0)
      return 0;
    return std::uniform_int_distribution<std::uint64_t>(0, Bound - 1)(Engine_);
  }

  /// Returns a uniformly distributed number in [0, 1).
  double fraction() {
    return std::uniform_real_distribution<double>(0, 1)(Engine_);
  }

  /// Returns true with the given probability.
  bool chance(double Probability) { return fraction() < Probability; }

  /// Returns a uniformly distributed duration in [0, Limit), or zero if Limit
  /// is zero.
  Duration upTo(Duration Limit) {
    return Duration(below(static_cast<std::uint64_t>(Limit.count())));
  }

  /// Returns a uniformly distributed 64-bit number.
  std::uint64_t next() { return Engine_(); }

  /// Returns the engine, for use with standard library algorithms.
  std::mt19937_64 &engine() { return Engine_; }

private:
  std::mt19937_64 Engine_;
};

} // namespace marigold
