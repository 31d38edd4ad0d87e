#include "Distribution/PollDelay.h"

#include "Support/LinkRate.h"

#include <algorithm>

namespace marigold::distribution {

Duration pollDelay(Duration BaseDelay, std::uint64_t AnswerBytes,
                   double LinkMbps) {
  if (LinkMbps <= 0)
    return BaseDelay;
  std::chrono::duration<double> Transfer(
      static_cast<double>(AnswerBytes) /
      (linkBytesPerSecond(LinkMbps) * SourceLinkShare));
  return std::max(Duration::zero(),
                  BaseDelay - std::chrono::duration_cast<Duration>(Transfer));
}

} // namespace marigold::distribution
