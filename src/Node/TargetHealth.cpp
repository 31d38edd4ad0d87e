#include "Node/TargetProxyImpl.h"

#include "Support/Log.h"

namespace marigold::node {

namespace asio = boost::asio;

namespace {

// Timeout for the target to accept a probe connection.
constexpr auto ProbeTimeout = std::chrono::milliseconds(500);
// Delay between a lost connection and the probe that shows whether the process
// has ended. The kernel closes the sockets of an exiting process one after the
// other, so an immediate probe could still reach its listening socket.
constexpr auto CrashProbeDelay = std::chrono::milliseconds(20);
// Interval at which expired records are removed and gauges are updated.
constexpr auto HousekeepingInterval = std::chrono::seconds(1);

} // namespace

void TargetProxy::Impl::start() {
  if (Parts_.Settings_.Service_.empty())
    return;
  {
    std::lock_guard Lock(Admission_.Mutex_);
    armProbe();
  }
  armHousekeeping();
}

void TargetProxy::Impl::stop() {
  if (Stopped_.exchange(true))
    return;
  {
    std::lock_guard Lock(Admission_.Mutex_);
    ExpiryTimer_.cancel();
    ProbeTimer_.cancel();
    CrashTimer_.cancel();
    DrainTimer_.cancel();
    HealthTimer_.cancel();
    IdentityTimer_.cancel();
  }
  Pool_.stop();
}

// Timers. These functions require the admission shard's mutex.

void TargetProxy::Impl::armExpiry() {
  TimePoint Next = std::min(
      Admission_.Control_.nextExpiry(),
      Admission_.Control_.nextColdStart(std::chrono::steady_clock::now()));
  if (Stopped_ || Next == TimePoint::max())
    return;
  ExpiryTimer_.expires_at(Next);
  ExpiryTimer_.async_wait([Weak = weak_from_this()](
                              boost::system::error_code Error) {
    auto Self = Weak.lock();
    if (Error || !Self)
      return;
    admission::AdmissionActions Actions;
    {
      std::lock_guard Lock(Self->Admission_.Mutex_);
      Actions =
          Self->Admission_.Control_.expire(std::chrono::steady_clock::now());
      Self->armExpiry();
    }
    Self->apply(Actions);
  });
}

void TargetProxy::Impl::armProbe() {
  TimePoint Next = Admission_.Monitor_.nextProbe();
  if (Stopped_ || Next == TimePoint::max())
    return;
  ProbeTimer_.expires_at(Next);
  ProbeTimer_.async_wait(
      [Weak = weak_from_this()](boost::system::error_code Error) {
        auto Self = Weak.lock();
        if (!Error && Self)
          Self->runProbe();
      });
}

// Probes and crash detection of the target's process.

void TargetProxy::Impl::runProbe() {
  {
    std::lock_guard Lock(Admission_.Mutex_);
    if (!Admission_.Monitor_.startProbe(std::chrono::steady_clock::now())) {
      armProbe();
      return;
    }
  }
  Pool_.probe(ProbeTimeout, [Weak = weak_from_this()](bool Accepted) {
    auto Self = Weak.lock();
    if (!Self || Self->Stopped_)
      return;
    if (Accepted)
      Self->onConnected();
    else
      Self->onConnectFailed();
  });
}

void TargetProxy::Impl::onConnected() {
  bool Draining = false;
  {
    std::lock_guard Lock(Admission_.Mutex_);
    if (!Admission_.Monitor_.onConnected())
      return;
    Admission_.Control_.targetUp();
    assumeCold("connected", std::chrono::steady_clock::now());
    Draining = Admission_.Control_.draining() || Admission_.Own_.Leaving_;
  }
  logEvent(LogLevel::Info, "target_up");
  checkHealth();
  checkIdentity();
  if (!Draining)
    Parts_.Environment_.ownStateChanged(HostState::Ready);
}

void TargetProxy::Impl::onConnectFailed() {
  admission::AdmissionActions Actions;
  bool Draining = false;
  bool WasUp = false;
  {
    std::lock_guard Lock(Admission_.Mutex_);
    TimePoint Now = std::chrono::steady_clock::now();
    WasUp = Admission_.Monitor_.onConnectFailed(Now, Admission_.Random_);
    if (WasUp)
      Actions = Admission_.Control_.targetDown(Now);
    Draining = Admission_.Control_.draining();
    armProbe();
  }
  if (!WasUp)
    return;
  apply(Actions);
  Pool_.closeIdle();
  logEvent(LogLevel::Warning, "target_down");
  if (!Draining)
    Parts_.Environment_.ownStateChanged(HostState::Starting);
}

void TargetProxy::Impl::beginCrashCheck(const TargetRunPtr &Run) {
  std::lock_guard Lock(Admission_.Mutex_);
  if (CrashCheck_) {
    if (CrashCheck_->Fingerprints_.contains(Run->Id_))
      ++CrashCheck_->Lost_;
    return;
  }
  if (Stopped_)
    return;
  CrashCheck_.emplace();
  for (const auto &[Id, Other] : Admission_.Runs_)
    if (Other->Forwarded_ != TimePoint())
      CrashCheck_->Fingerprints_.emplace(Id, Other->Fingerprint_);
  CrashCheck_->Runs_ = CrashCheck_->Fingerprints_.size();
  CrashCheck_->Lost_ = 1;
  CrashTimer_.expires_after(CrashProbeDelay);
  CrashTimer_.async_wait(
      [Weak = weak_from_this()](boost::system::error_code Error) {
        auto Self = Weak.lock();
        if (Error || !Self)
          return;
        Self->Pool_.probe(ProbeTimeout, [Weak](bool Accepted) {
          if (auto Alive = Weak.lock())
            Alive->endCrashCheck(Accepted);
        });
      });
}

void TargetProxy::Impl::endCrashCheck(bool TargetAccepts) {
  CrashNotice Notice;
  bool Crashed = false;
  {
    std::lock_guard Lock(Admission_.Mutex_);
    if (!CrashCheck_)
      return;
    // A process that restarted immediately accepts connections again. If all of
    // several runs lost their connections, it was replaced.
    bool AllLost =
        CrashCheck_->Runs_ > 1 && CrashCheck_->Lost_ == CrashCheck_->Runs_;
    Crashed = !TargetAccepts || AllLost;
    Notice.CrashId_ = Admission_.Random_.next();
    for (const auto &[Id, Fingerprint] : CrashCheck_->Fingerprints_)
      Notice.Fingerprints_.push_back(Fingerprint);
    CrashCheck_.reset();
    if (Crashed && TargetAccepts)
      assumeCold("restarted", std::chrono::steady_clock::now());
  }
  if (!TargetAccepts)
    onConnectFailed();
  else if (Crashed)
    checkHealth();
  if (!Crashed)
    return;
  Notice.Service_ = ownTarget().Service_;
  Parts_.Metrics_.add(Metric::TargetCrashesTotal);
  logEvent(LogLevel::Warning, "target_crashed",
           {{"in_progress", std::to_string(Notice.Fingerprints_.size())}});
  {
    std::lock_guard Lock(Keys_.Mutex_);
    Keys_.Suspects_.onCrash(Notice.CrashId_, Notice.Fingerprints_,
                            std::chrono::steady_clock::now());
  }
  Parts_.Environment_.sendCrashNotice(Notice);
}

void TargetProxy::Impl::onCrashNotice(const CrashNotice &Notice) {
  if (Notice.Service_ != ownTarget().Service_)
    return;
  std::lock_guard Lock(Keys_.Mutex_);
  Keys_.Suspects_.onCrash(Notice.CrashId_, Notice.Fingerprints_,
                          std::chrono::steady_clock::now());
}

std::vector<CrashNotice> TargetProxy::Impl::heldBackCrashes() {
  std::string Service = ownTarget().Service_;
  std::vector<CrashNotice> Notices;
  std::lock_guard Lock(Keys_.Mutex_);
  for (auto &Crash : Keys_.Suspects_.heldBack(std::chrono::steady_clock::now()))
    Notices.push_back({Crash.Id_, Service, std::move(Crash.Fingerprints_)});
  return Notices;
}

void TargetProxy::Impl::onOwnTarget(const OwnTarget &Own) {
  admission::AdmissionActions Actions;
  bool NewInstance = false;
  bool MayBeCold = false;
  bool Contested = false;
  HostState State = HostState::Ready;
  {
    std::lock_guard Lock(Admission_.Mutex_);
    TimePoint Now = std::chrono::steady_clock::now();
    NewInstance = Admission_.Own_.Instance_ != Own.Instance_;
    Contested = Own.Contested_ != Admission_.Own_.Contested_;
    bool EvacuationEnded = Admission_.Own_.Evacuated_ && !Own.Evacuated_;
    MayBeCold = NewInstance || EvacuationEnded || Own.Cold_;
    if (NewInstance || EvacuationEnded)
      assumeCold(NewInstance ? "instance" : "evacuation_ended", Now);
    else if (Own.Cold_ && !Admission_.Own_.Cold_)
      Admission_.Control_.coldStarts().onListedCold(Now);
    // All queued requests were admitted for the previous service.
    auto Reason = refusalBy(Own, Admission_.Own_.Service_);
    Admission_.Own_ = Own;
    // Forces a new configuration: another service or instance may have other
    // slots and limits.
    Admission_.Configured_ = {};
    if (Reason)
      Actions = Admission_.Control_.refuseQueued(*Reason);
    Admission_.Control_.setLeaving(Own.Leaving_);
    if (Admission_.Control_.draining() || Own.Leaving_)
      State = HostState::Draining;
    else if (!Admission_.Monitor_.isUp())
      State = HostState::Starting;
  }
  logEvent(LogLevel::Info, "own_target",
           {{"service", Own.Service_},
            {"instance", Own.Instance_},
            {"slots", std::to_string(Own.Slots_)},
            {"leaving", Own.Leaving_ ? "true" : "false"},
            {"evacuated", Own.Evacuated_ ? "true" : "false"},
            {"cold", Own.Cold_ ? "true" : "false"},
            {"listed", Own.Unlisted_ ? "false" : "true"},
            {"contested", Own.Contested_ != 0 ? "true" : "false"}});
  apply(Actions);
  Pool_.recheckWaiting();
  // Idle connections lead to the previous instance at the same address.
  if (NewInstance)
    Pool_.closeIdle();
  if (MayBeCold)
    checkHealth();
  if (Contested)
    checkIdentity();
  Parts_.Environment_.ownStateChanged(State);
}

// Drain.

void TargetProxy::Impl::drain(std::function<void()> Done) {
  admission::AdmissionActions Actions;
  bool Began = false;
  {
    std::lock_guard Lock(Admission_.Mutex_);
    TimePoint Now = std::chrono::steady_clock::now();
    if (Admission_.Drain_.state() != admission::DrainState::Drained && Done) {
      Admission_.Drained_.push_back(std::move(Done));
      Done = nullptr;
    }
    Began = Admission_.Drain_.begin(Now);
    if (Began)
      Actions = Admission_.Control_.beginDrain(Now);
  }
  if (Done)
    Done();
  if (!Began)
    return;
  logEvent(LogLevel::Info, "drain_started");
  apply(Actions);
  Parts_.Environment_.ownStateChanged(HostState::Draining);
  updateDrain();
}

void TargetProxy::Impl::updateDrain() {
  std::vector<std::function<void()>> Finished;
  std::uint32_t Cut = 0;
  {
    std::lock_guard Lock(Admission_.Mutex_);
    TimePoint Now = std::chrono::steady_clock::now();
    auto State = Admission_.Drain_.update(Admission_.Control_.running(), Now);
    if (State == admission::DrainState::Drained) {
      Finished.swap(Admission_.Drained_);
      Cut = Admission_.Drain_.unfinished();
    } else if (State == admission::DrainState::Draining && !Stopped_) {
      DrainTimer_.expires_at(Admission_.Drain_.nextUpdate(Now));
      DrainTimer_.async_wait(
          [Weak = weak_from_this()](boost::system::error_code Error) {
            auto Self = Weak.lock();
            if (!Error && Self)
              Self->updateDrain();
          });
    }
  }
  if (Finished.empty())
    return;
  logEvent(LogLevel::Info, "drain_finished", {{"cut", std::to_string(Cut)}});
  for (auto &Done : Finished)
    Done();
}

// Housekeeping.

void TargetProxy::Impl::armHousekeeping() {
  if (Stopped_)
    return;
  Housekeeping_.expires_after(HousekeepingInterval);
  Housekeeping_.async_wait(
      [Weak = weak_from_this()](boost::system::error_code Error) {
        auto Self = Weak.lock();
        if (Error || !Self)
          return;
        TimePoint Now = std::chrono::steady_clock::now();
        std::size_t Keys = 0;
        {
          std::lock_guard Lock(Self->Keys_.Mutex_);
          Self->Keys_.Keys_.expire(Now);
          Self->Keys_.Suspects_.expire(Now);
          Keys = Self->Keys_.Keys_.size();
        }
        if (auto Current = Self->Parts_.Environment_.snapshot())
          Self->configure(*Current, Now);
        LoadReport Load = Self->load();
        MetricsRegistry &Metrics = Self->Parts_.Metrics_;
        Metrics.set(Metric::Running, Load.Running_);
        Metrics.set(Metric::Queued, Load.Queued_);
        Metrics.set(Metric::ConcurrencyLimit, Load.Limit_);
        Metrics.set(Metric::Keys, static_cast<std::int64_t>(Keys));
        Metrics.set(Metric::TargetCold, Load.StartRate_ != 0 ? 1 : 0);
        Self->armHousekeeping();
      });
}

} // namespace marigold::node
