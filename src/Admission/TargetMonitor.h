#pragma once

#include "Support/Backoff.h"
#include "Support/Clock.h"
#include "Support/Random.h"

namespace marigold::admission {

/// Parameters of TargetMonitor.
struct TargetMonitorSettings {
  /// Ceiling of the first delay between connection attempts.
  Duration FirstDelay_ = std::chrono::milliseconds(100);
  /// Ceiling of all later delays.
  Duration MaximumDelay_ = std::chrono::seconds(2);
};

/// Whether the target's process accepts connections, learned only from
/// connection attempts: its health endpoint lags or misleads (F8). While it is
/// down the node refuses with TargetDown and probes with a jittered delay.
class TargetMonitor {
public:
  /// A target is down until the first probe succeeds; the first is due at Now.
  TargetMonitor(TargetMonitorSettings Settings, TimePoint Now)
      : ProbeBackoff_(Settings.FirstDelay_, Settings.MaximumDelay_),
        NextProbe_(Now) {}

  /// Whether requests can be forwarded.
  bool isUp() const { return Up_; }

  /// Whether a connection attempt is due. Answers true once for each due time;
  /// report its result with onConnected or onConnectFailed.
  bool startProbe(TimePoint Now);

  /// A connection was opened. True when the target was down before.
  bool onConnected();

  /// A connection attempt was refused or timed out. True when the target was
  /// up before, so that the queue must be refused
  /// (AdmissionControl::targetDown).
  bool onConnectFailed(TimePoint Now, Random &Rng);

  /// When startProbe answers true next; TimePoint::max() while the target is up
  /// or a probe is in progress.
  TimePoint nextProbe() const;

private:
  Backoff ProbeBackoff_;
  TimePoint NextProbe_;
  bool Up_ = false;
  bool Probing_ = false;
};

} // namespace marigold::admission
