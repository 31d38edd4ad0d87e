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

/// Slots, service times and ledger of a target. Holds no clock and no socket.
class TargetModel {
public:
  TargetModel(const TargetSettings &Settings, TimePoint Start);

  /// True when the request's path names the crash.
  bool crashes(std::string_view Path) const;

  /// Takes a slot; false, and counted, when all are taken.
  bool acquireSlot();

  /// Gives the slot back.
  void releaseSlot() { --Running_; }

  /// Records the start of a run and returns its ledger line.
  std::string recordRun(std::string_view Id, std::string_view Key);

  /// Records that a run ended because its connection was closed, and returns
  /// its ledger line.
  std::string recordCut(std::string_view Id);

  /// Time of one request that starts now: log-normal around the mean, longer
  /// during the cold start.
  Duration serviceTime(TimePoint Now);

  /// Requests in progress.
  std::uint64_t running() const { return Running_; }

  /// Requests shed.
  std::uint64_t shed() const { return Shed_; }

  /// Runs begun.
  std::uint64_t runs() const { return Runs_; }

  /// Runs cut.
  std::uint64_t cuts() const { return Cuts_; }

  /// Load figure that is reported, 0 to 1; false on request.
  double reportedLoad() const;

  /// Health that is reported; false on request.
  bool reportedHealthy() const;

  /// All ledger lines and the number of cut runs.
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
