#include "Distribution/CallPause.h"

#include "Support/LinkRate.h"

#include <algorithm>

namespace marigold::distribution {

Duration callPause(Duration Usual, std::uint64_t AnswerBytes, double LinkMbps) {
  if (LinkMbps <= 0)
    return Usual;
  std::chrono::duration<double> Transfer(
      static_cast<double>(AnswerBytes) /
      (linkBytesPerSecond(LinkMbps) * SourceLinkShare));
  return std::max(Duration::zero(),
                  Usual - std::chrono::duration_cast<Duration>(Transfer));
}

} // namespace marigold::distribution
