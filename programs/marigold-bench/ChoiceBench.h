#pragma once

#include <cstdint>

namespace marigold::bench {

/// Compares the load-balancing strategies on simulated targets in virtual time
/// and measures the cost of a choice in real time. Prints one line of key=value
/// pairs per scenario and strategy. Returns the exit code.
int runChoiceBench(std::uint64_t Seed);

} // namespace marigold::bench
