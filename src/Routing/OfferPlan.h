#pragma once

#include "Schema/generated/Messages.h"
#include "Support/Clock.h"

#include <cstddef>
#include <optional>

namespace marigold::routing {

/// Offers of one request to hosts that may decline it because of their expected
/// wait. The second host is asked only whether it is better than the first one,
/// and after two refusals the request goes to the better of both without a
/// bound, so that it is never refused for lack of a better host.
class OfferPlan {
public:
  /// A request with a larger body, in bytes, is offered once, because the body
  /// is sent with each offer.
  static constexpr std::size_t LargeBody_ = std::size_t(16) * 1024;

  /// Records that a host declined the request.
  void onDeclined(HostId Host, Duration Wait);

  unsigned declined() const { return Declined_; }

  /// Bound for the next host if Wanted is the usual one; zero for none.
  Duration bound(Duration Wanted, std::size_t BodySize) const;

  /// Host to which the request goes next; empty if it goes to one that has not
  /// been asked.
  std::optional<HostId> best() const;

private:
  static constexpr unsigned MaxOffers_ = 2;

  HostId Best_;
  Duration BestWait_{};
  unsigned Declined_ = 0;
};

} // namespace marigold::routing
