#include "Node/CallerPools.h"

#include "Support/Addresses.h"
#include "Support/Digest.h"

namespace marigold::node {

namespace {

std::unique_ptr<routing::ChoiceStrategy>
createStrategy(const std::string &Name) {
  auto Made = routing::makeStrategy(Name);
  if (!Made)
    Made = routing::makeStrategy("two-choices");
  return std::move(Made.value());
}

} // namespace

ServiceCounters::ServiceCounters(MetricsRegistry &Metrics,
                                 const std::string &Service)
    : Ok_(Metrics.value(Metric::CallsTotal, Service, outcomeText(Outcome::Ok))),
      NotRun_(Metrics.value(Metric::CallsTotal, Service,
                            outcomeText(Outcome::NotRun))),
      Unknown_(Metrics.value(Metric::CallsTotal, Service,
                             outcomeText(Outcome::Unknown))),
      Slow_(Metrics.value(Metric::CallsSlowTotal, Service)),
      Retries_(Metrics.value(Metric::RetriesTotal, Service)),
      RetriesDenied_(Metrics.value(Metric::RetriesDeniedTotal, Service)) {}

void ServiceState::onCall(TimePoint Now) {
  std::lock_guard Lock(Mutex_);
  Budget_.onCall(Now);
  Redirects_.onCall(Now);
}

Result<HostId> ServiceState::choose(const routing::CallContext &Context,
                                    TimePoint Now) {
  std::lock_guard Lock(Mutex_);
  return Pool_.choose(Context, Now, Random_);
}

Duration ServiceState::offerBound(std::span<const HostId> Tried,
                                  Duration Objective, TimePoint Now) {
  std::lock_guard Lock(Mutex_);
  if (!Redirects_.available(Now))
    return {};
  return Pool_.offerBound(Tried, Objective, Now);
}

bool ServiceState::startCall(const HostId &Id, TimePoint Now) {
  std::lock_guard Lock(Mutex_);
  return Pool_.startCall(Id, Now);
}

void ServiceState::onResult(const HostId &Id, const routing::CallSample &Sample,
                            TimePoint Now) {
  std::lock_guard Lock(Mutex_);
  Pool_.onResult(Id, Sample, Now);
}

calls::RetryDecision ServiceState::retry(const calls::AttemptState &State,
                                         const calls::Deadline &Limit,
                                         TimePoint Now) {
  std::lock_guard Lock(Mutex_);
  bool Reached = calls::RetryPolicy::reachedTarget(State.Reason_);
  calls::RetryDecision Decision =
      Policy_.next(State, Limit, Reached ? Budget_ : Redirects_, Now);
  if (State.Reason_ == ErrorCode::TargetBusy && Decision.DeniedByBudget_) {
    Decision.Retry_ = true;
    Decision.DeniedByBudget_ = false;
  }
  return Decision;
}

std::chrono::milliseconds
ServiceState::jitterRetryAfter(std::chrono::milliseconds Expected) {
  std::lock_guard Lock(Mutex_);
  auto Spread = static_cast<std::uint64_t>(Expected.count()) + 1;
  return Expected + std::chrono::milliseconds(Random_.below(Spread));
}

CallerPools::CallerPools(CallEnvironment &Environment, MetricsRegistry &Metrics,
                         const NodeSettings &Settings, std::uint64_t Seed)
    : Environment_(Environment), Metrics_(Metrics), Settings_(Settings) {
  Random Seeds(Seed);
  for (Shard &Group : Shards_)
    Group.Random_ = Random(Seeds.next());
}

std::unique_ptr<ServiceState>
CallerPools::createState(Shard &Group, const ServiceConfig &Service) const {
  routing::PoolSettings Values;
  // Taken from the settings, because the environment must not be called while a
  // shard's mutex is held.
  Values.Own_ = {toHostId(Settings_.PeerAddress_), Settings_.FailureDomain_,
                 Settings_.Region_};
  Values.Subset_ = Settings_.Subset_;
  Values.Slots_ = Service.Slots_;
  Values.SlowStart_ = Service.SlowStart_;
  if (Settings_.Placement_ == "always")
    Values.Placement_ = routing::Placement::Always;
  else if (Settings_.Placement_ == "off")
    Values.Placement_ = routing::Placement::Off;
  calls::RetryBudgetSettings Budget;
  Budget.Ratio_ = Settings_.RetryRatio_;
  Budget.Burst_ = static_cast<double>(Settings_.RetryBurst_);
  calls::RetryBudgetSettings Redirects;
  Redirects.Ratio_ = Settings_.RedirectRatio_;
  TimePoint Now = std::chrono::steady_clock::now();
  return std::make_unique<ServiceState>(
      Group.Mutex_, Group.Random_,
      routing::Pool(Values, createStrategy(Settings_.Strategy_)),
      calls::RetryBudget(Budget, Now), calls::RetryBudget(Redirects, Now),
      Metrics_, Service.Name_);
}

ServiceState &CallerPools::stateOf(const ServiceConfig &Service,
                                   const ConfigVersion &Version) {
  Shard &Group = Shards_[hash64(Service.Name_) % Shards_.size()];
  // Read before the hosts, so that the next call picks up a change in between.
  std::uint64_t Generation = Environment_.hostsGeneration();
  {
    std::lock_guard Lock(Group.Mutex_);
    auto &Slot = Group.Services_[Service.Name_];
    if (!Slot)
      Slot = createState(Group, Service);
    if (Slot->Version_ != Version) {
      Slot->Version_ = Version;
      Slot->Pool_.configure(Service.Slots_, Service.SlowStart_);
    }
    if (Slot->HostsLoaded_ && Slot->HostsGeneration_ == Generation)
      return *Slot;
  }
  // Called without the shard's mutex, because the environment locks the mutex
  // of the control plane.
  std::vector<HostRecord> Hosts = Environment_.hostsOfService(Service.Name_);
  std::lock_guard Lock(Group.Mutex_);
  ServiceState &State = *Group.Services_.find(Service.Name_)->second;
  if (!State.HostsLoaded_ || Generation > State.HostsGeneration_) {
    State.Pool_.setHosts(std::move(Hosts), std::chrono::steady_clock::now());
    State.HostsGeneration_ = Generation;
    State.HostsLoaded_ = true;
  }
  return State;
}

} // namespace marigold::node
