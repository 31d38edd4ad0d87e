#include "Node/CallerCall.h"

#include "Calls/Patience.h"
#include "Calls/RequestKey.h"
#include "Support/Addresses.h"
#include "Support/Digest.h"
#include "Support/Log.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace marigold::node {

using transport::findHeader;
using transport::HttpResponse;

namespace {

// Longest wait of a new call while the node checks its view after a pause, and
// the interval at which the call looks again.
constexpr auto GateWait = std::chrono::seconds(1);
constexpr auto GateInterval = std::chrono::milliseconds(20);
// Deadline of a keyed request whose route this node does not know. The key's
// owner applies that of its own configuration.
constexpr auto DefaultDeadline = std::chrono::seconds(10);
constexpr std::uint64_t LargestDeadlineMs = 86'400'000;
// Splits kept at once. Routes that are gone leave theirs behind; beyond this
// number all are made anew.
constexpr std::size_t SplitsKept = 4096;
// Time after which a refused caller may come back when no target's node gave
// an estimate: about the run of one request.
constexpr std::chrono::milliseconds DefaultReturn{200};
// Longest time that is named to a refused caller.
constexpr std::chrono::milliseconds LongestReturn{1000};

std::string millisecondsText(Duration Value) {
  return std::to_string(
      std::chrono::duration_cast<std::chrono::milliseconds>(Value).count());
}

/// What the end of a call says of its host.
routing::CallSample sampleOf(const transport::StreamResult &Value,
                             Duration Latency) {
  routing::CallSample Sample;
  if (const auto *Reply = std::get_if<transport::PeerReply>(&Value)) {
    Sample.ServerError_ = Reply->Start_.Status_ >= 500;
    Sample.Latency_ = Latency;
    Sample.Load_ = Reply->End_.Load_;
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

const std::string &CallerContext::chooseService(const VirtualHost &Host,
                                                const HostRoute &Route) {
  if (Route.Targets_.size() == 1)
    return Route.Targets_.front().Service_;
  std::lock_guard Lock(SplitMutex_);
  if (Splits_.size() > SplitsKept)
    Splits_.clear();
  std::pair Key(Host.Name_, Route.Prefix_);
  auto Position = Splits_.find(Key);
  if (Position == Splits_.end() || !Position->second.matches(Route.Targets_))
    Position = Splits_
                   .insert_or_assign(
                       std::move(Key),
                       routing::WeightedSplit(Route.Targets_, SplitSeeds_))
                   .first;
  return Route.Targets_[Position->second.next()].Service_;
}

CallerCall::CallerCall(std::shared_ptr<CallerContext> Context,
                       transport::HttpRequest Request,
                       std::shared_ptr<transport::HttpExchange> Exchange)
    : Context_(std::move(Context)), Request_(std::move(Request)),
      Exchange_(std::move(Exchange)), Timer_(Context_->Parts_.Io_),
      Tracker_(calls::CallSide::CallerNode, !requestKey().empty()) {}

CallerCall::~CallerCall() { Context_->removeOpen(this); }

void CallerContext::addOpen(const std::shared_ptr<CallerCall> &Call) {
  std::lock_guard Lock(OpenMutex_);
  Open_.emplace(Call.get(), Call);
}

void CallerContext::removeOpen(const CallerCall *Call) {
  std::lock_guard Lock(OpenMutex_);
  Open_.erase(Call);
}

std::vector<std::shared_ptr<CallerCall>> CallerContext::openCalls() {
  std::vector<std::shared_ptr<CallerCall>> Calls;
  std::lock_guard Lock(OpenMutex_);
  for (const auto &[Key, Weak] : Open_)
    if (auto Call = Weak.lock())
      Calls.push_back(std::move(Call));
  return Calls;
}

std::size_t CallerContext::countOpen() {
  std::lock_guard Lock(OpenMutex_);
  return Open_.size();
}

void CallerCall::start() {
  Context_->addOpen(shared_from_this());
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
  {
    std::lock_guard Lock(Mutex_);
    armTimer();
  }
  Exchange_->onDisconnect([Weak = weak_from_this()] {
    if (auto Self = Weak.lock())
      Self->onDisconnect();
  });
  attempt();
}

std::string_view CallerCall::requestKey() const {
  const std::string &Name = Context_->Parts_.Dialect_.Key_;
  return Name.empty() ? std::string_view()
                      : findHeader(Request_.Headers_, Name);
}

Result<void> CallerCall::prepare() {
  const CallerSideParts &Parts = Context_->Parts_;
  Snapshot_ = Parts.Environment_.snapshot();
  if (!Snapshot_)
    return fail(ErrorCode::NotReady);
  if (const VirtualHost *Host = Snapshot_->findHost(Request_.Host_))
    return prepareRouted(*Host);
  const HttpDialect &Dialect = Parts.Dialect_;
  std::string_view Key = requestKey();
  bool Keyed = !Key.empty();
  if (Keyed) {
    BOOST_OUTCOME_TRY(auto Parsed,
                      calls::parseKey(Key, hash64(Parts.Settings_.Mesh_)));
    Owner_ = Parsed.Owner_;
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
  std::string_view Own = findHeader(Request_.Headers_, Dialect.Deadline_);
  if (!Own.empty()) {
    auto Given = parseNumber(Own, LargestDeadlineMs);
    if (Given)
      Limit =
          std::min<Duration>(Limit, std::chrono::milliseconds(Given.value()));
    else if (!Keyed)
      return fail(ErrorCode::MalformedRequest, Dialect.Deadline_);
  }
  std::string_view Above = findHeader(Request_.Headers_, Dialect.Depth_);
  std::uint64_t Depth = 0;
  if (!Above.empty()) {
    auto Given = parseNumber(Above, 254);
    if (!Given && !Keyed)
      return fail(ErrorCode::MalformedRequest, Dialect.Depth_);
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
  if (Route)
    RouteName_ = Route.value()->Path_;
  takeMessage();
  return success();
}

void CallerCall::takeMessage() {
  const HttpDialect &Dialect = Context_->Parts_.Dialect_;
  Start_.Headers_ = std::move(Request_.Headers_);
  std::erase_if(Start_.Headers_, [&](const Header &Field) {
    return Field.Name_ == Dialect.Deadline_ || Field.Name_ == Dialect.Depth_ ||
           Field.Name_ == Dialect.CallerService_ ||
           Field.Name_ == Dialect.ExpectedInstance_;
  });
  if (!Dialect.RequestId_.empty())
    RequestId_ = findHeader(Start_.Headers_, Dialect.RequestId_);
  if (!Request_.Body_.empty())
    Body_ = std::make_shared<const std::string>(std::move(Request_.Body_));
  State_ = &Context_->Pools_.of(*Service_, Snapshot_->version());
}

Result<void> CallerCall::prepareRouted(const VirtualHost &Host) {
  // Virtual hosts have no keys.
  Tracker_ = calls::OutcomeTracker(calls::CallSide::CallerNode);
  const CallerSideParts &Parts = Context_->Parts_;
  const HostRoute *Route =
      config::Snapshot::matchHostRoute(Host, Request_.Target_);
  if (!Route)
    return fail(ErrorCode::NoRoute, Request_.Host_);
  Service_ = Snapshot_->findService(Context_->chooseService(Host, *Route));
  if (!Service_)
    return fail(ErrorCode::UnknownService, Request_.Host_);
  Duration Limit = Route->Deadline_;
  auto Given =
      parseNumber(findHeader(Request_.Headers_, Parts.Dialect_.Deadline_),
                  LargestDeadlineMs);
  if (Given)
    Limit = std::min<Duration>(Limit, std::chrono::milliseconds(Given.value()));
  Deadline_ = calls::Deadline::after(Request_.Arrival_, Limit);
  Objective_ = Route->Objective_;
  ObjectiveAt_ = Request_.Arrival_ + Route->Objective_;
  MaxTargets_ = Route->Attempts_;
  Start_.Service_ = Service_->Name_;
  Start_.Host_ = Request_.Host_;
  RouteName_ = Request_.Host_ + Route->Prefix_;
  Start_.Kind_ = static_cast<std::uint32_t>(hash64(RouteName_));
  Start_.Routed_ = true;
  Start_.Caller_ = Parts.Environment_.ownTarget().ConfiguredService_;
  Start_.Method_ = Request_.Method_;
  Start_.Path_ = Request_.Target_;
  Start_.Repeatable_ = Route->Repeatable_;
  Start_.Priority_ = Route->Priority_;
  takeMessage();
  return success();
}

void CallerCall::armTimer() {
  Timer_.expires_at(std::min(Deadline_.at(), AttemptEnd_));
  Timer_.async_wait([Weak = weak_from_this()](boost::system::error_code Error) {
    auto Self = Weak.lock();
    if (!Error && Self)
      Self->onTimer();
  });
}

void CallerCall::onTimer() {
  TimePoint Now = std::chrono::steady_clock::now();
  unsigned Attempt = 0;
  {
    std::lock_guard Lock(Mutex_);
    // The timer may have been set anew while this call was queued.
    if (Ended_ || Now < Timer_.expiry())
      return;
    Attempt = Tracker_.attempts();
  }
  if (Deadline_.passed(Now))
    onDeadline();
  else
    hedge(Attempt);
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
  limitAttempt();
  return true;
}

void CallerCall::limitAttempt() {
  TimePoint Now = std::chrono::steady_clock::now();
  calls::AttemptTiming Timing;
  Timing.Objective_ = Objective_;
  Timing.Remaining_ = Deadline_.at() - Now;
  Timing.Repeatable_ = Start_.Repeatable_;
  Timing.AnotherAttempt_ = ReachedTargets_ + 1 < MaxTargets_;
  auto Limit = calls::attemptLimit(Timing);
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
  auto Chosen = State_->choose(Tried, Now);
  if (!Chosen)
    return;
  bool Late = false;
  {
    std::lock_guard Lock(Mutex_);
    Late = Ended_;
    if (!Late) {
      Hedge_.emplace();
      Hedge_->Host_ = Chosen.value();
      // The last one is the host of the attempt that goes on.
      Tried_.insert(Tried_.begin(), Chosen.value());
      ++ReachedTargets_;
    }
  }
  if (Late) {
    State_->onResult(Chosen.value(), {ErrorCode::Cancelled, false, {}, {}},
                     Now);
    return;
  }
  State_->Counters_.Retries_.fetch_add(1, std::memory_order_relaxed);
  sendHedge(Chosen.value());
}

void CallerCall::sendHedge(const HostId &Host) {
  CallerSideParts &Parts = Context_->Parts_;
  TimePoint Sent = std::chrono::steady_clock::now();
  if (Parts.Local_ && Host == toHostId(Parts.Settings_.PeerAddress_)) {
    std::uint64_t Number = Parts.Local_->callLocal(
        makeStart(), Body_,
        [Self = shared_from_this(), Host, Sent](transport::StreamResult Value) {
          Self->onHedge(Host, Sent, std::move(Value));
        });
    bool Late = false;
    {
      std::lock_guard Lock(Mutex_);
      Late = Ended_;
      Hedge_->Sent_.LocalNumber_ = Number;
    }
    if (Late)
      Parts.Local_->cancelLocal(Number);
    return;
  }
  Parts.Peers_.get(Host, [Self = shared_from_this(), Host,
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
  }
  TimePoint Sent = std::chrono::steady_clock::now();
  std::uint32_t Stream = Connection->call(
      makeStart(), Body_,
      [Self = shared_from_this(), Host, Sent](transport::StreamResult Value) {
        Self->onHedge(Host, Sent, std::move(Value));
      });
  bool Late = false;
  {
    std::lock_guard Lock(Mutex_);
    Late = Ended_;
    if (!Late) {
      Hedge_->Sent_ = {Connection, Stream, {}};
    }
  }
  if (Late)
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
    // cancelHedge has reported it then.
    if (!hedgePending())
      return;
    Hedge_->Pending_ = false;
    Hedge_->Sent_ = {};
    if (!Ended_ && !Failed)
      Ended_ = true;
    else if (!Ended_)
      End = EndsWith_;
    if (Reply && Failed && !Fallback_)
      Fallback_ = std::move(*Reply);
    Trace_ += (Trace_.empty() ? "" : ",") + toText(Host) +
              (Failed ? "/hedge-failed" : "/hedge-ok");
  }
  State_->onResult(Host, sampleOf(Value, Now - Sent), Now);
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

CallStart CallerCall::makeStart() const {
  CallStart Start = Start_;
  TimePoint Now = std::chrono::steady_clock::now();
  Start.Remaining_ = std::chrono::duration_cast<std::chrono::microseconds>(
      Deadline_.forNextLevel(Now));
  if (Start.Routed_)
    Start.Objective_ = std::chrono::duration_cast<std::chrono::microseconds>(
        ObjectiveAt_ - Now);
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
      Sent_ = {Connection, Stream, {}};
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
      Sent_.LocalNumber_ = Number;
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
  auto *Refusal = std::get_if<CallRefused>(&Value);
  auto *Lost = std::get_if<transport::StreamLost>(&Value);
  std::chrono::milliseconds RefusedAfter{};
  if (Refusal)
    RefusedAfter = Refusal->RetryAfter_;
  if (Lost && Lost->Why_.Code_ == ErrorCode::ConnectionFailed)
    Context_->Parts_.Environment_.reportHostFailure(Host);
  report(Host, Attempt, sampleOf(Value, Duration::zero()));
  {
    std::lock_guard Lock(Mutex_);
    if (Ended_ || Tracker_.attempts() != Attempt)
      return;
    Sent_ = {};
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
          Reply.End_.Load_});
  if (Reply.Start_.Status_ >= 500 && retryAnswer(Attempt, Reply))
    return;
  {
    std::lock_guard Lock(Mutex_);
    if (Ended_ || Tracker_.attempts() != Attempt)
      return;
    if (Reply.Start_.Status_ >= 500 && hedgePending()) {
      // The hedge may still do better.
      Fallback_ = std::move(Reply);
      EndsWith_ = ErrorCode::TargetLost;
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

void CallerCall::respond(transport::PeerReply Reply) {
  Duration Latency = std::chrono::steady_clock::now() - Request_.Arrival_;
  Duration Objective =
      Start_.Routed_ ? Objective_ : Duration(Service_->Objective_.Latency_);
  State_->Counters_.Ok_.fetch_add(1, std::memory_order_relaxed);
  if (Latency > Objective)
    State_->Counters_.Slow_.fetch_add(1, std::memory_order_relaxed);
  Context_->Parts_.Metrics_.observe(Metric::CallLatencySeconds, Latency,
                                    Service_->Name_, RouteName_);
  log(Outcome::Ok, Reply.Start_.Status_, "answered");
  HttpResponse Response;
  Response.Status_ = Reply.Start_.Status_;
  Response.Headers_ = std::move(Reply.Start_.Headers_);
  Response.Body_ = std::move(Reply.Body_);
  setOutcome(Response.Headers_, Outcome::Ok);
  Exchange_->respond(std::move(Response));
}

void CallerCall::log(Outcome Result, unsigned Status,
                     std::string_view Reason) const {
  TimePoint Now = std::chrono::steady_clock::now();
  if (!Context_->Log_.admits(Result != Outcome::Ok || Status >= 500, Now))
    return;
  const CallEnvironment &Environment = Context_->Parts_.Environment_;
  logEvent(
      Result == Outcome::Ok ? LogLevel::Info : LogLevel::Warning, "call_ended",
      {{"id", RequestId_},
       {"route", Request_.Host_ + Request_.Target_},
       {"service", Service_ ? Service_->Name_ : "-"},
       {"caller_service", Start_.Caller_},
       {"outcome", std::string(outcomeText(Result))},
       {"status", std::to_string(Status)},
       {"reason", std::string(Reason)},
       {"repeatable", Start_.Repeatable_ ? "true" : "false"},
       {"tried", Trace_},
       {"latency_ms", millisecondsText(Now - Request_.Arrival_)},
       {"limit_ms", Deadline_.at() == TimePoint::max()
                        ? "none"
                        : millisecondsText(Deadline_.at() - Request_.Arrival_)},
       {"config", Snapshot_ ? toText(Snapshot_->version()) : "none"},
       {"targets_age_ms", millisecondsText(Environment.targetsAge(Now))}});
}

calls::AttemptState CallerCall::attemptState(ErrorCode Reason) const {
  calls::AttemptState State;
  State.Reason_ = Reason;
  State.Attempts_ = Tracker_.attempts();
  State.UnknownAttempts_ = UnknownAttempts_;
  State.MayHaveRun_ = Tracker_.mayHaveRun();
  State.Repeatable_ = Start_.Repeatable_;
  State.Keyed_ = Owner_.has_value();
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
      EndsWith_ = Verdict.Reason_.value_or(State.Reason_);
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
  // The connection reports nothing more for a cancelled stream.
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
  std::optional<transport::PeerReply> Fallback;
  {
    std::lock_guard Lock(Mutex_);
    if (std::exchange(Ended_, true))
      return;
    Timer_.cancel();
    Fallback = std::exchange(Fallback_, std::nullopt);
  }
  cancelHedge();
  // An answer of a target, even a failure, says more than that no further
  // target could be asked.
  if (Fallback && Code != ErrorCode::Cancelled) {
    respond(std::move(*Fallback));
    return;
  }
  log(errorOutcome(Code), errorStatus(Code), errorText(Code));
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
  HttpResponse Response = transport::errorResponse(Code);
  if (Response.Status_ == 503 || Response.Status_ == 429)
    Response.Headers_.push_back({"retry-after", returnText()});
  Exchange_->respond(std::move(Response));
}

std::string CallerCall::returnText() {
  auto Expected = RetryAfter_.count() == 0 ? DefaultReturn : RetryAfter_;
  auto Return = State_->spreadReturn(std::min(Expected, LongestReturn));
  std::array<char, 16> Text{};
  std::snprintf(Text.data(), Text.size(), "%.3f",
                std::chrono::duration<double>(Return).count());
  return Text.data();
}

} // namespace marigold::node
