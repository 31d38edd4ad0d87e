#pragma once

#include "Support/Clock.h"

#include <cstdint>
#include <random>

namespace marigold {

/// Source of random numbers. Seeded explicitly, so that a test or a fuzz run
/// can repeat a sequence. Not safe for use by several threads at once.
class Random {
public:
  /// Starts the sequence that belongs to Seed.
  explicit Random(std::uint64_t Seed) : Engine_(Seed) {}

  /// Uniform number in [0, Bound); Bound 0 gives 0.
  std::uint64_t below(std::uint64_t Bound) {
    if (Bound == 0)
      return 0;
    return std::uniform_int_distribution<std::uint64_t>(0, Bound - 1)(Engine_);
  }

  /// Uniform number in [0, 1).
  double fraction() {
    return std::uniform_real_distribution<double>(0, 1)(Engine_);
  }

  /// True with the given probability.
  bool chance(double Probability) { return fraction() < Probability; }

  /// Uniform duration in [0, Limit).
  Duration upTo(Duration Limit) {
    return Duration(below(static_cast<std::uint64_t>(Limit.count())));
  }

  /// Any 64-bit number.
  std::uint64_t next() { return Engine_(); }

  /// The engine, for the standard library's algorithms.
  std::mt19937_64 &engine() { return Engine_; }

private:
  std::mt19937_64 Engine_;
};

} // namespace marigold
