#include "Routing/OfferPlan.h"

#include <algorithm>

namespace marigold::routing {

void OfferPlan::onDeclined(HostId Host, Duration Wait) {
  if (Declined_ == 0 || Wait < BestWait_) {
    Best_ = Host;
    BestWait_ = Wait;
  }
  ++Declined_;
}

Duration OfferPlan::bound(Duration Wanted, std::size_t BodySize) const {
  if (Wanted == Duration::zero() || Declined_ >= MaxOffers_ ||
      (Declined_ != 0 && BodySize > LargeBody_))
    return Duration::zero();
  return std::max(Wanted, BestWait_);
}

std::optional<HostId> OfferPlan::best() const {
  if (Declined_ < MaxOffers_)
    return std::nullopt;
  return Best_;
}

} // namespace marigold::routing
