#include "Admission/TargetMonitor.h"

namespace marigold::admission {

bool TargetMonitor::startProbe(TimePoint Now) {
  if (Up_ || Probing_ || Now < NextProbe_)
    return false;
  Probing_ = true;
  return true;
}

bool TargetMonitor::onConnected() {
  bool WasDown = !Up_;
  Up_ = true;
  Probing_ = false;
  ProbeBackoff_.reset();
  return WasDown;
}

bool TargetMonitor::onConnectFailed(TimePoint Now, Random &Rng) {
  bool WasUp = Up_;
  // All connections fail at the same time when the process crashes. Only the
  // first failure and failed probes may schedule the next probe.
  if (!WasUp && !Probing_)
    return false;
  Up_ = false;
  Probing_ = false;
  NextProbe_ = Now + ProbeBackoff_.next(Rng);
  return WasUp;
}

TimePoint TargetMonitor::nextProbe() const {
  return Up_ || Probing_ ? TimePoint::max() : NextProbe_;
}

} // namespace marigold::admission
