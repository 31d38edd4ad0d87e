#pragma once

#include "Schema/generated/Settings.h"
#include "Support/Clock.h"
#include "Support/Random.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace marigold::standins {

/// Slots, service times and ledger of a simulated target. Does no I/O and reads
/// no clock.
class TargetModel {
public:
  TargetModel(const TargetSettings &Settings, TimePoint Start);

  /// True if a request for this path is configured to crash the target.
  bool crashes(std::string_view Path) const;

  /// Acquires a slot. If all slots are in use, counts the request as shed and
  /// returns false.
  bool acquireSlot();

  /// Releases an acquired slot.
  void releaseSlot() { --Running_; }

  /// Records the start of a run and returns its ledger line.
  std::string recordRun(std::string_view Id, std::string_view Key);

  /// Records that a run was aborted because its connection was closed, and
  /// returns the ledger line.
  std::string recordCut(std::string_view Id);

  /// Draws the service time of a request that starts at Now from a log-normal
  /// distribution with the configured mean. Times are longer during the cold
  /// start.
  Duration serviceTime(TimePoint Now);

  /// Number of requests in progress.
  std::uint64_t running() const { return Running_; }

  /// Number of requests shed because all slots were in use.
  std::uint64_t shed() const { return Shed_; }

  /// Number of runs started.
  std::uint64_t runs() const { return Runs_; }

  /// Number of runs aborted because their connection was closed.
  std::uint64_t cuts() const { return Cuts_; }

  /// Reported load, from 0 to 1. The settings can make it deviate from the real
  /// load.
  double reportedLoad() const;

  /// Reported health. The settings can make the target report itself as
  /// unhealthy.
  bool reportedHealthy() const;

  /// All ledger lines, followed by the number of aborted runs.
  std::string ledger() const;

private:
  TargetSettings Settings_;
  TimePoint Start_;
  Random Random_;
  std::uint64_t Running_ = 0;
  std::uint64_t Shed_ = 0;
  std::uint64_t Runs_ = 0;
  std::uint64_t Cuts_ = 0;
  std::unordered_map<std::string, std::uint64_t> CountById_;
  std::vector<std::string> Lines_;
};

} // namespace marigold::standins
