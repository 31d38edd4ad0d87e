#include "Node/CallerCall.h"

#include "Calls/RequestKey.h"
#include "Support/Addresses.h"
#include "Support/Digest.h"

#include <algorithm>

namespace marigold::node {

using transport::findHeader;
using transport::HttpResponse;

namespace {

constexpr std::string_view DeadlineField = "x-marigold-deadline-ms";
constexpr std::string_view DepthField = "x-marigold-depth";
constexpr std::string_view KeyField = "idempotency-key";
// Longest wait of a new call while the node checks its view after a pause, and
// the interval at which the call looks again.
constexpr auto GateWait = std::chrono::seconds(1);
constexpr auto GateInterval = std::chrono::milliseconds(20);
// Deadline of a keyed request whose route this node does not know. The key's
// owner applies that of its own configuration.
constexpr auto DefaultDeadline = std::chrono::seconds(10);
constexpr std::uint64_t LargestDeadlineMs = 86'400'000;

void setOutcome(std::vector<Header> &Headers, Outcome Value) {
  // A target that passes on an answer of its own calls must not be able to
  // set the outcome of this one.
  std::erase_if(Headers, [](const Header &Field) {
    return Field.Name_ == "x-marigold-outcome" ||
           Field.Name_ == "x-marigold-reason";
  });
  Headers.push_back({"x-marigold-outcome", std::string(outcomeText(Value))});
}

} // namespace

void CallerContext::refuseUnnamed(transport::HttpExchange &Exchange,
                                  ErrorCode Code) {
  Parts_.Metrics_.add(Metric::CallsTotal, 1, "none",
                      outcomeText(errorOutcome(Code)));
  Parts_.Metrics_.add(Metric::CallErrorsTotal, 1, "none", errorText(Code));
  Exchange.respond(transport::errorResponse(Code));
}

CallerCall::CallerCall(std::shared_ptr<CallerContext> Context,
                       transport::HttpRequest Request,
                       std::shared_ptr<transport::HttpExchange> Exchange)
    : Context_(std::move(Context)), Request_(std::move(Request)),
      Exchange_(std::move(Exchange)), Timer_(Context_->Parts_.Io_) {
  ++Context_->Open_;
}

CallerCall::~CallerCall() { --Context_->Open_; }

void CallerCall::start() {
  switch (Context_->Parts_.Environment_.gate()) {
  case CallGate::Open:
    begin();
    return;
  case CallGate::Held:
    waitForGate(Request_.Arrival_ + GateWait);
    return;
  case CallGate::Closed:
    refuse(ErrorCode::NotReady);
    return;
  }
}

void CallerCall::waitForGate(TimePoint Until) {
  CallGate Gate = Context_->Parts_.Environment_.gate();
  if (Gate == CallGate::Open) {
    begin();
    return;
  }
  if (Gate == CallGate::Closed || std::chrono::steady_clock::now() >= Until) {
    refuse(ErrorCode::NotReady);
    return;
  }
  Timer_.expires_after(GateInterval);
  Timer_.async_wait(
      [Self = shared_from_this(), Until](boost::system::error_code) {
        Self->waitForGate(Until);
      });
}

void CallerCall::begin() {
  auto Prepared = prepare();
  if (!Prepared) {
    refuse(Prepared.error().Code_);
    return;
  }
  State_->onCall(Request_.Arrival_);
  armDeadline();
  Exchange_->onDisconnect([Weak = weak_from_this()] {
    if (auto Self = Weak.lock())
      Self->onDisconnect();
  });
  attempt();
}

Result<void> CallerCall::prepare() {
  const CallerSideParts &Parts = Context_->Parts_;
  Snapshot_ = Parts.Environment_.snapshot();
  if (!Snapshot_)
    return fail(ErrorCode::NotReady);
  std::string_view Key = findHeader(Request_.Headers_, KeyField);
  bool Keyed = !Key.empty();
  if (Keyed) {
    BOOST_OUTCOME_TRY(auto Parsed,
                      calls::parseKey(Key, hash64(Parts.Settings_.Mesh_)));
    Owner_ = Parsed.Owner_;
    Tracker_ = calls::OutcomeTracker(calls::CallSide::CallerNode, true);
  }
  Service_ = Snapshot_->findService(Request_.Host_);
  if (!Service_)
    return fail(ErrorCode::UnknownService);

  // A keyed request may have run before, so that only the key's owner can say
  // that it did not; it makes these checks after it has claimed the key.
  auto Route =
      Snapshot_->matchRoute(Request_.Host_, Request_.Method_, Request_.Target_);
  if (!Route && !Keyed)
    return Route.error();
  if (Route && !Keyed && Request_.Body_.size() > Route.value()->MaxBody_)
    return fail(ErrorCode::BodyTooLarge);
  Duration Limit = Route ? Duration(Route.value()->Deadline_) : DefaultDeadline;
  std::string_view Own = findHeader(Request_.Headers_, DeadlineField);
  if (!Own.empty()) {
    auto Given = parseNumber(Own, LargestDeadlineMs);
    if (Given)
      Limit =
          std::min<Duration>(Limit, std::chrono::milliseconds(Given.value()));
    else if (!Keyed)
      return fail(ErrorCode::MalformedRequest, "x-marigold-deadline-ms");
  }
  std::string_view Above = findHeader(Request_.Headers_, DepthField);
  std::uint64_t Depth = 0;
  if (!Above.empty()) {
    auto Given = parseNumber(Above, 254);
    if (!Given && !Keyed)
      return fail(ErrorCode::MalformedRequest, "x-marigold-depth");
    Depth = Given ? Given.value() + 1 : 255;
  }
  if (Depth > Parts.Settings_.MaxDepth_ && !Keyed)
    return fail(ErrorCode::DepthExceeded);

  Deadline_ = calls::Deadline::after(Request_.Arrival_, Limit);
  Start_.Service_ = Request_.Host_;
  Start_.Method_ = Request_.Method_;
  Start_.Path_ = Request_.Target_;
  Start_.Key_ = Key;
  Start_.Depth_ = static_cast<std::uint8_t>(Depth);
  Start_.Repeatable_ = Route && Route.value()->Repeatable_ && !Keyed;
  Start_.Priority_ = Route ? Route.value()->Priority_ : Priority::Normal;
  Start_.Headers_ = std::move(Request_.Headers_);
  std::erase_if(Start_.Headers_, [](const Header &Field) {
    return Field.Name_ == DeadlineField || Field.Name_ == DepthField;
  });
  if (!Request_.Body_.empty())
    Body_ = std::make_shared<const std::string>(std::move(Request_.Body_));
  State_ = &Context_->Pools_.of(*Service_, Snapshot_->version());
  return success();
}

void CallerCall::armDeadline() {
  Timer_.expires_at(Deadline_.at());
  Timer_.async_wait([Weak = weak_from_this()](boost::system::error_code Error) {
    auto Self = Weak.lock();
    if (!Error && Self)
      Self->onDeadline();
  });
}

// Attempts. Each has a number; events of an earlier one are ignored.

Result<HostId> CallerCall::chooseHost(TimePoint Now) {
  if (!Owner_)
    return State_->choose(Tried_, Now);
  // Only known hosts are called: the key comes from the caller, and its
  // checksum does not prove who made it.
  if (!State_->startCall(*Owner_, Now))
    return fail(ErrorCode::KeyOwnerUnreachable);
  return *Owner_;
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
      if (!Tracker_.chosen())
        return;
      Host = Chosen.value();
      Number = Tracker_.attempts();
      Tried_.push_back(*Host);
      HandedOver_ = false;
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

void CallerCall::send(const HostId &Host, unsigned Attempt) {
  CallerSideParts &Parts = Context_->Parts_;
  if (Parts.Local_ && Host == toHostId(Parts.Settings_.PeerAddress_)) {
    sendLocal(Host, Attempt);
    return;
  }
  Parts.Peers_.get(Host, [Self = shared_from_this(), Host,
                          Attempt](Result<transport::PeerConnectionPtr> Value) {
    if (Value)
      Self->sendOver(Host, Value.value(), Attempt);
    else
      Self->onConnectFailed(Host, Attempt, Value.error());
  });
}

bool CallerCall::handOver(unsigned Attempt) {
  std::lock_guard Lock(Mutex_);
  if (Ended_ || Tracker_.attempts() != Attempt)
    return false;
  // From here on the request may reach the target's node at any time.
  HandedOver_ = true;
  return true;
}

CallStart CallerCall::makeStart() const {
  CallStart Start = Start_;
  Start.Remaining_ = std::chrono::duration_cast<std::chrono::microseconds>(
      Deadline_.forNextLevel(std::chrono::steady_clock::now()));
  return Start;
}

void CallerCall::sendOver(const HostId &Host,
                          const transport::PeerConnectionPtr &Connection,
                          unsigned Attempt) {
  TimePoint Sent = std::chrono::steady_clock::now();
  if (!handOver(Attempt)) {
    reportCancelled(Host, Attempt);
    return;
  }
  std::uint32_t Stream =
      Connection->call(makeStart(), Body_,
                       [Self = shared_from_this(), Host, Attempt,
                        Sent](transport::StreamResult Value) {
                         Self->onStream(Host, Attempt, Sent, std::move(Value));
                       });
  bool Late = false;
  {
    std::lock_guard Lock(Mutex_);
    Late = Ended_;
    if (!Late && Tracker_.attempts() == Attempt) {
      Connection_ = Connection;
      Stream_ = Stream;
    }
  }
  if (!Late)
    return;
  Connection->cancel(Stream);
  reportCancelled(Host, Attempt);
}

void CallerCall::sendLocal(const HostId &Host, unsigned Attempt) {
  TimePoint Sent = std::chrono::steady_clock::now();
  if (!handOver(Attempt)) {
    reportCancelled(Host, Attempt);
    return;
  }
  TargetSide &Local = *Context_->Parts_.Local_;
  std::uint64_t Number =
      Local.callLocal(makeStart(), Body_,
                      [Self = shared_from_this(), Host, Attempt,
                       Sent](transport::StreamResult Value) {
                        Self->onStream(Host, Attempt, Sent, std::move(Value));
                      });
  bool Late = false;
  {
    std::lock_guard Lock(Mutex_);
    Late = Ended_;
    if (!Late && Tracker_.attempts() == Attempt)
      LocalNumber_ = Number;
  }
  if (Late)
    Local.cancelLocal(Number);
}

void CallerCall::onConnectFailed(const HostId &Host, unsigned Attempt,
                                 const Failure &Why) {
  report(Host, Attempt, {ErrorCode::ConnectionFailed, false, {}, {}});
  if (Why.Code_ != ErrorCode::ProtocolVersion)
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
  routing::CallSample Sample;
  auto *Refusal = std::get_if<CallRefused>(&Value);
  auto *Lost = std::get_if<transport::StreamLost>(&Value);
  if (Refusal) {
    Sample.Error_ =
        errorFromNumber(Refusal->Code_).value_or(ErrorCode::MalformedAnswer);
    Sample.Load_ = Refusal->Load_;
  } else {
    Sample.Error_ = Lost && !Lost->Written_ ? ErrorCode::ConnectionFailed
                                            : ErrorCode::NodeLost;
    if (Lost && Lost->Why_.Code_ == ErrorCode::ConnectionFailed)
      Context_->Parts_.Environment_.reportHostFailure(Host);
  }
  report(Host, Attempt, Sample);
  {
    std::lock_guard Lock(Mutex_);
    if (Ended_ || Tracker_.attempts() != Attempt)
      return;
    Connection_.reset();
    LocalNumber_.reset();
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
  }
  onAttemptFailed(Attempt);
}

void CallerCall::onReply(const HostId &Host, unsigned Attempt, TimePoint Sent,
                         transport::PeerReply Reply) {
  TimePoint Now = std::chrono::steady_clock::now();
  report(Host, Attempt,
         {std::nullopt, Reply.Start_.Status_ >= 500, Now - Sent,
          Reply.End_.Load_});
  {
    std::lock_guard Lock(Mutex_);
    if (Ended_ || Tracker_.attempts() != Attempt)
      return;
    Tracker_.sentFirstByte();
    Tracker_.firstAnswerByte();
    Tracker_.answerComplete();
    Ended_ = true;
    Connection_.reset();
    LocalNumber_.reset();
    Timer_.cancel();
  }
  Duration Latency = Now - Request_.Arrival_;
  State_->Counters_.Ok_.fetch_add(1, std::memory_order_relaxed);
  if (Latency > Service_->Objective_.Latency_)
    State_->Counters_.Slow_.fetch_add(1, std::memory_order_relaxed);
  Context_->Parts_.Metrics_.observe(Metric::CallLatencySeconds, Latency,
                                    Service_->Name_);
  HttpResponse Response;
  Response.Status_ = Reply.Start_.Status_;
  Response.Headers_ = std::move(Reply.Start_.Headers_);
  Response.Body_ = std::move(Reply.Body_);
  setOutcome(Response.Headers_, Outcome::Ok);
  Exchange_->respond(std::move(Response));
}

void CallerCall::onAttemptFailed(unsigned Attempt) {
  calls::AttemptState State;
  calls::Verdict Verdict;
  {
    std::lock_guard Lock(Mutex_);
    if (Ended_ || Tracker_.attempts() != Attempt)
      return;
    State.Reason_ = Tracker_.lastReason().value_or(ErrorCode::NoTarget);
    State.Attempts_ = Tracker_.attempts();
    State.UnknownAttempts_ = UnknownAttempts_;
    State.MayHaveRun_ = Tracker_.mayHaveRun();
    State.Repeatable_ = Start_.Repeatable_;
    State.Keyed_ = Owner_.has_value();
    Verdict = Tracker_.verdict();
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

// Ends without an answer.

void CallerCall::onDeadline() {
  endEarly(&calls::OutcomeTracker::deadlinePassed, ErrorCode::DeadlineExceeded);
}

void CallerCall::onDisconnect() {
  endEarly(&calls::OutcomeTracker::cancelled, ErrorCode::Cancelled);
}

void CallerCall::endEarly(void (calls::OutcomeTracker::*Event)(),
                          ErrorCode Code) {
  {
    std::lock_guard Lock(Mutex_);
    if (Ended_)
      return;
    if (HandedOver_)
      Tracker_.sentFirstByte();
    (Tracker_.*Event)();
    Code = Tracker_.verdict().Reason_.value_or(Code);
  }
  cancelAttempt();
  finishWithError(Code);
}

void CallerCall::cancelAttempt() {
  transport::PeerConnectionPtr Connection;
  std::optional<std::uint64_t> Number;
  std::uint32_t Stream = 0;
  HostId Host;
  unsigned Attempt = 0;
  {
    std::lock_guard Lock(Mutex_);
    Attempt = Tracker_.attempts();
    Connection = std::exchange(Connection_, nullptr);
    Number = std::exchange(LocalNumber_, std::nullopt);
    Stream = Stream_;
    if (!Tried_.empty())
      Host = Tried_.back();
  }
  if (Connection) {
    Connection->cancel(Stream);
    // The connection reports nothing more for a cancelled stream.
    reportCancelled(Host, Attempt);
  }
  if (Number)
    Context_->Parts_.Local_->cancelLocal(*Number);
}

void CallerCall::report(const HostId &Host, unsigned Attempt,
                        const routing::CallSample &Sample) {
  {
    std::lock_guard Lock(Mutex_);
    if (Reported_ >= Attempt)
      return;
    Reported_ = Attempt;
  }
  State_->onResult(Host, Sample, std::chrono::steady_clock::now());
}

void CallerCall::reportCancelled(const HostId &Host, unsigned Attempt) {
  report(Host, Attempt, {ErrorCode::Cancelled, false, {}, {}});
}

void CallerCall::refuse(ErrorCode Code) {
  {
    std::lock_guard Lock(Mutex_);
    if (Ended_)
      return;
    Tracker_.refused(Code);
    calls::Verdict Verdict = Tracker_.verdict();
    if (Verdict.Outcome_ != errorOutcome(Code))
      Code = Verdict.Reason_.value_or(Code);
  }
  finishWithError(Code);
}

void CallerCall::finishWithError(ErrorCode Code) {
  {
    std::lock_guard Lock(Mutex_);
    if (std::exchange(Ended_, true))
      return;
    Timer_.cancel();
  }
  if (!State_) {
    Context_->refuseUnnamed(*Exchange_, Code);
    return;
  }
  std::atomic<std::int64_t> &Counter = errorOutcome(Code) == Outcome::NotRun
                                           ? State_->Counters_.NotRun_
                                           : State_->Counters_.Unknown_;
  Counter.fetch_add(1, std::memory_order_relaxed);
  Context_->Parts_.Metrics_.add(Metric::CallErrorsTotal, 1, Service_->Name_,
                                errorText(Code));
  Exchange_->respond(transport::errorResponse(Code));
}

} // namespace marigold::node
