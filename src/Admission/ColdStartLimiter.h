#pragma once

#include "Support/Clock.h"

#include <cstddef>
#include <cstdint>
#include <deque>

namespace marigold::admission {

/// Limits on the requests that a cold target starts.
struct ColdStartSettings {
  /// Time for which a target is cold after its start
  /// (ServiceConfig::ColdTime_).
  Duration ColdTime_{};
  /// Requests per second that a cold target tolerates
  /// (ServiceConfig::ColdRate_); 0 if starts are never limited.
  std::uint32_t Rate_ = 0;
  /// Factor by which starts within one second may exceed the rate (setting
  /// cold-excess).
  double Excess_ = 1;
  /// Starts within one second that come on top in the first second of this
  /// process, which does not know what the one before it has started (setting
  /// cold-slack).
  double Slack_ = 0;
};

/// Limits the starts of a target while it is cold. All requests to a target
/// pass through its own node, so the count is exact.
///
/// The target says how long it stays cold, in its health answers and, later, in
/// the platform's list. Neither is known at the moment of its start, so a
/// target counts as cold for the whole cold time from the moment at which its
/// process was replaced or became reachable. A health answer overrides that.
///
/// Handling of load patterns:
/// - Many targets of a service restart under full load: each starts requests
///   at the rate that it tolerates, in any window of a second. Without the
///   limit a cold target gets the load of a warm one, crashes, returns cold and
///   crashes again.
/// - The cold time ends under full load: the limit doubles in steps, because
///   the end is known with an error, and callers return together.
/// - The node restarts beside a cold target: the starts of the last second are
///   unknown, so only the slack is used until that second has passed.
class ColdStartLimiter {
public:
  /// Time within which a request has to be written after its start. One that is
  /// later, because it waited for a connection, must not be written.
  static constexpr Duration MaxSendTime_ = std::chrono::milliseconds(100);
  /// Length of the window in which starts are counted. A target counts the
  /// arrivals in a second, and each comes up to MaxSendTime_ after its start.
  static constexpr Duration Window_ = std::chrono::seconds(1) + MaxSendTime_;
  /// After the end of the cold time the limit doubles this often before it
  /// ends, each time for StepTime_.
  static constexpr unsigned Steps_ = 3;
  static constexpr Duration StepTime_ = std::chrono::milliseconds(250);

  /// Begin is the start of this process.
  explicit ColdStartLimiter(TimePoint Begin = TimePoint()) : Begin_(Begin) {}

  /// Applies changed settings, also to a start before they were known.
  void configure(const ColdStartSettings &Settings);

  /// Whether the service has a rate for cold targets.
  bool enabled() const { return Settings_.Rate_ != 0; }

  /// Records that the target's process may have just started.
  void onTargetStarted(TimePoint Now);

  /// Records a health answer to a check that was sent at AskedAt. ColdLeft is
  /// the time for which the target stays cold; zero if it is warm. An answer to
  /// a check from before the last start says nothing.
  void onHealthAnswer(Duration ColdLeft, TimePoint AskedAt, TimePoint Now);

  /// Records that the platform's list reports a cold target. The report is
  /// older than a health answer and ignored behind a recent one.
  void onListedCold(TimePoint Now);

  /// Whether the target counts as cold.
  bool isCold(TimePoint Now) const { return enabled() && Now < ColdUntil_; }

  /// Whether starts are limited: while the target is cold and for the steps
  /// after it.
  bool isLimiting(TimePoint Now) const;

  /// Whether a request may start now.
  bool mayStart(TimePoint Now) const { return nextStart(0, Now) <= Now; }

  /// Earliest time at which a request may start of which Before others start
  /// first; Now if starts are not limited.
  TimePoint nextStart(std::size_t Before, TimePoint Now) const;

  /// Counts a request that starts.
  void onStart(TimePoint Now);

  /// Starts allowed per second at this moment; 0 if they are not limited.
  std::uint32_t rate(TimePoint Now) const;

private:
  std::size_t allowance(TimePoint Now) const;
  void forgetOld(TimePoint Now);

  ColdStartSettings Settings_;
  TimePoint Begin_;
  TimePoint StartedAt_{};
  TimePoint ColdUntil_{};
  TimePoint HealthAnswerAt_{};
  /// Times of the starts within the last window, oldest first. Kept while the
  /// target is warm too, because it may turn out to be cold at any time.
  std::deque<TimePoint> Starts_;
};

} // namespace marigold::admission
