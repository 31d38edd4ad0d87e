#pragma once

#include "Support/Clock.h"

#include <cstdint>

namespace marigold::admission {

/// Phases of a graceful shutdown.
enum class DrainState : std::uint8_t { Serving, Draining, Drained };

/// Parameters of DrainControl.
struct DrainSettings {
  /// Maximum wait for requests in progress (setting drain-limit).
  Duration Limit_ = std::chrono::seconds(60);
  /// Minimum duration of a drain. In this time callers' nodes learn of the
  /// drain from refusals and notices instead of from failed connections.
  Duration Linger_ = std::chrono::seconds(1);
};

/// Graceful shutdown of a target's node: new requests are refused from the
/// start, requests in progress finish, then the node exits.
class DrainControl {
public:
  explicit DrainControl(DrainSettings Settings = {}) : Settings_(Settings) {}

  /// Starts draining. Returns false if draining has already started.
  bool begin(TimePoint Now);

  /// Updates and returns the state. Running is the number of requests in
  /// progress at the target.
  DrainState update(std::uint32_t Running, TimePoint Now);

  /// State after the last update.
  DrainState state() const { return State_; }

  /// Number of requests still in progress when the drain timed out.
  std::uint32_t unfinished() const { return Unfinished_; }

  /// Time at which update has to be called next; TimePoint::max() unless
  /// draining.
  TimePoint nextUpdate(TimePoint Now) const;

private:
  DrainSettings Settings_;
  DrainState State_ = DrainState::Serving;
  TimePoint Started_;
  std::uint32_t Unfinished_ = 0;
};

} // namespace marigold::admission
