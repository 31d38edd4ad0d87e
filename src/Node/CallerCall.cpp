#include "Node/CallerCall.h"

#include "Node/CallInterface.h"

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

// Longest wait of a new call while the node checks its membership view after a
// pause of the process, and the interval at which the call polls the gate.
constexpr auto MaxGateWait = std::chrono::seconds(1);
constexpr auto GatePollInterval = std::chrono::milliseconds(20);
// Deadline of a keyed request that matches no route of this node. The key's
// owner applies the deadline from its own configuration.
constexpr auto DefaultDeadline = std::chrono::seconds(10);
constexpr std::uint64_t MaxDeadlineMs = 86'400'000;
// Retry-After if no refusing node gave an estimate: about the run time of one
// request.
constexpr std::chrono::milliseconds DefaultRetryAfter{200};
// Upper limit of Retry-After before jitterRetryAfter adds its random part.
constexpr std::chrono::milliseconds MaxRetryAfter{1000};

std::string millisecondsText(Duration Value) {
  return std::to_string(
      std::chrono::duration_cast<std::chrono::milliseconds>(Value).count());
}

void setOutcome(std::vector<Header> &Headers, Outcome Value) {
  // A target may pass on the answer to a call of its own. The outcome fields of
  // that answer must not be taken for the outcome of this call.
  std::erase_if(Headers, [](const Header &Field) {
    return Field.Name_ == "x-marigold-outcome" ||
           Field.Name_ == "x-marigold-reason";
  });
  Headers.push_back({"x-marigold-outcome", std::string(outcomeText(Value))});
}

} // namespace

CallerCall::CallerCall(std::shared_ptr<CallerContext> Context,
                       transport::HttpRequest Request,
                       std::shared_ptr<transport::HttpExchange> Exchange)
    : Context_(std::move(Context)), Request_(std::move(Request)),
      Exchange_(std::move(Exchange)), Timer_(Context_->Parts_.Io_),
      Tracker_(calls::CallSide::CallerNode, !requestKey().empty()) {}

CallerCall::~CallerCall() { Context_->removeOpen(this); }

void CallerCall::start() {
  Context_->addOpen(shared_from_this());
  if (Context_->RefusesNewCalls_) {
    refuse(ErrorCode::Draining);
    return;
  }
  switch (Context_->Parts_.Environment_.gate()) {
  case CallGate::Open:
    begin();
    return;
  case CallGate::Held:
    waitForGate(Request_.Arrival_ + MaxGateWait);
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
  Timer_.expires_after(GatePollInterval);
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
  const std::string &Name = Context_->Parts_.HeaderNames_.Key_;
  return Name.empty() ? std::string_view()
                      : findHeader(Request_.Headers_, Name);
}

Result<void> CallerCall::prepare() {
  const CallerProxyParts &Parts = Context_->Parts_;
  Snapshot_ = Parts.Environment_.snapshot();
  if (!Snapshot_)
    return fail(ErrorCode::NotReady);
  const HttpHeaderNames &Names = Parts.HeaderNames_;
  if (interfaceOf(Request_, Names, Snapshot_.get()) ==
      CallInterface::VirtualHost)
    return prepareRouted();
  std::string_view Key = requestKey();
  bool Keyed = !Key.empty();
  if (Keyed) {
    BOOST_OUTCOME_TRY(auto Parsed,
                      calls::parseKey(Key, hash64(Parts.Settings_.Mesh_)));
    KeyOwner_ = Parsed.Owner_;
  }
  Service_ = Snapshot_->findService(Request_.Host_);
  if (!Service_)
    return fail(ErrorCode::UnknownService);

  // A keyed request may already have run, and only the key's owner can tell
  // that it did not. The owner makes these checks after it has claimed the key.
  auto Route =
      Snapshot_->matchRoute(Request_.Host_, Request_.Method_, Request_.Target_);
  if (!Route && !Keyed)
    return Route.error();
  if (Route && !Keyed && Request_.Body_.size() > Route.value()->MaxBody_)
    return fail(ErrorCode::BodyTooLarge);
  Duration Limit = Route ? Duration(Route.value()->Deadline_) : DefaultDeadline;
  std::string_view DeadlineText =
      findHeader(Request_.Headers_, Names.Deadline_);
  if (!DeadlineText.empty()) {
    auto Given = parseNumber(DeadlineText, MaxDeadlineMs);
    if (Given)
      Limit =
          std::min<Duration>(Limit, std::chrono::milliseconds(Given.value()));
    else if (!Keyed)
      return fail(ErrorCode::MalformedRequest, Names.Deadline_);
  }
  std::string_view DepthText = findHeader(Request_.Headers_, Names.Depth_);
  std::uint64_t Depth = 0;
  if (!DepthText.empty()) {
    auto Given = parseNumber(DepthText, 254);
    if (!Given && !Keyed)
      return fail(ErrorCode::MalformedRequest, Names.Depth_);
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
  takeHeadersAndBody();
  return success();
}

void CallerCall::takeHeadersAndBody() {
  const HttpHeaderNames &Names = Context_->Parts_.HeaderNames_;
  Start_.Headers_ = std::move(Request_.Headers_);
  std::erase_if(Start_.Headers_, [&](const Header &Field) {
    return Field.Name_ == Names.Deadline_ || Field.Name_ == Names.Depth_ ||
           Field.Name_ == Names.CallerService_ ||
           Field.Name_ == Names.ExpectedInstance_;
  });
  if (!Names.RequestId_.empty())
    RequestId_ = findHeader(Start_.Headers_, Names.RequestId_);
  if (Names.AssignRequestId_ && RequestId_.empty()) {
    RequestId_ = Context_->newRequestId();
    std::erase_if(Start_.Headers_, [&](const Header &Field) {
      return Field.Name_ == Names.RequestId_;
    });
    Start_.Headers_.push_back({Names.RequestId_, RequestId_});
  }
  if (!Request_.Body_.empty())
    Body_ = std::make_shared<const std::string>(std::move(Request_.Body_));
  State_ = &Context_->Pools_.stateOf(*Service_, Snapshot_->version());
}

Result<void> CallerCall::prepareRouted() {
  // Idempotency keys do not apply to virtual hosts.
  Tracker_ = calls::OutcomeTracker(calls::CallSide::CallerNode);
  const CallerProxyParts &Parts = Context_->Parts_;
  const VirtualHost *Host = Snapshot_->findHost(Request_.Host_);
  const HostRoute *Route =
      Host ? config::Snapshot::matchHostRoute(*Host, Request_.Target_)
           : nullptr;
  if (!Route)
    return fail(ErrorCode::NoRoute, Request_.Host_);
  const std::string &Service = Context_->chooseService(*Host, *Route);
  if (Service == config::NoService)
    return fail(ErrorCode::RouteUnusable, Request_.Host_);
  Service_ = Snapshot_->findService(Service);
  if (!Service_)
    return fail(ErrorCode::UnknownService, Request_.Host_);
  Duration Limit = Route->Deadline_;
  auto Given =
      parseNumber(findHeader(Request_.Headers_, Parts.HeaderNames_.Deadline_),
                  MaxDeadlineMs);
  if (Given)
    Limit = std::min<Duration>(Limit, std::chrono::milliseconds(Given.value()));
  Deadline_ = calls::Deadline::after(Request_.Arrival_, Limit);
  Objective_ = Route->Objective_;
  ObjectiveDeadline_ = Request_.Arrival_ + Route->Objective_;
  // The objective counts from the first attempt. Calls that running requests
  // make state the rest of their time, which says nothing about their age; they
  // have a higher priority than the lowest one.
  if (Given && Route->Repeatable_ && Route->Priority_ == Priority::Background)
    Age_ = Context_->ageOf(Request_.Host_ + Route->Prefix_,
                           std::chrono::milliseconds(Given.value()),
                           Request_.Arrival_);
  ObjectiveDeadline_ -= Age_;
  MaxTargets_ = Route->Attempts_;
  Start_.Service_ = Service_->Name_;
  Start_.Host_ = Request_.Host_;
  RouteName_ = Request_.Host_ + Route->Prefix_;
  Start_.Kind_ = static_cast<std::uint32_t>(hash64(RouteName_));
  Start_.Routed_ = true;
  if (Parts.BeforeCall_)
    Parts.BeforeCall_();
  Start_.Caller_ = Parts.Environment_.ownTarget().ConfiguredService_;
  Start_.Method_ = Request_.Method_;
  Start_.Path_ = Request_.Target_;
  Start_.Repeatable_ = Route->Repeatable_;
  Start_.Priority_ = Route->Priority_;
  takeHeadersAndBody();
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
    // The timer may have been rearmed while this handler was queued.
    if (Ended_ || Now < Timer_.expiry())
      return;
    Attempt = Tracker_.attempts();
  }
  if (Deadline_.passed(Now))
    onDeadline();
  else
    hedge(Attempt);
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
  Response.Memory_ = std::move(Reply.Memory_);
  setOutcome(Response.Headers_, Outcome::Ok);
  Exchange_->respond(std::move(Response));
}

void CallerCall::log(Outcome Result, unsigned Status, std::string_view Reason) {
  TimePoint Now = std::chrono::steady_clock::now();
  if (!Context_->LogLimiter_.admits(Result != Outcome::Ok || Status >= 500,
                                    Now))
    return;
  std::string Tried;
  {
    // The last attempt may report its result while the call ends without it.
    std::lock_guard Lock(Mutex_);
    Tried = Trace_;
  }
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
       {"tried", std::move(Tried)},
       {"latency_ms", millisecondsText(Now - Request_.Arrival_)},
       {"age_ms", millisecondsText(Age_)},
       {"limit_ms", Deadline_.at() == TimePoint::max()
                        ? "none"
                        : millisecondsText(Deadline_.at() - Request_.Arrival_)},
       {"config", Snapshot_ ? toText(Snapshot_->version()) : "none"},
       {"targets_age_ms", millisecondsText(Environment.targetsAge(Now))}});
}

// Ending a call without an answer from a target.

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
    if (SendStarted_)
      Tracker_.sentFirstByte();
    (Tracker_.*Event)();
    Code = Tracker_.verdict().Reason_.value_or(Code);
  }
  cancelAttempt();
  finishWithError(Code);
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
  // A target's answer, even a server error, tells the caller more than the
  // error that no further target could be tried.
  if (Fallback && Code != ErrorCode::Cancelled) {
    respond(std::move(*Fallback));
    return;
  }
  log(errorOutcome(Code), errorStatus(Code), errorText(Code));
  if (!State_) {
    Context_->refuseWithoutService(*Exchange_, Code);
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
    Response.Headers_.push_back({"retry-after", retryAfterValue()});
  Exchange_->respond(std::move(Response));
}

std::string CallerCall::retryAfterValue() {
  std::chrono::milliseconds Expected = DefaultRetryAfter;
  {
    std::lock_guard Lock(Mutex_);
    if (RetryAfter_.count() != 0)
      Expected = RetryAfter_;
  }
  auto Return = State_->jitterRetryAfter(std::min(Expected, MaxRetryAfter));
  std::array<char, 16> Text{};
  std::snprintf(Text.data(), Text.size(), "%.3f",
                std::chrono::duration<double>(Return).count());
  return Text.data();
}

} // namespace marigold::node
