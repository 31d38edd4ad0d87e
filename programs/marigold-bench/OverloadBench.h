#pragma once

#include <cstdint>

namespace marigold::bench {

/// Runs AdmissionControl in front of a simulated target at 1, 2 and 3 times its
/// capacity, in virtual time. Prints one line of key=value pairs per case.
/// Returns the exit code.
int runOverloadBench(std::uint64_t Seed);

} // namespace marigold::bench
