#pragma once

#include "Schema/generated/Settings.h"
#include "Support/Result.h"

#include <memory>

namespace marigold::standins {

/// Simulated platform for tests: serves the subset of the Consul HTTP API that
/// the nodes read, accepts new values by PUT, and has /bench/ endpoints to set
/// hosts and faults and to read counters. Runs on one thread.
class PlatformServer {
public:
  explicit PlatformServer(const PlatformSettings &Settings);
  ~PlatformServer();

  /// Listens on the configured address; port 0 selects a free port. Fails with
  /// ConnectionFailed.
  Result<void> open();

  /// Address on which the server listens.
  Address address() const;

  /// Serves requests until stop() or, if HandleSignals is set, until SIGTERM or
  /// SIGINT.
  void run(bool HandleSignals);

  /// Makes run() return. Thread-safe.
  void stop();

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace marigold::standins
