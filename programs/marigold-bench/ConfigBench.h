#pragma once

namespace marigold::bench {

/// Times parsing and validation of texts of 180 services, the application of
/// a delta, the validation of a whole snapshot from a peer, and a route
/// look-up. Prints key=value lines and returns the exit code.
int runConfigBench();

} // namespace marigold::bench
