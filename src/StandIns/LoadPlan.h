#pragma once

#include "StandIns/LedgerJoin.h"
#include "Support/Clock.h"
#include "Support/Random.h"

#include <cstdint>
#include <optional>

namespace marigold::standins {

/// A scheduled request.
struct PlannedCall {
  /// Sequence number, starting at 0.
  std::uint64_t Number_ = 0;
  /// Scheduled start, relative to the start of the run.
  Duration At_{};
  CallKind Kind_ = CallKind::Call;
};

/// Arrival times of an open-loop load generator: exponentially distributed
/// intervals that depend only on the rate and the seed, not on responses.
class ArrivalPlan {
public:
  /// Rate is in requests per second. BookingRatio is the fraction of bookings,
  /// from 0 to 1.
  ArrivalPlan(std::uint64_t Rate, Duration Length, double BookingRatio,
              std::uint64_t Seed);

  /// Returns the next request; nothing after the end of the run.
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
