#pragma once

#include "Support/Random.h"

#include <doctest/doctest.h>

#include <cstdint>
#include <cstdlib>
#include <string>

namespace marigold {

/// Returns the seed of a test: the value of the environment variable
/// MARIGOLD_TEST_SEED if it is set, or Default.
inline std::uint64_t testSeed(std::uint64_t Default) {
  const char *Text = std::getenv("MARIGOLD_TEST_SEED");
  return Text ? std::stoull(Text) : Default;
}

/// Runs Body(Rng) with the seeds 1 to Count, or only with the value of the
/// environment variable MARIGOLD_TEST_SEED if it is set. A failure prints the
/// seed.
template <class Callable> void forEachSeed(std::uint64_t Count, Callable Body) {
  std::uint64_t First = 1;
  if (const char *Text = std::getenv("MARIGOLD_TEST_SEED")) {
    First = std::stoull(Text);
    Count = 1;
  }
  for (std::uint64_t Seed = First; Seed < First + Count; ++Seed) {
    INFO("MARIGOLD_TEST_SEED=" << Seed);
    Random Rng(Seed);
    Body(Rng);
  }
}

} // namespace marigold
