#pragma once

#include <cstdint>

namespace marigold::bench {

/// Crashes hosts in a mesh of 50 in-memory nodes one after the other, at 0, 5
/// and 20 % packet loss, in virtual time. Prints the time until the first node
/// declares the host dead, the time until no node considers it ready, and the
/// number of false deaths. Returns the exit code.
int runDetectionBench(std::uint64_t Seed);

} // namespace marigold::bench
