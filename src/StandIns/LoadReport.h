#pragma once

#include "StandIns/LedgerJoin.h"
#include "StandIns/NodePool.h"
#include "Support/Clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace marigold::standins {

/// Result of one attempt.
struct AttemptResult {
  /// Outcome inferred from the response or its absence.
  Outcome Outcome_ = Outcome::Unknown;
  /// No request was sent.
  bool Unsent_ = false;
  /// The response belongs to another request.
  bool Crossed_ = false;
  /// The HTTP response was complete, but part of the target's body is missing.
  bool Lost_ = false;
  /// Value of x-marigold-reason, or a reason derived from the status or from
  /// the missing response.
  std::string Reason_;
};

/// Determines the result of one exchange. If Direct is set, the response comes
/// straight from a target and has no outcome headers.
AttemptResult classifyExchange(const ExchangeResult &Exchange,
                               std::string_view Id, bool Direct);

/// A finished request.
struct FinishedCall {
  CallerEntry Entry_;
  /// Time from the scheduled start to the end of the last attempt.
  Duration Latency_{};
  /// The scheduled start is after the warm-up.
  bool Measured_ = false;
  /// Result of the last attempt.
  AttemptResult Last_;
};

/// Counts and latency quantiles of a load run.
class LoadReport {
public:
  /// Window is the duration of the run without the warm-up.
  explicit LoadReport(Duration Window) : Window_(Window) {}

  /// Adds a finished request.
  void add(const FinishedCall &Call);

  /// Counts a failed request for an idempotency key.
  void addKeyFailure() { ++KeyFailures_; }

  /// Records the delay of a request's actual start after its scheduled start.
  /// The maximum shows whether the load generator itself was overloaded.
  void addStartDelay(Duration Delay);

  /// Formats the counts and quantiles as key=value lines. Quantiles are exact
  /// and cover the measured requests with outcome ok.
  std::string text() const;

  /// Formats the ledger lines of all requests.
  std::string ledger() const;

private:
  Duration Window_;
  std::vector<CallerEntry> Entries_;
  std::map<Outcome, std::uint64_t> Outcomes_;
  std::map<std::string, std::uint64_t> Reasons_;
  std::map<CallKind, std::vector<Duration>> Latencies_;
  std::uint64_t Measured_ = 0;
  std::uint64_t Crossed_ = 0;
  std::uint64_t Lost_ = 0;
  std::uint64_t KeyFailures_ = 0;
  std::uint64_t Resends_ = 0;
  Duration StartDelay_{};
};

} // namespace marigold::standins
