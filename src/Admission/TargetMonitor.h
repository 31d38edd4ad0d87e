#pragma once

#include "Support/Backoff.h"
#include "Support/Clock.h"
#include "Support/Random.h"

namespace marigold::admission {

/// Parameters of TargetMonitor.
struct TargetMonitorSettings {
  /// Upper bound of the first delay between connection attempts.
  Duration FirstDelay_ = std::chrono::milliseconds(100);
  /// Upper bound of all later delays.
  Duration MaximumDelay_ = std::chrono::seconds(2);
};

/// Tracks whether the target's process accepts connections. Relies only on
/// connection attempts, because a health endpoint may lag behind or report a
/// wrong state. While the target is down, the node refuses requests with
/// TargetDown and probes the target with jittered delays.
class TargetMonitor {
public:
  /// The target counts as down until a probe succeeds; the first probe is due
  /// at Now.
  TargetMonitor(TargetMonitorSettings Settings, TimePoint Now)
      : ProbeBackoff_(Settings.FirstDelay_, Settings.MaximumDelay_),
        NextProbe_(Now) {}

  /// Whether requests can be forwarded.
  bool isUp() const { return Up_; }

  /// Starts a connection attempt if one is due and returns whether it did.
  /// Report the result with onConnected or onConnectFailed; no other attempt
  /// is due before that.
  bool startProbe(TimePoint Now);

  /// Records an opened connection. Returns whether the target was down before.
  bool onConnected();

  /// Records a connection attempt that was refused or timed out. Returns
  /// whether the target was up before; queued requests must then be refused
  /// (AdmissionControl::targetDown).
  bool onConnectFailed(TimePoint Now, Random &Rng);

  /// Time at which startProbe returns true next; TimePoint::max() while the
  /// target is up or a probe is in progress.
  TimePoint nextProbe() const;

private:
  Backoff ProbeBackoff_;
  TimePoint NextProbe_;
  bool Up_ = false;
  bool Probing_ = false;
};

} // namespace marigold::admission
