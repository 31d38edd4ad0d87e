#pragma once

#include "Calls/Deadline.h"
#include "Calls/OutcomeTracker.h"
#include "Support/Clock.h"

#include <cstdint>

namespace marigold::calls {

/// Parameters of a retry budget.
struct RetryBudgetSettings {
  /// Retries as a fraction of first attempts (setting retry-ratio).
  double Ratio_ = 0.1;
  /// Retries per second that are allowed in addition, so that a service with
  /// few calls can retry at all. At 3,000 nodes and 5 called services per node
  /// this adds at most 0.2 % to 690,000 calls per second.
  double MinPerSecond_ = 0.1;
  /// Tokens that can be saved up, the largest burst of retries.
  double Burst_ = 10;
};

/// Token bucket that limits the retries of one service at one node, so that an
/// overloaded service is not loaded further. Lives in the service's shard.
class RetryBudget {
public:
  /// Starts with one token.
  RetryBudget(RetryBudgetSettings Settings, TimePoint Now)
      : Settings_(Settings), RefilledAt_(Now) {}

  /// A call of the service begins; earns Ratio_ tokens.
  void onCall(TimePoint Now);

  /// Takes the token of one retry. False when the budget is used up.
  [[nodiscard]] bool take(TimePoint Now);

  /// Whether take() would succeed.
  bool available(TimePoint Now) const;

private:
  double tokensAt(TimePoint Now) const;

  RetryBudgetSettings Settings_;
  double Tokens_ = 1;
  TimePoint RefilledAt_;
};

/// Parameters of RetryPolicy.
struct RetrySettings {
  /// Attempts in total, the first one included.
  unsigned MaxAttempts_ = 3;
  /// Attempts that may end with an unknown outcome before the policy gives up.
  /// 2 allows one retry: a request that crashes its target then crashes at
  /// most two of them, after which CrashSuspects holds it back.
  unsigned MaxUnknown_ = 2;
};

/// State of a request whose last attempt has ended.
struct AttemptState {
  /// Reason with which the last attempt ended (OutcomeTracker::lastReason).
  ErrorCode Reason_ = ErrorCode::NoTarget;
  /// Attempts made.
  unsigned Attempts_ = 1;
  /// Attempts that ended with an unknown outcome.
  unsigned UnknownAttempts_ = 0;
  /// Whether an earlier or the last attempt may have run the request
  /// (OutcomeTracker::mayHaveRun).
  bool MayHaveRun_ = false;
  /// Whether a part of an answer was passed on to the caller.
  bool AnswerStarted_ = false;
  /// Whether the route allows more than one run.
  bool Repeatable_ = false;
  /// Whether the request carries a key; it is bound to one host.
  bool Keyed_ = false;
  /// Attempts that reached a target, and the most that the route allows; 0
  /// leaves the policy's limit alone.
  unsigned ReachedTargets_ = 0;
  unsigned MaxTargets_ = 0;
};

/// What to do after an attempt has ended without an answer.
struct RetryDecision {
  /// Send to another host; exclude the hosts already tried.
  bool Retry_ = false;
  /// Whether the budget alone forbade the retry, for the metric
  /// retries_denied_total.
  bool DeniedByBudget_ = false;
  /// Reason for the caller when there is no retry. AttemptsExhausted replaces
  /// a refusal that could have been retried, so that the level above does not
  /// retry it again; Shed stays, because it has its own HTTP status.
  ErrorCode Final_ = ErrorCode::AttemptsExhausted;
};

/// Decides on retries at the caller's node, one level above a refusal.
class RetryPolicy {
public:
  explicit RetryPolicy(RetrySettings Settings = {}) : Settings_(Settings) {}

  /// Decides after the end of an attempt and takes a token from Budget if it
  /// answers Retry_. There is no retry after an answer began, for a keyed
  /// request, for a possible run of a request that is not repeatable, for a
  /// refusal that another host would repeat, or when the deadline leaves no
  /// time for the next level.
  RetryDecision next(const AttemptState &State, const Deadline &Limit,
                     RetryBudget &Budget, TimePoint Now) const;

  /// Whether another host may accept a request that ended with Code. False for
  /// AttemptsExhausted, HeldBack and refusals of the request itself.
  static bool isRetryable(ErrorCode Code);

  /// Whether an attempt that ended with Code reached a target, so that a
  /// further one loads a second target. Refusals by nodes do not.
  static bool reachedTarget(ErrorCode Code);

private:
  RetrySettings Settings_;
};

} // namespace marigold::calls
