#pragma once

#include "Schema/generated/Settings.h"
#include "Support/Result.h"

#include <memory>

namespace marigold::standins {

/// Stand-in of the platform: the read-only subset of the Consul HTTP API that
/// the nodes use, and /bench/ endpoints for the test bench. One thread.
class PlatformServer {
public:
  explicit PlatformServer(const PlatformSettings &Settings);
  ~PlatformServer();

  /// Listens on the address of the settings; port 0 takes a free one. Fails
  /// with ConnectionFailed.
  Result<void> open();

  /// Address in use.
  Address address() const;

  /// Serves until stop() or, when HandleSignals, SIGTERM or SIGINT.
  void run(bool HandleSignals);

  /// Ends run(); may be called from another thread.
  void stop();

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace marigold::standins
