#include "Admission/DrainControl.h"

#include <algorithm>

namespace marigold::admission {

bool DrainControl::begin(TimePoint Now) {
  if (State_ != DrainState::Serving)
    return false;
  State_ = DrainState::Draining;
  Started_ = Now;
  return true;
}

DrainState DrainControl::update(std::uint32_t Running, TimePoint Now) {
  if (State_ != DrainState::Draining)
    return State_;
  Duration Elapsed = Now - Started_;
  if (Running == 0 && Elapsed >= Settings_.Linger_) {
    State_ = DrainState::Drained;
  } else if (Elapsed >= Settings_.Limit_) {
    State_ = DrainState::Drained;
    Unfinished_ = Running;
  }
  return State_;
}

TimePoint DrainControl::nextUpdate(TimePoint Now) const {
  if (State_ != DrainState::Draining)
    return TimePoint::max();
  TimePoint Linger = Started_ + Settings_.Linger_;
  TimePoint Limit = Started_ + Settings_.Limit_;
  return Now < Linger ? std::min(Linger, Limit) : Limit;
}

} // namespace marigold::admission
