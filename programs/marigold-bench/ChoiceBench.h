#pragma once

#include <cstdint>

namespace marigold::bench {

/// Compares the load-balancing strategies on modelled targets in virtual time
/// and prints one line of key=value per scenario and strategy. Returns the
/// exit code.
int runChoiceBench(std::uint64_t Seed);

} // namespace marigold::bench
