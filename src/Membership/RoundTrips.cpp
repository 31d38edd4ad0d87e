#include "Membership/RoundTrips.h"

namespace marigold::membership {

void RoundTrips::sent(std::uint32_t Sequence, const HostId &Subject,
                      TimePoint Now) {
  Pending_[Sequence] = {Subject, Now};
  if (Pending_.size() > MaxPending_)
    Pending_.erase(Pending_.begin());
}

std::optional<Duration> RoundTrips::answered(std::uint32_t Sequence,
                                             const HostId &Subject,
                                             TimePoint Now) {
  auto Found = Pending_.find(Sequence);
  if (Found == Pending_.end() || Found->second.Subject_ != Subject)
    return std::nullopt;
  Duration Time = Now - Found->second.SentAt_;
  Pending_.erase(Found);
  return Time;
}

} // namespace marigold::membership
