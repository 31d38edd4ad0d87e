#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace marigold::testing {

/// Simulates a mesh of 5 to 24 nodes under random faults: lost, duplicated,
/// reordered, delayed, corrupted and forged messages; crashes, restarts, pauses
/// and partitions of nodes; outages of the source, loss of its history, invalid
/// texts and raised epochs. Then removes all faults. Returns the violated
/// invariants: a node went back to an older version, holds a version that was
/// never published or is invalid, or after healing the nodes disagree on
/// versions or hosts.
std::vector<std::string> runRandomFaults(std::uint64_t Seed, std::size_t Steps);

} // namespace marigold::testing
