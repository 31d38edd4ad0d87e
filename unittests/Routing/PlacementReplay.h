#pragma once

#include "Support/Clock.h"

#include <cstdint>

namespace marigold::routing {

/// How a replay places its requests.
struct ReplayMode {
  /// By expected completion instead of slots in use.
  bool ByTime_ = false;
  /// Whether the first attempt is an offer that a busy target declines.
  bool Offers_ = false;
};

/// What the requests of a replay saw.
struct ReplayResult {
  /// Busy slot time of the busiest target over the mean of all targets.
  double BusiestToMean_ = 0;
  Duration P99_{};
  Duration Mean_{};
  /// Share of requests that missed the objective, were refused or both.
  double ShareLate_ = 0;
  unsigned Declined_ = 0;
};

/// Replays open-loop requests of three kinds from 20 nodes to 13 targets of one
/// service. Run times at a target are 0.7 or 1.6 times the usual ones, and its
/// host slows down and speeds up every 150 ms. Nodes learn of a target only
/// from the answers to their own requests.
ReplayResult replayPlacement(ReplayMode Mode, std::uint64_t Seed);

} // namespace marigold::routing
