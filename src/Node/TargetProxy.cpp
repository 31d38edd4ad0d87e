#include "Node/TargetProxyImpl.h"

#include "Calls/RequestKey.h"
#include "Config/Limits.h"
#include "Support/Digest.h"

#include <boost/asio/post.hpp>

namespace marigold::node {

using admission::Admission;

namespace {

admission::AdmissionSettings admissionSettings(const NodeSettings &Settings) {
  admission::AdmissionSettings Values;
  if (Settings.Placement_ == "always")
    Values.Forecast_ = admission::ForecastUse::Always;
  else if (Settings.Placement_ == "off")
    Values.Forecast_ = admission::ForecastUse::Off;
  Values.Adaptive_ = Settings.AdaptiveLimit_;
  return Values;
}

calls::KeyTableSettings keySettings(const NodeSettings &Settings) {
  calls::KeyTableSettings Values;
  Values.Lifetime_ = Settings.KeyLifetime_;
  Values.AnswerBytes_ = Settings.KeyMemory_;
  return Values;
}

admission::DrainSettings drainSettings(const NodeSettings &Settings) {
  admission::DrainSettings Values;
  Values.Limit_ = Settings.DrainLimit_;
  return Values;
}

} // namespace

namespace {

transport::HttpClientLimits clientLimits(const TargetProxyParts &Parts) {
  transport::HttpClientLimits Limits;
  Limits.UnrepeatableIdle_ = Parts.Settings_.UnrepeatableReuse_;
  Limits.Memory_ = Parts.Memory_;
  Limits.OnOpen_ = [&Metrics = Parts.Metrics_] {
    Metrics.add(Metric::TargetConnectionsTotal);
  };
  return Limits;
}

} // namespace

TargetProxy::Impl::Impl(TargetProxyParts Parts, std::uint64_t Incarnation,
                        std::uint64_t Seed)
    : Parts_(Parts),
      Pool_(Parts.Io_, Parts.Settings_.TargetAddress_, clientLimits(Parts)),
      Admission_{
          {},
          admission::AdmissionControl(admissionSettings(Parts.Settings_)),
          admission::DrainControl(drainSettings(Parts.Settings_)),
          admission::TargetMonitor({}, std::chrono::steady_clock::now()),
          Random(Seed),
          {},
          {},
          {},
          {},
          false,
          {},
          {},
          {},
          false,
          false,
          {}},
      Keys_{{},
            calls::KeyTable(Parts.Environment_.ownRecord().Id_, Incarnation,
                            hash64(Parts.Settings_.Mesh_),
                            keySettings(Parts.Settings_),
                            std::chrono::steady_clock::now()),
            calls::CrashSuspects()},
      Incarnation_(Incarnation), ExpiryTimer_(Parts.Io_),
      ProbeTimer_(Parts.Io_), CrashTimer_(Parts.Io_), DrainTimer_(Parts.Io_),
      HealthTimer_(Parts.Io_), IdentityTimer_(Parts.Io_),
      Housekeeping_(Parts.Io_),
      AdmittedTotal_(Parts.Metrics_.value(Metric::AdmittedTotal)),
      LogLimiter_(Parts.Metrics_, Parts.Settings_.CallLogRate_) {
  Admission_.Own_.Service_ = Parts.Settings_.Service_;
  // The target counts as down until the first probe succeeds.
  TimePoint Now = std::chrono::steady_clock::now();
  Admission_.Control_.targetDown(Now);
  Admission_.Control_.coldStarts() = admission::ColdStartLimiter(Now);
}

std::optional<ErrorCode>
TargetProxy::Impl::checkBeforeBody(const CallStart &Start) const {
  // The key table decides on a keyed request first, and it needs the body.
  if (!Start.Key_.empty())
    return std::nullopt;
  auto Current = Parts_.Environment_.snapshot();
  auto Rules = rulesForCall(Start, Current.get());
  if (!Rules)
    return Rules.error().Code_;
  return std::nullopt;
}

OwnTarget TargetProxy::Impl::ownTarget() const {
  std::lock_guard Lock(Admission_.Mutex_);
  return Admission_.Own_;
}

Result<TargetProxy::Impl::CallRules>
TargetProxy::Impl::rulesForCall(const CallStart &Start,
                                const config::Snapshot *Current) const {
  OwnTarget Own = ownTarget();
  if (auto Code = refusalBy(Own, Start.Service_))
    return fail(*Code, Own.Service_);
  if (!Current || Parts_.Environment_.gate() != CallGate::Open)
    return fail(ErrorCode::NotReady);
  if (Start.Routed_) {
    // The caller's node may use another configuration version. Both were
    // published, and a route of the older one stays valid for requests in
    // progress.
    if (Start.BodySize_ > config::MaxBodyLimit)
      return fail(ErrorCode::BodyTooLarge);
    return CallRules{Start.Repeatable_, Start.Priority_, Duration::max()};
  }
  if (!Parts_.HeaderNames_.HostsAreServices_)
    return fail(ErrorCode::NoRoute, Start.Service_);
  BOOST_OUTCOME_TRY(
      auto Route,
      Current->matchRoute(Start.Service_, Start.Method_, Start.Path_));
  if (Start.BodySize_ > Route->MaxBody_)
    return fail(ErrorCode::BodyTooLarge);
  // The two nodes may use different configuration versions; a request may be
  // repeated only if both allow it.
  return CallRules{Start.Repeatable_ && Route->Repeatable_, Route->Priority_,
                   Route->Deadline_};
}

void TargetProxy::Impl::startAdmission(const ServiceConfig &Service,
                                       TimePoint Now) {
  // Replaces the placeholder instead of reconfiguring it: an adaptive limit
  // starts at its first number of slots and would grow only slowly from the one
  // slot of the placeholder.
  bool Draining = Admission_.Control_.draining();
  admission::AdmissionSettings Values = admissionSettings(Parts_.Settings_);
  Values.Slots_ =
      Admission_.Own_.Slots_ != 0 ? Admission_.Own_.Slots_ : Service.Slots_;
  Values.Queue_ = Service.Queue_;
  admission::ColdStartLimiter ColdStarts = Admission_.Control_.coldStarts();
  Admission_.Control_ = admission::AdmissionControl(Values);
  Admission_.Control_.coldStarts() = std::move(ColdStarts);
  Admission_.Control_.setLeaving(Admission_.Own_.Leaving_);
  if (!Admission_.Monitor_.isUp())
    Admission_.Control_.targetDown(Now);
  if (Draining)
    Admission_.Control_.beginDrain(Now);
}

void TargetProxy::Impl::configure(const config::Snapshot &Current,
                                  TimePoint Now) {
  admission::AdmissionActions Actions;
  std::size_t Connections = 0;
  {
    std::lock_guard Lock(Admission_.Mutex_);
    if (Admission_.Configured_ == Current.version())
      return;
    const ServiceConfig *Service =
        Current.findService(Admission_.Own_.Service_);
    if (!Service)
      return;
    // The placeholder may hold a run: the target's service can be missing from
    // the configuration of this node and known to the caller's node.
    bool First = !std::exchange(Admission_.Started_, true) &&
                 Admission_.Control_.running() == 0;
    Admission_.Configured_ = Current.version();
    if (First)
      startAdmission(*Service, Now);
    else
      Actions = Admission_.Control_.configure(Admission_.Own_.Slots_ != 0
                                                  ? Admission_.Own_.Slots_
                                                  : Service->Slots_,
                                              Service->Queue_, Now);
    Connections = std::max<std::size_t>(Service->Connections_, 1);
    configureColdStarts(*Service);
  }
  Pool_.setConnections(Connections);
  apply(Actions);
}

std::optional<ErrorCode> TargetProxy::Impl::checkAndApplyRules(TargetRun &Run,
                                                               TimePoint Now) {
  const CallStart &Start = Run.Start_;
  auto Current = Parts_.Environment_.snapshot();
  auto Rules = rulesForCall(Start, Current.get());
  if (!Rules)
    return Rules.error().Code_;
  if (Start.Depth_ > Parts_.Settings_.MaxDepth_)
    return ErrorCode::DepthExceeded;
  configure(*Current, Now);
  Run.Repeatable_ = Rules.value().Repeatable_;
  Run.Start_.Priority_ = Rules.value().Priority_;
  if (Rules.value().Deadline_ != Duration::max())
    Run.Deadline_ = Run.Deadline_.limitedTo(Now, Rules.value().Deadline_);
  return std::nullopt;
}

void TargetProxy::Impl::replay(const TargetRunPtr &Run,
                               const calls::StoredAnswer &Answer,
                               TimePoint Now) {
  auto Memory = transport::reserveMemory(
      Parts_.Memory_, transport::MemoryUse::Answers, Answer.Body_.size(), Now);
  if (!Memory) {
    sendRefusal(Run, ErrorCode::AnswerTooLarge, load(), {});
    return;
  }
  sendReply(Run,
            {Answer.Status_, Answer.Headers_, Answer.Body_,
             std::move(Memory.value())},
            load(), Duration::zero());
}

bool TargetProxy::Impl::claimKey(const TargetRunPtr &Run, TimePoint Now) {
  calls::Claim Claimed;
  {
    std::lock_guard Lock(Keys_.Mutex_);
    Claimed = Keys_.Keys_.claim(Run->Start_.Key_, Run->Fingerprint_, Now);
  }
  switch (Claimed.Action_) {
  case calls::ClaimAction::Run:
    Run->KeyNumber_ = Claimed.Number_;
    return true;
  case calls::ClaimAction::Replay:
    replay(Run, *Claimed.Answer_, Now);
    return false;
  case calls::ClaimAction::Refuse:
    break;
  }
  Parts_.Metrics_.add(Metric::RefusedTotal, 1, errorText(Claimed.Reason_));
  sendRefusal(Run, Claimed.Reason_, load(), {});
  return false;
}

Duration TargetProxy::Impl::transferTime(std::uint32_t Kind) const {
  admission::TransferForecast::Load Load = Admission_.Transfers_.loadOf(Kind);
  if (Load.AnswerBytes_ == 0)
    return Duration::zero();
  // The caller's node sends the whole answer again, over a link that is assumed
  // to be as fast as this one.
  return Parts_.Pacer_->transferTime(Load.PendingBytes_ + Load.AnswerBytes_) +
         Parts_.Pacer_->unloadedTransferTime(Load.AnswerBytes_);
}

std::optional<ErrorCode> TargetProxy::Impl::admit(const TargetRunPtr &Run,
                                                  TimePoint Now) {
  {
    std::lock_guard Lock(Keys_.Mutex_);
    if (!Keys_.Suspects_.admit(Run->Fingerprint_, Now)) {
      Parts_.Metrics_.add(Metric::HeldBackTotal);
      return ErrorCode::HeldBack;
    }
  }
  admission::Submission Decision;
  bool UsesLink = Parts_.Pacer_ && Run->Connection_;
  {
    std::lock_guard Lock(Admission_.Mutex_);
    admission::CallTicket Ticket{Run->Id_, Run->Start_.Priority_,
                                 Run->Deadline_.at()};
    Ticket.Kind_ = Run->Start_.Kind_;
    Ticket.MaxWait_ = Run->Start_.MaxWait_;
    if (Run->Start_.Routed_)
      Ticket.Objective_ = Now + Run->Start_.Objective_;
    if (UsesLink)
      Ticket.Transfer_ = transferTime(Ticket.Kind_);
    // The target may have changed since the rules were checked.
    if (auto Code = refusalBy(Admission_.Own_, Run->Start_.Service_))
      Decision.Reason_ = *Code;
    else
      Decision = Admission_.Control_.submit(Ticket, Now);
    if (UsesLink && Decision.Admission_ != Admission::Refuse)
      Admission_.Transfers_.onAdmitted(Run->Id_, Ticket.Kind_);
    if (Decision.Admission_ != Admission::Refuse) {
      Admission_.Runs_.emplace(Run->Id_, Run);
      if (Run->Connection_)
        Admission_.Streams_.emplace(
            std::make_pair(Run->Connection_.get(), Run->Start_.Stream_),
            Run->Id_);
    }
    if (Decision.Admission_ == Admission::Queue)
      armExpiry();
    if (Decision.Admission_ == Admission::Queue &&
        Admission_.Control_.running() < Admission_.Control_.limit() &&
        Admission_.Control_.coldStarts().isLimiting(Now))
      Parts_.Metrics_.add(Metric::StartsDelayedTotal);
  }
  if (Decision.Displaced_)
    apply({{}, {*Decision.Displaced_}});
  if (Decision.Admission_ == Admission::Refuse) {
    std::lock_guard Lock(Keys_.Mutex_);
    Keys_.Suspects_.onNotRun(Run->Fingerprint_);
    return Decision.Reason_;
  }
  if (Decision.Admission_ == Admission::Run)
    forward(Run);
  return std::nullopt;
}

void TargetProxy::Impl::accept(const TargetRunPtr &Run) {
  TimePoint Now = std::chrono::steady_clock::now();
  const CallStart &Start = Run->Start_;
  Run->Accepted_ = Now;
  Run->Deadline_ = calls::Deadline::after(Now, Start.Remaining_);
  Run->Fingerprint_ = calls::requestFingerprint(
      Start.Method_, Start.Path_,
      Run->Body_ ? std::string_view(*Run->Body_) : std::string_view());
  if (!Start.Key_.empty() && !claimKey(Run, Now))
    return;
  std::optional<ErrorCode> Code = checkAndApplyRules(*Run, Now);
  if (!Code)
    Code = admit(Run, Now);
  if (Code)
    refuse(Run, *Code);
}

std::uint64_t
TargetProxy::Impl::acceptLocal(CallStart Start,
                               std::shared_ptr<const std::string> Body,
                               transport::StreamCallback Done) {
  auto Run = std::make_shared<TargetRun>();
  Run->Id_ = ++LastId_;
  Start.BodySize_ = Body ? Body->size() : 0;
  Run->Start_ = std::move(Start);
  Run->Body_ = std::move(Body);
  Run->Local_ = std::move(Done);
  accept(Run);
  return Run->Id_;
}

TargetRunPtr TargetProxy::Impl::findRun(std::uint64_t Id) {
  std::lock_guard Lock(Admission_.Mutex_);
  auto Position = Admission_.Runs_.find(Id);
  return Position == Admission_.Runs_.end() ? nullptr : Position->second;
}

void TargetProxy::Impl::cancelStream(
    const transport::PeerConnectionPtr &Connection, std::uint32_t Stream) {
  TargetRunPtr Run;
  {
    std::lock_guard Lock(Admission_.Mutex_);
    auto Position = Admission_.Streams_.find({Connection.get(), Stream});
    if (Position != Admission_.Streams_.end())
      Run = Admission_.Runs_.at(Position->second);
  }
  if (Run)
    cancelRun(Run);
}

void TargetProxy::Impl::cancelRun(const TargetRunPtr &Run) {
  admission::AdmissionActions Actions;
  {
    std::lock_guard Lock(Admission_.Mutex_);
    Actions =
        Admission_.Control_.cancel(Run->Id_, std::chrono::steady_clock::now());
  }
  apply(Actions);
  // The run of a keyed request continues: its caller can resend the key to get
  // the answer. After a cancellation the outcome would stay unknown.
  if (Run->KeyNumber_)
    return;
  std::lock_guard Lock(Run->Mutex_);
  Run->Cancelled_ = true;
  if (Run->Job_ != 0)
    Pool_.cancel(Run->Job_);
}

Result<std::string> TargetProxy::Impl::issueKey(const std::string &Service) {
  if (Service.empty() || Service != ownTarget().Service_)
    return fail(ErrorCode::WrongService, Service);
  auto Current = Parts_.Environment_.snapshot();
  if (!Current || Parts_.Environment_.gate() != CallGate::Open)
    return fail(ErrorCode::NotReady);
  if (!Current->findService(Service))
    return fail(ErrorCode::UnknownService, Service);
  {
    std::lock_guard Lock(Admission_.Mutex_);
    if (Admission_.Control_.draining())
      return fail(ErrorCode::Draining);
    if (!Admission_.Monitor_.isUp())
      return fail(ErrorCode::TargetDown);
  }
  std::lock_guard Lock(Keys_.Mutex_);
  return Keys_.Keys_.issue(std::chrono::steady_clock::now());
}

LoadReport TargetProxy::Impl::load() const {
  std::lock_guard Lock(Admission_.Mutex_);
  return Admission_.Control_.load(std::chrono::steady_clock::now());
}

// The public class.

TargetProxy::TargetProxy(TargetProxyParts Parts, std::uint64_t Incarnation,
                         std::uint64_t Seed)
    : Impl_(std::make_shared<Impl>(Parts, Incarnation, Seed)) {}

TargetProxy::~TargetProxy() { stop(); }

void TargetProxy::start() { Impl_->start(); }

std::uint64_t TargetProxy::callLocal(CallStart Start,
                                     std::shared_ptr<const std::string> Body,
                                     transport::StreamCallback Done) {
  return Impl_->acceptLocal(std::move(Start), std::move(Body), std::move(Done));
}

void TargetProxy::cancelLocal(std::uint64_t Number) {
  if (TargetRunPtr Run = Impl_->findRun(Number))
    Impl_->cancelRun(Run);
}

Result<std::string> TargetProxy::issueKey(const std::string &Service) {
  return Impl_->issueKey(Service);
}

void TargetProxy::drain(std::function<void()> Done) {
  Impl_->drain(std::move(Done));
}

void TargetProxy::onOwnTarget(const OwnTarget &Own) { Impl_->onOwnTarget(Own); }

void TargetProxy::onCrashNotice(const CrashNotice &Notice) {
  Impl_->onCrashNotice(Notice);
}

std::vector<CrashNotice> TargetProxy::heldBackCrashes() {
  return Impl_->heldBackCrashes();
}

LoadReport TargetProxy::load() const { return Impl_->load(); }

bool TargetProxy::targetUp() const {
  std::lock_guard Lock(Impl_->Admission_.Mutex_);
  return Impl_->Admission_.Monitor_.isUp();
}

void TargetProxy::stop() { Impl_->stop(); }

std::optional<CallRefused>
TargetProxy::onCallStart(const transport::PeerConnectionPtr &,
                         const CallStart &Start) {
  auto Code = Impl_->checkBeforeBody(Start);
  if (!Code)
    return std::nullopt;
  Impl_->Parts_.Metrics_.add(Metric::RefusedTotal, 1, errorText(*Code));
  return CallRefused{
      Start.Stream_, static_cast<std::uint16_t>(*Code), Impl_->load(), {}};
}

void TargetProxy::onCall(const transport::PeerConnectionPtr &Connection,
                         CallStart Start,
                         std::shared_ptr<const std::string> Body) {
  auto Run = std::make_shared<TargetRun>();
  Run->Id_ = ++Impl_->LastId_;
  Run->Start_ = std::move(Start);
  Run->Body_ = std::move(Body);
  Run->Connection_ = Connection;
  Impl_->accept(Run);
}

void TargetProxy::onCallCancel(const transport::PeerConnectionPtr &Connection,
                               std::uint32_t Stream) {
  Impl_->cancelStream(Connection, Stream);
}

void TargetProxy::onKeyRequest(const transport::PeerConnectionPtr &Connection,
                               const KeyRequest &Request) {
  auto Key = Impl_->issueKey(Request.Service_);
  if (Key)
    Connection->sendKey({Request.Stream_, std::move(Key.value())});
  else
    Connection->refuse({Request.Stream_,
                        static_cast<std::uint16_t>(Key.error().Code_),
                        Impl_->load(),
                        {}});
}

} // namespace marigold::node
