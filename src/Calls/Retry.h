#pragma once

#include "Calls/Deadline.h"
#include "Calls/OutcomeTracker.h"
#include "Support/Clock.h"

#include <cstdint>

namespace marigold::calls {

/// Parameters of RetryBudget.
struct RetryBudgetSettings {
  /// Allowed retries as a fraction of first attempts (setting retry-ratio).
  double Ratio_ = 0.1;
  /// Retries per second that are allowed in addition, so that a service with
  /// few calls can be retried at all. With 3,000 nodes and 5 called services
  /// per node this adds at most 0.2 % to 690,000 calls per second.
  double MinPerSecond_ = 0.1;
  /// Capacity of the token bucket, and so the largest burst of retries.
  double Burst_ = 10;
};

/// Token bucket that limits the retries to one service by one node, so that
/// retries do not add to an overload. Protected by the lock of the service's
/// shard.
class RetryBudget {
public:
  /// The bucket starts with one token.
  RetryBudget(RetryBudgetSettings Settings, TimePoint Now)
      : Settings_(Settings), RefilledAt_(Now) {}

  /// Records the start of a call to the service, which adds Ratio_ tokens.
  void onCall(TimePoint Now);

  /// Takes the token for one retry. Returns false if the budget is exhausted.
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
  /// Maximum number of attempts, including the first one.
  unsigned MaxAttempts_ = 3;
  /// Number of attempts with an unknown outcome after which there is no further
  /// retry. 2 allows one retry: a request that crashes targets crashes at most
  /// two, after which CrashSuspects holds it back.
  unsigned MaxUnknown_ = 2;
};

/// State of a request whose last attempt has ended.
struct AttemptState {
  /// Reason with which the last attempt ended (OutcomeTracker::lastReason).
  ErrorCode Reason_ = ErrorCode::NoTarget;
  /// Number of attempts made.
  unsigned Attempts_ = 1;
  /// Number of attempts that ended with an unknown outcome.
  unsigned UnknownAttempts_ = 0;
  /// Whether any attempt may have run the request
  /// (OutcomeTracker::mayHaveRun).
  bool MayHaveRun_ = false;
  /// Whether part of an answer was forwarded to the caller.
  bool AnswerStarted_ = false;
  /// Whether the route allows more than one run.
  bool Repeatable_ = false;
  /// Whether the request has an idempotency key, which binds it to one host.
  bool Keyed_ = false;
  /// Number of attempts that reached a target, and the maximum that the route
  /// allows. If the maximum is 0, only the limits of the policy apply.
  unsigned ReachedTargets_ = 0;
  unsigned MaxTargets_ = 0;
};

/// Decision after an attempt that ended without an answer.
struct RetryDecision {
  /// Whether to send the request to another host, excluding those already
  /// tried.
  bool Retry_ = false;
  /// Whether only the exhausted budget prevented a retry, for the metric
  /// retries_denied_total.
  bool DeniedByBudget_ = false;
  /// Reason to report to the caller if there is no retry. AttemptsExhausted
  /// replaces a refusal that could have been retried, so that the level above
  /// does not retry it again. Shed is kept, because it has its own HTTP status.
  ErrorCode Final_ = ErrorCode::AttemptsExhausted;
};

/// Decides on retries. Used at the caller's node, so that a refused call is
/// only retried one level above the refusal.
class RetryPolicy {
public:
  explicit RetryPolicy(RetrySettings Settings = {}) : Settings_(Settings) {}

  /// Decides whether to retry after an attempt has ended, and takes a token
  /// from Budget for a retry. There is no retry if part of an answer was
  /// forwarded, for a keyed request, if a request that is not repeatable may
  /// have run, for a refusal that another host would repeat, if the attempts or
  /// targets are used up, or if the deadline leaves no time for the next level.
  RetryDecision next(const AttemptState &State, const Deadline &Limit,
                     RetryBudget &Budget, TimePoint Now) const;

  /// Whether another host may accept a request that failed with Code. False for
  /// AttemptsExhausted, HeldBack and refusals that are due to the request
  /// itself.
  static bool isRetryable(ErrorCode Code);

  /// Whether an attempt that failed with Code reached a target, so that another
  /// attempt would load a second target. Refusals by nodes do not reach one.
  static bool reachedTarget(ErrorCode Code);

private:
  RetrySettings Settings_;
};

} // namespace marigold::calls
