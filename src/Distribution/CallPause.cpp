#include "Distribution/CallPause.h"

#include "Support/LinkRate.h"

#include <algorithm>

namespace marigold::distribution {
namespace {

/// Part of a loaded link that an answer gets beside the calls: half of it, as
/// one direction of few connections among those of the calls.
constexpr double LinkShare = 0.5;

} // namespace

Duration callPause(Duration Usual, std::uint64_t AnswerBytes, double LinkMbps) {
  if (LinkMbps <= 0)
    return Usual;
  std::chrono::duration<double> Transfer(
      static_cast<double>(AnswerBytes) /
      (linkBytesPerSecond(LinkMbps) * LinkShare));
  return std::max(Duration::zero(),
                  Usual - std::chrono::duration_cast<Duration>(Transfer));
}

} // namespace marigold::distribution
