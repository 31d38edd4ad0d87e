#pragma once

#include <cstdint>

namespace marigold::bench {

/// Builds the host table of the planned size (3,000 hosts in 180 services and
/// 15 failure domains) and prints memory, time per update, time of an exchange
/// of bucket digests, and bytes on the wire. Returns the exit code.
int runViewBench(std::uint64_t Seed);

} // namespace marigold::bench
