#pragma once

#include "Schema/generated/Settings.h"
#include "Support/Result.h"

#include <memory>

namespace marigold::standins {

/// Stand-in of a target. Serves every path; paths under /.target/ are health,
/// load, counters and ledger. One thread.
class TargetServer {
public:
  explicit TargetServer(const TargetSettings &Settings);
  ~TargetServer();

  /// Opens the ledger file and listens; port 0 takes a free one. Fails with
  /// ConnectionFailed or FileUnreadable.
  Result<void> open();

  /// Address in use.
  Address address() const;

  /// Serves until stop() or, when HandleSignals, SIGTERM or SIGINT, after
  /// which requests in progress are finished first.
  void run(bool HandleSignals);

  /// Ends run(); may be called from another thread.
  void stop();

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace marigold::standins
