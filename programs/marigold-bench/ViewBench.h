#pragma once

#include <cstdint>

namespace marigold::bench {

/// Builds a host table of the planned size (3,000 hosts in 180 services
/// and 15 failure domains). Prints its memory, the time per update, the time of
/// a bucket digest exchange, and the bytes on the wire. Returns the exit code.
int runViewBench(std::uint64_t Seed);

} // namespace marigold::bench
