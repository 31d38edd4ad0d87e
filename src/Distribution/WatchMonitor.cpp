#include "Distribution/WatchMonitor.h"

#include <algorithm>

namespace marigold::distribution {
namespace {

/// Time after which a change that a probe has reported must have arrived on the
/// watch, if nothing of its response is being received. Covers the difference
/// between the delays of two connections to a slow source.
constexpr Duration AnswerTime = std::chrono::milliseconds(400);

} // namespace

WatchVerdict WatchMonitor::onProbe(std::uint64_t Source, std::uint64_t Known,
                                   TimePoint Now) {
  if (Source <= Known) {
    BehindSince_.reset();
    return WatchVerdict::Current;
  }
  if (!BehindSince_)
    BehindSince_ = Now;
  TimePoint Since =
      std::max(*BehindSince_, ProgressAt_.value_or(*BehindSince_));
  return Now - Since < AnswerTime ? WatchVerdict::Behind : WatchVerdict::Lost;
}

} // namespace marigold::distribution
