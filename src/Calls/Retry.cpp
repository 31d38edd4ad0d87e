#include "Calls/Retry.h"

#include <algorithm>

namespace marigold::calls {

void RetryBudget::onCall(TimePoint Now) {
  Tokens_ = std::min(tokensAt(Now) + Settings_.Ratio_, Settings_.Burst_);
  RefilledAt_ = std::max(RefilledAt_, Now);
}

bool RetryBudget::take(TimePoint Now) {
  Tokens_ = tokensAt(Now);
  RefilledAt_ = std::max(RefilledAt_, Now);
  if (Tokens_ < 1)
    return false;
  Tokens_ -= 1;
  return true;
}

bool RetryBudget::available(TimePoint Now) const { return tokensAt(Now) >= 1; }

double RetryBudget::tokensAt(TimePoint Now) const {
  // Now may be before the last refill, because threads read the clock before
  // they lock the shard.
  Duration Since = std::max(Now - RefilledAt_, Duration::zero());
  double Seconds = std::chrono::duration<double>(Since).count();
  return std::min(Tokens_ + Seconds * Settings_.MinPerSecond_,
                  Settings_.Burst_);
}

bool RetryPolicy::isRetryable(ErrorCode Code) {
  switch (Code) {
  // The target's node cannot accept the request, but another one may.
  case ErrorCode::QueueFull:
  case ErrorCode::Draining:
  case ErrorCode::TargetDown:
  case ErrorCode::NotReady:
  // The target's node has another version of the configuration.
  case ErrorCode::UnknownService:
  case ErrorCode::WrongService:
  case ErrorCode::WrongInstance:
  case ErrorCode::TargetUnlisted:
  // The target, its queue or its node's memory has no room, but another one
  // may.
  case ErrorCode::NodeMemory:
  case ErrorCode::TargetRefused:
  case ErrorCode::HopelessWait:
  case ErrorCode::TargetCold:
  case ErrorCode::TargetBusy:
  case ErrorCode::Evacuated:
  // The result of the attempt is unknown; another host can run a repeatable
  // request.
  case ErrorCode::NodeLost:
  case ErrorCode::TargetLost:
  case ErrorCode::MalformedAnswer:
  case ErrorCode::AttemptAbandoned:
    return true;
  default:
    return false;
  }
}

bool RetryPolicy::reachedTarget(ErrorCode Code) {
  return errorOutcome(Code) == Outcome::Unknown ||
         Code == ErrorCode::TargetRefused || Code == ErrorCode::WrongInstance;
}

RetryDecision RetryPolicy::next(const AttemptState &State,
                                const Deadline &Limit, RetryBudget &Budget,
                                TimePoint Now) const {
  RetryDecision Decision;
  Decision.Final_ = State.Reason_;
  if (State.AnswerStarted_ || State.Keyed_ || !isRetryable(State.Reason_))
    return Decision;
  bool Unknown =
      State.MayHaveRun_ || errorOutcome(State.Reason_) == Outcome::Unknown;
  if (Unknown && !State.Repeatable_)
    return Decision;
  if (errorOutcome(State.Reason_) == Outcome::NotRun)
    Decision.Final_ = ErrorCode::AttemptsExhausted;
  bool TargetsUsedUp =
      State.MaxTargets_ != 0 && State.ReachedTargets_ >= State.MaxTargets_;
  if (State.Attempts_ >= Settings_.MaxAttempts_ || TargetsUsedUp ||
      State.UnknownAttempts_ >= Settings_.MaxUnknown_ ||
      Limit.forNextLevel(Now) == Duration::zero())
    return Decision;
  if (!Budget.take(Now)) {
    Decision.DeniedByBudget_ = true;
    return Decision;
  }
  Decision.Retry_ = true;
  return Decision;
}

} // namespace marigold::calls
