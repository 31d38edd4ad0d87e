#include "Membership/LocalHealth.h"

#include <algorithm>

namespace marigold::membership {

void LocalHealth::onProbe(ProbeResult Result) {
  if (Result == ProbeResult::Answered && Score_ > 0)
    --Score_;
  if (Result == ProbeResult::AllSilent && Score_ < MaxScore_)
    ++Score_;
  Silent_.push_back(Result == ProbeResult::AllSilent);
  if (Silent_.size() > WindowSize_)
    Silent_.pop_front();
}

void LocalHealth::onRefutation() {
  if (Score_ < MaxScore_)
    ++Score_;
}

bool LocalHealth::isDegraded() const {
  auto Silent = std::count(Silent_.begin(), Silent_.end(), true);
  return static_cast<std::size_t>(Silent) * 2 > Silent_.size();
}

} // namespace marigold::membership
