// Attempts of a caller's request. Attempts are numbered; events of an attempt
// other than the current one are ignored.

#include "Node/CallerCall.h"

#include "Calls/AttemptTimeout.h"
#include "Support/Addresses.h"

#include <algorithm>

namespace marigold::node {
namespace {

/// Converts the result of a call into a sample for the statistics of its host.
routing::CallSample sampleOf(const transport::StreamResult &Value,
                             std::uint32_t Kind, Duration Latency) {
  routing::CallSample Sample;
  if (const auto *Reply = std::get_if<transport::PeerReply>(&Value)) {
    Sample.ServerError_ = Reply->Start_.Status_ >= 500;
    Sample.Latency_ = Latency;
    Sample.Load_ = Reply->End_.Load_;
    Sample.Kind_ = Kind;
    Sample.ServiceTime_ = Reply->End_.ServiceTime_;
  } else if (const auto *Refusal = std::get_if<CallRefused>(&Value)) {
    Sample.Error_ =
        errorFromNumber(Refusal->Code_).value_or(ErrorCode::MalformedAnswer);
    Sample.Load_ = Refusal->Load_;
  } else {
    const auto *Lost = std::get_if<transport::StreamLost>(&Value);
    Sample.Error_ = Lost && !Lost->Written_ ? ErrorCode::ConnectionFailed
                                            : ErrorCode::NodeLost;
  }
  return Sample;
}

/// Code of a result that is no answer to use: a refusal, a lost connection or
/// a server error of the target.
ErrorCode failureOf(const transport::StreamResult &Value) {
  if (const auto *Refusal = std::get_if<CallRefused>(&Value))
    return errorFromNumber(Refusal->Code_).value_or(ErrorCode::MalformedAnswer);
  const auto *Lost = std::get_if<transport::StreamLost>(&Value);
  if (Lost && !Lost->Written_)
    return ErrorCode::TargetDown;
  return Lost ? ErrorCode::NodeLost : ErrorCode::TargetLost;
}

} // namespace

Result<HostId> CallerCall::chooseHost(TimePoint Now) {
  if (!KeyOwner_) {
    bool Declined = Tracker_.lastReason() == ErrorCode::TargetBusy;
    auto Best = Declined ? Offers_.best() : std::nullopt;
    if (Best && State_->startCall(*Best, Now))
      return *Best;
    auto Chosen = State_->choose({Tried_, Start_.Kind_}, Now);
    // A host that declined the request takes it if it is the only one left.
    if (!Chosen && Declined)
      return State_->choose({{}, Start_.Kind_}, Now);
    return Chosen;
  }
  // Only known hosts are called: the key is input from the caller, and its
  // checksum does not prove which node issued it.
  if (!State_->startCall(*KeyOwner_, Now))
    return fail(ErrorCode::KeyOwnerUnreachable);
  return *KeyOwner_;
}

Duration CallerCall::offerBound(TimePoint Now) {
  if (!Start_.Routed_ || KeyOwner_)
    return Duration::zero();
  return Offers_.bound(State_->offerBound(Tried_, Objective_, Now),
                       Body_ ? Body_->size() : 0);
}

void CallerCall::attempt() {
  TimePoint Now = std::chrono::steady_clock::now();
  std::optional<HostId> Host;
  unsigned Number = 0;
  ErrorCode Code = ErrorCode::NoTarget;
  {
    std::lock_guard Lock(Mutex_);
    if (Ended_)
      return;
    auto Chosen = chooseHost(Now);
    if (Chosen) {
      if (!Tracker_.beginAttempt())
        return;
      Host = Chosen.value();
      Number = Tracker_.attempts();
      Tried_.push_back(*Host);
      OfferBound_ = offerBound(Now);
      SendStarted_ = false;
    } else {
      Code =
          Tried_.empty() ? Chosen.error().Code_ : ErrorCode::AttemptsExhausted;
    }
  }
  if (Host)
    send(*Host, Number);
  else
    refuse(Code);
}

transport::PeerConnectionPool &CallerCall::connections() const {
  CallerProxyParts &Parts = Context_->Parts_;
  bool Bulk = Body_ && Body_->size() > transport::BulkThreshold;
  return Bulk && Parts.BulkPeers_ ? *Parts.BulkPeers_ : Parts.Peers_;
}

void CallerCall::send(const HostId &Host, unsigned Attempt) {
  CallerProxyParts &Parts = Context_->Parts_;
  if (Parts.Local_ && Host == toHostId(Parts.Settings_.PeerAddress_)) {
    sendLocal(Host, Attempt);
    return;
  }
  connections().get(Host, [Self = shared_from_this(), Host, Attempt](
                              Result<transport::PeerConnectionPtr> Value) {
    if (Value)
      Self->sendOver(Host, Value.value(), Attempt);
    else
      Self->onConnectFailed(Host, Attempt, Value.error());
  });
}

bool CallerCall::beginSend(unsigned Attempt) {
  std::lock_guard Lock(Mutex_);
  if (Ended_ || Tracker_.attempts() != Attempt)
    return false;
  // From here on the request may reach the target's node at any time.
  SendStarted_ = true;
  armAttemptTimer();
  return true;
}

void CallerCall::armAttemptTimer() {
  TimePoint Now = std::chrono::steady_clock::now();
  calls::AttemptTiming Timing;
  Timing.Objective_ = Objective_;
  Timing.Remaining_ = Deadline_.at() - Now;
  Timing.Repeatable_ = Start_.Repeatable_;
  Timing.AnotherAttempt_ = ReachedTargets_ + 1 < MaxTargets_;
  auto Limit = calls::attemptTimeout(Timing);
  TimePoint End = Limit ? Now + *Limit : TimePoint::max();
  if (End == AttemptEnd_)
    return;
  AttemptEnd_ = End;
  armTimer();
}

void CallerCall::hedge(unsigned Attempt) {
  calls::AttemptState State;
  std::vector<HostId> Tried;
  {
    std::lock_guard Lock(Mutex_);
    if (Ended_ || Tracker_.attempts() != Attempt || Hedge_)
      return;
    AttemptEnd_ = TimePoint::max();
    armTimer();
    State = stateAfterRun(ErrorCode::AttemptAbandoned);
    Tried = Tried_;
  }
  TimePoint Now = std::chrono::steady_clock::now();
  if (!State_->retry(State, Deadline_, Now).Retry_)
    return;
  auto Chosen = State_->choose({Tried, Start_.Kind_}, Now);
  if (!Chosen)
    return;
  bool AlreadyEnded = false;
  {
    std::lock_guard Lock(Mutex_);
    AlreadyEnded = Ended_;
    if (!AlreadyEnded) {
      Hedge_.emplace();
      Hedge_->Host_ = Chosen.value();
      // The last element must stay the host of the attempt in progress;
      // cancelAttempt relies on it.
      Tried_.insert(Tried_.begin(), Chosen.value());
      ++ReachedTargets_;
    }
  }
  if (AlreadyEnded) {
    State_->onResult(Chosen.value(), {ErrorCode::Cancelled, false, {}, {}},
                     Now);
    return;
  }
  State_->Counters_.Retries_.fetch_add(1, std::memory_order_relaxed);
  sendHedge(Chosen.value());
}

void CallerCall::sendHedge(const HostId &Host) {
  CallerProxyParts &Parts = Context_->Parts_;
  TimePoint Sent = std::chrono::steady_clock::now();
  if (Parts.Local_ && Host == toHostId(Parts.Settings_.PeerAddress_)) {
    {
      std::lock_guard Lock(Mutex_);
      Tracker_.hedgeSent();
    }
    std::uint64_t Number = Parts.Local_->callLocal(
        makeStart(), Body_,
        [Self = shared_from_this(), Host, Sent](transport::StreamResult Value) {
          Self->onHedge(Host, Sent, std::move(Value));
        });
    bool AlreadyEnded = false;
    {
      std::lock_guard Lock(Mutex_);
      AlreadyEnded = Ended_;
      Hedge_->Sent_.LocalNumber_ = Number;
    }
    if (AlreadyEnded)
      Parts.Local_->cancelLocal(Number);
    return;
  }
  connections().get(Host, [Self = shared_from_this(), Host,
                           Sent](Result<transport::PeerConnectionPtr> Value) {
    if (Value)
      Self->sendHedgeOver(Host, Value.value());
    else
      Self->onHedge(Host, Sent, transport::StreamLost{false, Value.error()});
  });
}

void CallerCall::sendHedgeOver(const HostId &Host,
                               const transport::PeerConnectionPtr &Connection) {
  {
    std::lock_guard Lock(Mutex_);
    if (!hedgePending())
      return;
    Tracker_.hedgeSent();
  }
  TimePoint Sent = std::chrono::steady_clock::now();
  std::uint32_t Stream = Connection->call(
      makeStart(), Body_,
      [Self = shared_from_this(), Host, Sent](transport::StreamResult Value) {
        Self->onHedge(Host, Sent, std::move(Value));
      });
  bool AlreadyEnded = false;
  {
    std::lock_guard Lock(Mutex_);
    AlreadyEnded = Ended_;
    if (!AlreadyEnded) {
      Hedge_->Sent_ = {Connection, Stream, {}};
    }
  }
  if (AlreadyEnded)
    Connection->cancel(Stream);
}

void CallerCall::onHedge(const HostId &Host, TimePoint Sent,
                         transport::StreamResult Value) {
  TimePoint Now = std::chrono::steady_clock::now();
  auto *Reply = std::get_if<transport::PeerReply>(&Value);
  bool Failed = !Reply || Reply->Start_.Status_ >= 500;
  std::optional<ErrorCode> End;
  {
    std::lock_guard Lock(Mutex_);
    // cancelHedge has already reported the hedge to the pool.
    if (!hedgePending())
      return;
    Hedge_->Pending_ = false;
    Hedge_->Sent_ = {};
    if (!Ended_ && !Failed) {
      Ended_ = true;
    } else if (!Ended_) {
      Tracker_.hedgeFailed(failureOf(Value));
      if (DeferredError_)
        End = Tracker_.verdict().Reason_.value_or(*DeferredError_);
    }
    if (Reply && Failed && !Fallback_)
      Fallback_ = std::move(*Reply);
    Trace_ += (Trace_.empty() ? "" : ",") + toText(Host) +
              (Failed ? "/hedge-failed" : "/hedge-ok");
  }
  State_->onResult(Host, sampleOf(Value, Start_.Kind_, Now - Sent), Now);
  if (Failed) {
    if (End)
      finishWithError(*End);
    return;
  }
  {
    std::lock_guard Lock(Mutex_);
    Timer_.cancel();
  }
  cancelAttempt();
  respond(std::move(*Reply));
}

void CallerCall::cancelHedge() {
  HedgedAttempt Cancelled;
  {
    std::lock_guard Lock(Mutex_);
    if (!hedgePending())
      return;
    Hedge_->Pending_ = false;
    Cancelled = *Hedge_;
  }
  cancelSent(Cancelled.Sent_);
  State_->onResult(Cancelled.Host_, {ErrorCode::Cancelled, false, {}, {}},
                   std::chrono::steady_clock::now());
}

CallStart CallerCall::makeOffer() {
  CallStart Start = makeStart();
  std::lock_guard Lock(Mutex_);
  Start.MaxWait_ =
      std::chrono::duration_cast<std::chrono::microseconds>(OfferBound_);
  return Start;
}

CallStart CallerCall::makeStart() const {
  CallStart Start = Start_;
  TimePoint Now = std::chrono::steady_clock::now();
  Start.Remaining_ = std::chrono::duration_cast<std::chrono::microseconds>(
      Deadline_.forNextLevel(Now));
  if (Start.Routed_)
    Start.Objective_ = std::chrono::duration_cast<std::chrono::microseconds>(
        ObjectiveDeadline_ - Now);
  return Start;
}

void CallerCall::sendOver(const HostId &Host,
                          const transport::PeerConnectionPtr &Connection,
                          unsigned Attempt) {
  TimePoint Sent = std::chrono::steady_clock::now();
  if (!beginSend(Attempt)) {
    reportCancelled(Host, Attempt);
    return;
  }
  std::uint32_t Stream =
      Connection->call(makeOffer(), Body_,
                       [Self = shared_from_this(), Host, Attempt,
                        Sent](transport::StreamResult Value) {
                         Self->onStream(Host, Attempt, Sent, std::move(Value));
                       });
  bool AlreadyEnded = false;
  {
    std::lock_guard Lock(Mutex_);
    AlreadyEnded = Ended_;
    if (!AlreadyEnded && Tracker_.attempts() == Attempt) {
      Sent_ = {Connection, Stream, {}};
    }
  }
  if (!AlreadyEnded)
    return;
  Connection->cancel(Stream);
  reportCancelled(Host, Attempt);
}

void CallerCall::sendLocal(const HostId &Host, unsigned Attempt) {
  TimePoint Sent = std::chrono::steady_clock::now();
  if (!beginSend(Attempt)) {
    reportCancelled(Host, Attempt);
    return;
  }
  TargetProxy &Local = *Context_->Parts_.Local_;
  std::uint64_t Number =
      Local.callLocal(makeOffer(), Body_,
                      [Self = shared_from_this(), Host, Attempt,
                       Sent](transport::StreamResult Value) {
                        Self->onStream(Host, Attempt, Sent, std::move(Value));
                      });
  bool AlreadyEnded = false;
  {
    std::lock_guard Lock(Mutex_);
    AlreadyEnded = Ended_;
    if (!AlreadyEnded && Tracker_.attempts() == Attempt)
      Sent_.LocalNumber_ = Number;
  }
  if (AlreadyEnded)
    Local.cancelLocal(Number);
}

void CallerCall::onConnectFailed(const HostId &Host, unsigned Attempt,
                                 const Failure &Cause) {
  report(Host, Attempt, {ErrorCode::ConnectionFailed, false, {}, {}});
  if (Cause.Code_ != ErrorCode::ProtocolVersion)
    Context_->Parts_.Environment_.reportHostFailure(Host);
  {
    std::lock_guard Lock(Mutex_);
    if (Ended_ || Tracker_.attempts() != Attempt)
      return;
    Tracker_.connectFailed();
  }
  onAttemptFailed(Attempt);
}

void CallerCall::onStream(const HostId &Host, unsigned Attempt, TimePoint Sent,
                          transport::StreamResult Value) {
  if (auto *Reply = std::get_if<transport::PeerReply>(&Value)) {
    onReply(Host, Attempt, Sent, std::move(*Reply));
    return;
  }
  auto *Refusal = std::get_if<CallRefused>(&Value);
  auto *Lost = std::get_if<transport::StreamLost>(&Value);
  std::chrono::milliseconds RefusedAfter{};
  if (Refusal)
    RefusedAfter = Refusal->RetryAfter_;
  bool Declined = Refusal && Refusal->Code_ == static_cast<std::uint16_t>(
                                                   ErrorCode::TargetBusy);
  if (Declined)
    Context_->Parts_.Metrics_.add(Metric::OffersDeclinedTotal, 1,
                                  Start_.Service_);
  if (Lost && Lost->Cause_.Code_ == ErrorCode::ConnectionFailed)
    Context_->Parts_.Environment_.reportHostFailure(Host);
  report(Host, Attempt, sampleOf(Value, Start_.Kind_, Duration::zero()));
  {
    std::lock_guard Lock(Mutex_);
    if (Ended_ || Tracker_.attempts() != Attempt)
      return;
    Sent_ = {};
    if (Declined)
      Offers_.onDeclined(Host, Refusal->Load_.ExpectedWait_);
    if (Lost && !Lost->Written_) {
      Tracker_.connectFailed();
    } else {
      Tracker_.sentFirstByte();
      if (Refusal)
        Tracker_.refusedByNumber(Refusal->Code_);
      else
        Tracker_.connectionLost();
    }
    auto Reason = Tracker_.lastReason();
    if (Reason && errorOutcome(*Reason) == Outcome::Unknown)
      ++UnknownAttempts_;
    if (Reason && calls::RetryPolicy::reachedTarget(*Reason))
      ++ReachedTargets_;
    if (RefusedAfter.count() != 0)
      RetryAfter_ = RetryAfter_.count() == 0
                        ? RefusedAfter
                        : std::min(RetryAfter_, RefusedAfter);
  }
  onAttemptFailed(Attempt);
}

void CallerCall::onReply(const HostId &Host, unsigned Attempt, TimePoint Sent,
                         transport::PeerReply Reply) {
  TimePoint Now = std::chrono::steady_clock::now();
  report(Host, Attempt,
         {std::nullopt, Reply.Start_.Status_ >= 500, Now - Sent,
          Reply.End_.Load_, Start_.Kind_, Reply.End_.ServiceTime_});
  if (Reply.Start_.Status_ >= 500 && retryAnswer(Attempt, Reply))
    return;
  {
    std::lock_guard Lock(Mutex_);
    if (Ended_ || Tracker_.attempts() != Attempt)
      return;
    if (Reply.Start_.Status_ >= 500 && hedgePending()) {
      // The hedge may still succeed.
      Tracker_.sentFirstByte();
      Tracker_.answerInvalid(ErrorCode::TargetLost);
      Fallback_ = std::move(Reply);
      DeferredError_ = ErrorCode::TargetLost;
      Sent_ = {};
      return;
    }
    Tracker_.sentFirstByte();
    Tracker_.firstAnswerByte();
    Tracker_.answerComplete();
    Ended_ = true;
    Sent_ = {};
    Timer_.cancel();
  }
  cancelHedge();
  respond(std::move(Reply));
}

calls::AttemptState CallerCall::stateAfterRun(ErrorCode Reason) const {
  calls::AttemptState State = attemptState(Reason);
  ++State.UnknownAttempts_;
  ++State.ReachedTargets_;
  State.MayHaveRun_ = true;
  return State;
}

bool CallerCall::retryAnswer(unsigned Attempt, transport::PeerReply &Reply) {
  calls::AttemptState State;
  {
    std::lock_guard Lock(Mutex_);
    if (Ended_ || Tracker_.attempts() != Attempt || !Start_.Routed_ ||
        Fallback_ || Hedge_)
      return false;
    State = stateAfterRun(ErrorCode::TargetLost);
  }
  if (!State_->retry(State, Deadline_, std::chrono::steady_clock::now()).Retry_)
    return false;
  State_->Counters_.Retries_.fetch_add(1, std::memory_order_relaxed);
  {
    std::lock_guard Lock(Mutex_);
    if (Ended_ || Tracker_.attempts() != Attempt)
      return false;
    Fallback_ = std::move(Reply);
    Tracker_.sentFirstByte();
    Tracker_.answerInvalid(ErrorCode::TargetLost);
    ++UnknownAttempts_;
    ++ReachedTargets_;
    Sent_ = {};
  }
  attempt();
  return true;
}

calls::AttemptState CallerCall::attemptState(ErrorCode Reason) const {
  calls::AttemptState State;
  State.Reason_ = Reason;
  // A declined offer has cost no target any work.
  State.Attempts_ = Tracker_.attempts() - Offers_.declined();
  State.UnknownAttempts_ = UnknownAttempts_;
  State.MayHaveRun_ = Tracker_.mayHaveRun();
  State.Repeatable_ = Start_.Repeatable_;
  State.Keyed_ = KeyOwner_.has_value();
  State.ReachedTargets_ = ReachedTargets_;
  State.MaxTargets_ = MaxTargets_;
  return State;
}

void CallerCall::onAttemptFailed(unsigned Attempt) {
  calls::AttemptState State;
  calls::Verdict Verdict;
  {
    std::lock_guard Lock(Mutex_);
    if (Ended_ || Tracker_.attempts() != Attempt)
      return;
    State = attemptState(Tracker_.lastReason().value_or(ErrorCode::NoTarget));
    Verdict = Tracker_.verdict();
    if (hedgePending()) {
      DeferredError_ = Verdict.Reason_.value_or(State.Reason_);
      return;
    }
  }
  calls::RetryDecision Decision =
      State_->retry(State, Deadline_, std::chrono::steady_clock::now());
  if (Decision.Retry_) {
    State_->Counters_.Retries_.fetch_add(1, std::memory_order_relaxed);
    attempt();
    return;
  }
  if (Decision.DeniedByBudget_)
    State_->Counters_.RetriesDenied_.fetch_add(1, std::memory_order_relaxed);
  bool FinalFits = Verdict.Outcome_ == Outcome::NotRun &&
                   errorOutcome(Decision.Final_) == Outcome::NotRun;
  finishWithError(FinalFits ? Decision.Final_
                            : Verdict.Reason_.value_or(Decision.Final_));
}

void CallerCall::cancelAttempt() {
  SentRequest Cancelled;
  HostId Host;
  unsigned Attempt = 0;
  {
    std::lock_guard Lock(Mutex_);
    Attempt = Tracker_.attempts();
    Cancelled = std::exchange(Sent_, {});
    if (!Tried_.empty())
      Host = Tried_.back();
  }
  cancelSent(Cancelled);
  // The connection makes no callback for a cancelled stream.
  if (Cancelled.Connection_)
    reportCancelled(Host, Attempt);
}

void CallerCall::cancelSent(const SentRequest &Sent) {
  if (Sent.Connection_)
    Sent.Connection_->cancel(Sent.Stream_);
  if (Sent.LocalNumber_)
    Context_->Parts_.Local_->cancelLocal(*Sent.LocalNumber_);
}

void CallerCall::report(const HostId &Host, unsigned Attempt,
                        const routing::CallSample &Sample) {
  {
    std::lock_guard Lock(Mutex_);
    if (Reported_ >= Attempt)
      return;
    Reported_ = Attempt;
    Trace_ += (Trace_.empty() ? "" : ",") + toText(Host) + "/" +
              std::string(Sample.Error_ ? errorText(*Sample.Error_) : "ok");
  }
  State_->onResult(Host, Sample, std::chrono::steady_clock::now());
}

void CallerCall::reportCancelled(const HostId &Host, unsigned Attempt) {
  report(Host, Attempt, {ErrorCode::Cancelled, false, {}, {}});
}

} // namespace marigold::node
