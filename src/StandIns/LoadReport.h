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

/// What one attempt showed.
struct AttemptResult {
  /// Outcome that the answer or its absence allows.
  Outcome Outcome_ = Outcome::Unknown;
  /// Nothing was sent.
  bool Unsent_ = false;
  /// The answer belongs to another request.
  bool Crossed_ = false;
  /// The answer was complete by HTTP, but its body was not the whole one.
  bool Lost_ = false;
  /// Text of x-marigold-reason, or why there is no answer.
  std::string Reason_;
};

/// Judges one exchange. Direct: the answer comes from a target, without
/// outcome headers.
AttemptResult classifyExchange(const ExchangeResult &Exchange,
                               std::string_view Id, bool Direct);

/// One finished request.
struct FinishedCall {
  /// Ledger entry.
  CallerEntry Entry_;
  /// Time from the intended start to the whole answer.
  Duration Latency_{};
  /// The intended start lies after the warm-up.
  bool Measured_ = false;
  /// Result of the last attempt.
  AttemptResult Last_;
};

/// Counts and quantiles of a run of callers.
class LoadReport {
public:
  /// Window is the length of the measured part.
  explicit LoadReport(Duration Window) : Window_(Window) {}

  /// Adds a request.
  void add(const FinishedCall &Call);

  /// Counts a request for a key that gave none.
  void addKeyFailure() { ++KeyFailures_; }

  /// Records by how much a request started after its intended start; the
  /// maximum shows whether the load program itself was overloaded.
  void addStartDelay(Duration Delay);

  /// Counts and quantiles as key=value lines. Quantiles are exact, over the
  /// measured requests with outcome ok.
  std::string text() const;

  /// Ledger lines of all requests.
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
