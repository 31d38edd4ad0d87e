#pragma once

#include <cstdint>

namespace marigold::bench {

/// Crashes hosts of a mesh of 50 in-memory instances one after the other at 0,
/// 5 and 20 % loss, in virtual time. Prints the time until the first node
/// declares the host dead and until no node holds it to be ready, and the
/// number of false deaths. Returns the exit code.
int runDetectionBench(std::uint64_t Seed);

} // namespace marigold::bench
