#include "Distribution/WatchMonitor.h"

#include <algorithm>

namespace marigold::distribution {
namespace {

/// Time after which a change that a probe has reported must have arrived on the
/// watch, if nothing of its response is being received. Covers the difference
/// between the delays of two connections to a slow source.
constexpr Duration AnswerTime = std::chrono::milliseconds(400);
/// Interval of probes that are not answered from old data. With the probe
/// interval and AnswerTime, it is the time within which a lost response is
/// found; changes must be known within 3 s of a fault of the source.
constexpr Duration FreshInterval = std::chrono::milliseconds(1500);

} // namespace

void WatchMonitor::onStarted(TimePoint Now) {
  BehindSince_.reset();
  ProgressAt_.reset();
  FreshAt_ = Now;
}

bool WatchMonitor::needsFreshProbe(TimePoint Now) const {
  return Now - FreshAt_ >= FreshInterval;
}

WatchVerdict WatchMonitor::onProbe(std::uint64_t Source, std::uint64_t Known,
                                   bool Fresh, TimePoint Now) {
  if (Fresh)
    FreshAt_ = Now;
  Newest_ = std::max(Newest_, Source);
  if (Newest_ <= Known) {
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
