#pragma once

#include "StandIns/LedgerJoin.h"
#include "Support/Clock.h"
#include "Support/Random.h"

#include <cstdint>
#include <optional>

namespace marigold::standins {

/// One intended request.
struct PlannedCall {
  /// Number from 0.
  std::uint64_t Number_ = 0;
  /// Intended start after the start of the run.
  Duration At_{};
  /// Kind.
  CallKind Kind_ = CallKind::Call;
};

/// Arrival times of an open loop: exponential gaps at the given rate, fixed
/// by the seed and independent of any answer.
class ArrivalPlan {
public:
  /// Rate in requests a second, BookingRatio 0 to 1.
  ArrivalPlan(std::uint64_t Rate, Duration Length, double BookingRatio,
              std::uint64_t Seed);

  /// The next request; nothing after the length of the run.
  std::optional<PlannedCall> next();

private:
  double Rate_;
  Duration Length_;
  double BookingRatio_;
  Random Random_;
  Duration At_{};
  std::uint64_t Number_ = 0;
};

} // namespace marigold::standins
