#pragma once

#include "Support/Clock.h"

#include <cstdint>

namespace marigold::admission {

/// Phases of a graceful shutdown.
enum class DrainState : std::uint8_t { Serving, Draining, Drained };

/// Parameters of DrainControl.
struct DrainSettings {
  /// Longest wait for requests in progress (setting drain-limit).
  Duration Limit_ = std::chrono::seconds(60);
  /// Shortest time of draining. Callers' nodes learn of the drain from
  /// refusals and notices in this time instead of from failed connections.
  Duration Linger_ = std::chrono::seconds(1);
};

/// Graceful shutdown of a target's node (guarantees G7, G8): new work is
/// refused from the start, work in progress finishes, then the node exits.
class DrainControl {
public:
  explicit DrainControl(DrainSettings Settings = {}) : Settings_(Settings) {}

  /// Starts draining. False when it has started before.
  bool begin(TimePoint Now);

  /// Updates the state. Running: requests in progress at the target.
  DrainState update(std::uint32_t Running, TimePoint Now);

  /// State after the last update.
  DrainState state() const { return State_; }

  /// Requests still in progress when the limit ended the drain.
  std::uint32_t unfinished() const { return Unfinished_; }

  /// Next time at which update has to be called while draining.
  TimePoint nextUpdate(TimePoint Now) const;

private:
  DrainSettings Settings_;
  DrainState State_ = DrainState::Serving;
  TimePoint Started_;
  std::uint32_t Unfinished_ = 0;
};

} // namespace marigold::admission
