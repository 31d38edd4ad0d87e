#pragma once

#include <cstdint>

namespace marigold::bench {

/// Runs AdmissionControl in front of a modelled target at 1, 2 and 3 times its
/// capacity in virtual time and prints one line of key=value per case. Returns
/// the exit code.
int runOverloadBench(std::uint64_t Seed);

} // namespace marigold::bench
