#pragma once

#include "Node/NodeProcess.h"

namespace marigold::node {

/// Main function of a node program. Reads the settings, runs the node until it
/// has drained and returns the exit code of the process.
int runNode(int Argc, const char *const *Argv, PlatformAdapter Adapter);

} // namespace marigold::node
