#include "Calls/OutcomeTracker.h"

namespace marigold::calls {
namespace {

/// Whether a refusal implies that no earlier attempt can have run: the key does
/// not belong to this mesh, or no key could be read at all.
bool rulesOutEarlierRun(ErrorCode Code) {
  return Code == ErrorCode::KeyMalformed ||
         Code == ErrorCode::MalformedRequest ||
         Code == ErrorCode::HeaderTooLarge;
}

} // namespace

bool OutcomeTracker::beginAttempt() {
  if (Ended_ || InAttempt_)
    return false;
  InAttempt_ = true;
  Sent_ = false;
  AnswerStarted_ = false;
  Reason_.reset();
  ++Attempts_;
  return true;
}

void OutcomeTracker::connectFailed() {
  if (Ended_ || !InAttempt_)
    return;
  endAttempt(Sent_ ? connectionLossCode() : ErrorCode::TargetDown);
}

void OutcomeTracker::sentFirstByte() {
  if (Ended_ || !InAttempt_)
    return;
  Sent_ = true;
}

void OutcomeTracker::refused(ErrorCode Code) {
  if (Ended_)
    return;
  if (errorOutcome(Code) == Outcome::None || errorOutcome(Code) == Outcome::Ok)
    Code = ErrorCode::MalformedAnswer;
  bool FromPeer = InAttempt_ && Sent_;
  if (!FromPeer) {
    // This node itself refused the request; nothing was sent in this attempt.
    InAttempt_ = false;
    Reason_ = Code;
    if (errorOutcome(Code) == Outcome::Unknown) {
      MayHaveRun_ = true;
      UnknownReason_ = Code;
    }
    return;
  }
  // Only the target's node can state that a request did not run; a target
  // cannot. A node that has begun an answer has forwarded the request.
  bool Credible = Side_ == CallSide::CallerNode && !AnswerStarted_;
  if (errorOutcome(Code) == Outcome::NotRun && !Credible)
    Code = ErrorCode::MalformedAnswer;
  OwnerRefused_ = Credible;
  endAttempt(Code);
}

void OutcomeTracker::refusedByNumber(std::uint16_t Number) {
  refused(errorFromNumber(Number).value_or(ErrorCode::MalformedAnswer));
}

void OutcomeTracker::firstAnswerByte() {
  // Without a sent request the data cannot be an answer to it.
  if (Ended_ || !InAttempt_ || !Sent_)
    return;
  AnswerStarted_ = true;
}

void OutcomeTracker::answerComplete() {
  if (Ended_ || !InAttempt_ || !Sent_)
    return;
  InAttempt_ = false;
  Ended_ = true;
  Answered_ = true;
  MayHaveRun_ = true;
  Reason_.reset();
}

void OutcomeTracker::answerInvalid(ErrorCode Code) {
  if (Ended_ || !InAttempt_ || !Sent_)
    return;
  endAttempt(errorOutcome(Code) == Outcome::Unknown
                 ? Code
                 : ErrorCode::MalformedAnswer);
}

void OutcomeTracker::connectionLost() {
  if (Ended_ || !InAttempt_)
    return;
  endAttempt(Sent_ ? connectionLossCode() : ErrorCode::TargetDown);
}

void OutcomeTracker::hedgeSent() {
  if (!Ended_)
    HedgePending_ = true;
}

void OutcomeTracker::hedgeFailed(ErrorCode Code) {
  if (Ended_)
    return;
  HedgePending_ = false;
  if (errorOutcome(Code) == Outcome::NotRun)
    return;
  MayHaveRun_ = true;
  UnknownReason_ =
      errorOutcome(Code) == Outcome::Unknown ? Code : connectionLossCode();
}

void OutcomeTracker::deadlinePassed() {
  if (Ended_)
    return;
  bool SentNow = HedgePending_ || (InAttempt_ && Sent_);
  endAttempt(SentNow ? ErrorCode::DeadlineExceeded
                     : ErrorCode::DeadlineBeforeRun);
  Ended_ = true;
}

void OutcomeTracker::cancelled() {
  if (Ended_)
    return;
  bool SentNow = HedgePending_ || (InAttempt_ && Sent_);
  endAttempt(SentNow ? ErrorCode::Cancelled : ErrorCode::CancelledBeforeRun);
  Ended_ = true;
}

Verdict OutcomeTracker::verdict() const {
  if (Answered_)
    return {Outcome::Ok, std::nullopt};
  // A request that has ended already has the reason of its end.
  if (!Ended_ && (HedgePending_ || (InAttempt_ && Sent_)))
    return {Outcome::Unknown, connectionLossCode()};
  if (MayHaveRun_)
    return {Outcome::Unknown, UnknownReason_.value_or(connectionLossCode())};
  ErrorCode Code = Reason_.value_or(ErrorCode::NoTarget);
  if (Keyed_ && !OwnerRefused_ && !rulesOutEarlierRun(Code))
    return {Outcome::Unknown, ErrorCode::KeyOwnerUnreachable};
  return {Outcome::NotRun, Code};
}

void OutcomeTracker::endAttempt(ErrorCode Code) {
  InAttempt_ = false;
  Reason_ = Code;
  // Part of the answer was forwarded to the caller, so that no other attempt
  // can follow.
  if (AnswerStarted_)
    Ended_ = true;
  if (errorOutcome(Code) != Outcome::Unknown)
    return;
  MayHaveRun_ = true;
  UnknownReason_ = Code;
}

ErrorCode OutcomeTracker::connectionLossCode() const {
  return Side_ == CallSide::CallerNode ? ErrorCode::NodeLost
                                       : ErrorCode::TargetLost;
}

} // namespace marigold::calls
