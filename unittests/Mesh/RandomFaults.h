#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace marigold::testing {

/// Runs 5 to 24 instances through random faults: lost, doubled, crossed,
/// delayed, corrupt and forged messages, crashes, restarts, pauses,
/// partitions, outages of the source, loss of its history, invalid texts and
/// raised epochs. Then heals everything. Returns broken invariants: a version
/// that went back, was never published or is not whole, and after healing any
/// disagreement on versions or hosts.
std::vector<std::string> runRandomFaults(std::uint64_t Seed, std::size_t Steps);

} // namespace marigold::testing
