#pragma once

#include "Schema/generated/Settings.h"
#include "Support/Result.h"

#include <memory>

namespace marigold::standins {

/// Simulated target for tests. Serves any path; /.target/health, load, counters
/// and ledger report its state. Runs on one thread.
class TargetServer {
public:
  explicit TargetServer(const TargetSettings &Settings);
  ~TargetServer();

  /// Opens the ledger file and listens; port 0 selects a free port. Fails with
  /// ConnectionFailed or FileUnreadable.
  Result<void> open();

  /// Address on which the server listens.
  Address address() const;

  /// Serves requests until stop(). If HandleSignals is set, also until SIGTERM
  /// or SIGINT; requests in progress are then finished first.
  void run(bool HandleSignals);

  /// Makes run() return. Thread-safe.
  void stop();

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace marigold::standins
