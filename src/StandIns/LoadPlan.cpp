#include "StandIns/LoadPlan.h"

#include <random>

namespace marigold::standins {

ArrivalPlan::ArrivalPlan(std::uint64_t Rate, Duration Length,
                         double BookingRatio, std::uint64_t Seed)
    : Rate_(static_cast<double>(Rate)), Length_(Length),
      BookingRatio_(BookingRatio), Random_(Seed) {}

std::optional<PlannedCall> ArrivalPlan::next() {
  std::exponential_distribution<double> Gap(Rate_);
  At_ += std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Gap(Random_.engine())));
  if (At_ >= Length_)
    return std::nullopt;
  CallKind Kind =
      Random_.chance(BookingRatio_) ? CallKind::Booking : CallKind::Call;
  return PlannedCall{Number_++, At_, Kind};
}

} // namespace marigold::standins
