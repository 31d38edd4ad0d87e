#pragma once

#include "Schema/generated/Settings.h"
#include "Support/Result.h"

#include <memory>

namespace marigold::node {

/// One node: joins control plane, request path and admin server, and runs
/// them on the threads of the settings.
class NodeProcess {
public:
  explicit NodeProcess(NodeSettings Settings);
  ~NodeProcess();
  NodeProcess(const NodeProcess &) = delete;
  NodeProcess &operator=(const NodeProcess &) = delete;

  /// Opens all ports. Fails with ConnectionFailed.
  Result<void> start();

  /// Runs until a drain is complete. SIGTERM, SIGINT and POST /drain start a
  /// drain; a second signal ends the process at once.
  void run();

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace marigold::node
