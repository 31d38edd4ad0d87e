#pragma once

#include "Support/Clock.h"

namespace marigold::calls {

/// Estimates, for the requests of one route, how long ago a caller first sent a
/// request that it now sends again after a refusal. A caller states with each
/// request how long it will still wait. The longest waits are those of first
/// requests, so that a much shorter one is the rest of such a wait.
///
/// Answers the load pattern of an overload that lasts, in which refused callers
/// return: without the age a node takes a request whose objective has passed
/// for a new one, and runs it in place of one that could be answered in time.
///
/// Only meaningful for requests of callers outside the mesh. A request that a
/// running request makes states the rest of that one's time from the start.
class RequestAge {
public:
  /// Callers state waits that differ by up to this fraction for first requests.
  static constexpr double FirstWaitSpread_ = 0.15;
  /// Number of first requests from which on ages are estimated.
  static constexpr unsigned MinSamples_ = 16;
  /// Time after which a longest wait that does not recur is forgotten. Two such
  /// windows are kept.
  static constexpr Duration Window_ = std::chrono::seconds(10);

  /// Records a request with the wait that its caller states. Returns the
  /// estimated time since its first attempt, which is zero for a first request
  /// and while too few requests are known.
  Duration onRequest(Duration Wait, TimePoint Now);

private:
  Duration longestWait() const;

  TimePoint WindowStart_{};
  Duration LongestInWindow_{};
  Duration LongestBefore_{};
  /// Moving average of the waits of first requests.
  Duration MeanFirstWait_{};
  unsigned Samples_ = 0;
};

} // namespace marigold::calls
