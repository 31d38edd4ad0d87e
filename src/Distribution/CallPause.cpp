#include "Distribution/CallPause.h"

#include <algorithm>

namespace marigold::distribution {
namespace {

/// Part of a loaded link that an answer gets beside the calls: half of it, as
/// one direction of few connections among those of the calls.
constexpr double LinkShare = 0.5;
constexpr double BitsPerByte = 8;
constexpr double BitsPerMegabit = 1e6;

} // namespace

Duration callPause(Duration Usual, std::uint64_t AnswerBytes, double LinkMbps) {
  if (LinkMbps <= 0)
    return Usual;
  std::chrono::duration<double> Transfer(
      static_cast<double>(AnswerBytes) * BitsPerByte /
      (LinkMbps * BitsPerMegabit * LinkShare));
  return std::max(Duration::zero(),
                  Usual - std::chrono::duration_cast<Duration>(Transfer));
}

} // namespace marigold::distribution
