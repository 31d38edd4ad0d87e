#pragma once

namespace marigold::bench {

/// Measures the time to parse and validate configurations with 180 services, to
/// apply a delta, to validate a full snapshot from a peer, and to look up a
/// route. Prints key=value lines. Returns the exit code.
int runConfigBench();

} // namespace marigold::bench
