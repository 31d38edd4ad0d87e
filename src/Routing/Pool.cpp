#include "Routing/Pool.h"

#include <algorithm>
#include <array>
#include <tuple>

namespace marigold::routing {
namespace {

/// Minimum weight during slow start, so that a new host gets some calls.
constexpr double MinSlowStartWeight = 0.1;

/// Bounds of a host's latency relative to the typical one when computing the
/// cost. They keep a single extreme sample from dominating it.
constexpr double MinLatencyFactor = 0.5;
constexpr double MaxLatencyFactor = 8;

/// Time for which a refusal with Draining is respected without a newer record.
/// The record normally arrives within seconds; the bound only recovers from a
/// wrong refusal.
constexpr Duration DrainingRefusalLifetime = std::chrono::seconds(5);

/// Time that one step of distance costs, relative to the mean run time of the
/// request. It decides between hosts that are expected to end alike.
constexpr double DistanceCost = 0.05;

/// Part of the objective that a request may wait at a host while there is
/// another one.
constexpr int OfferDivisor = 20;

/// At most one in this number of hosts is ejected because of its success ratio.
constexpr std::size_t RatioEjectionDivisor = 3;

/// Conclusion about a host from the result of a call.
enum class Evidence : std::uint8_t {
  /// The host is working.
  Success,
  /// The host answered with an error or too late; one of its dependencies or
  /// the request may be the cause.
  SoftFailure,
  /// The host is unreachable or lost the call.
  HardFailure,
  /// No conclusion: the cause is load, the request or the caller.
  Neutral,
};

Evidence evidenceOf(const CallSample &Sample) {
  if (!Sample.Error_)
    return Sample.ServerError_ ? Evidence::SoftFailure : Evidence::Success;
  switch (*Sample.Error_) {
  case ErrorCode::ConnectionFailed:
  case ErrorCode::TargetDown:
  case ErrorCode::TimedOut:
  case ErrorCode::TargetLost:
  case ErrorCode::NodeLost:
  case ErrorCode::NotReady:
  case ErrorCode::WrongService:
    return Evidence::HardFailure;
  case ErrorCode::DeadlineExceeded:
  case ErrorCode::MalformedAnswer:
  case ErrorCode::TargetRefused:
  case ErrorCode::AttemptAbandoned:
    return Evidence::SoftFailure;
  default:
    return Evidence::Neutral;
  }
}

bool takesCalls(HostState State) {
  return State == HostState::Ready || State == HostState::Suspect;
}

/// Whether Left is a newer record of the same host than Right. Records are
/// ordered as documented for HostRecord.
bool isNewer(const HostRecord &Left, const HostRecord &Right) {
  return std::tie(Left.Incarnation_, Left.Sequence_, Left.State_) >
         std::tie(Right.Incarnation_, Right.Sequence_, Right.State_);
}

} // namespace

Pool::Pool(PoolSettings Settings, std::unique_ptr<ChoiceStrategy> Strategy)
    : Settings_(std::move(Settings)), Strategy_(std::move(Strategy)) {}

void Pool::setHosts(std::vector<HostRecord> Hosts, TimePoint Now) {
  std::vector<HostRecord> Records;
  std::vector<Entry> Entries;
  std::unordered_map<HostId, std::size_t, HostIdHash> Positions;
  for (HostRecord &Host : Hosts) {
    auto [Position, Inserted] = Positions.try_emplace(Host.Id_, Records.size());
    if (!Inserted)
      continue;
    auto Known = Positions_.find(Host.Id_);
    Entry Added;
    if (Known == Positions_.end()) {
      if (HadHosts_)
        Added.SlowStartFrom_ = Now;
    } else {
      Added = Entries_[Known->second];
      merge(Records_[Known->second], Host, Added, Now);
    }
    Added.Locality_ = localityOf(Settings_.Own_, Host);
    Entries.push_back(Added);
    Records.push_back(std::move(Host));
  }
  Records_ = std::move(Records);
  Entries_ = std::move(Entries);
  Positions_ = std::move(Positions);
  HadHosts_ = HadHosts_ || !Records_.empty();
  rebuild(Now);
}

void Pool::updateHost(const HostRecord &Host, TimePoint Now) {
  auto Known = Positions_.find(Host.Id_);
  if (Known == Positions_.end()) {
    Entry Added;
    if (HadHosts_)
      Added.SlowStartFrom_ = Now;
    Added.Locality_ = localityOf(Settings_.Own_, Host);
    Positions_.emplace(Host.Id_, Records_.size());
    Records_.push_back(Host);
    Entries_.push_back(Added);
    HadHosts_ = true;
  } else {
    HostRecord &Held = Records_[Known->second];
    if (!isNewer(Host, Held))
      return;
    merge(Held, Host, Entries_[Known->second], Now);
    Held = Host;
    Entries_[Known->second].Locality_ = localityOf(Settings_.Own_, Host);
  }
  rebuild(Now);
}

void Pool::configure(std::uint32_t Slots, Duration SlowStart) {
  Settings_.Slots_ = Slots;
  Settings_.SlowStart_ = SlowStart;
}

Result<HostId> Pool::choose(const CallContext &Context, TimePoint Now,
                            Random &Rng) {
  Group Best = Group::None;
  Candidates_.clear();
  auto Consider = [&](std::size_t Index) {
    Group Found = groupOf(Index, Now);
    const HostId &Id = Records_[Index].Id_;
    if (Found == Group::None || Found > Best ||
        std::find(Context.Excluded_.begin(), Context.Excluded_.end(), Id) !=
            Context.Excluded_.end())
      return;
    if (Found < Best)
      Candidates_.clear();
    Best = Found;
    Candidates_.push_back(candidate(Index, Now));
  };
  for (std::size_t Index : Members_)
    Consider(Index);
  // Hosts outside the subset are used only if the subset has no usable host.
  if (Best != Group::Member)
    for (std::size_t Index = 0; Index < Records_.size(); ++Index)
      if (!Entries_[Index].Member_)
        Consider(Index);
  if (Candidates_.empty())
    return fail(ErrorCode::NoTarget,
                std::to_string(Records_.size()) + " hosts known, " +
                    std::to_string(Context.Excluded_.size()) + " tried");
  Duration KindMean = KindTimes_.mean(Context.Kind_);
  if (KindMean > Duration::zero() && placesByTime())
    setTimeCosts(KindMean, Now);
  else
    setCosts();
  std::size_t Index = Candidates_[Strategy_->pick(Candidates_, Rng)].Index_;
  Entry &Chosen = Entries_[Index];
  Chosen.Load_.onSent();
  Chosen.Work_.onSent(Chosen.Work_.runTime(KindMean, Now), Now);
  return Records_[Index].Id_;
}

bool Pool::startCall(HostId Id, TimePoint) {
  auto Known = Positions_.find(Id);
  if (Known == Positions_.end())
    return false;
  HostState State = Records_[Known->second].State_;
  if (State == HostState::Dead || State == HostState::Gone)
    return false;
  Entries_[Known->second].Load_.onSent();
  return true;
}

void Pool::onResult(HostId Id, const CallSample &Sample, TimePoint Now) {
  auto Position = Positions_.find(Id);
  if (Position == Positions_.end())
    return;
  Entry &Host = Entries_[Position->second];
  Host.Load_.onEnded();
  if (Sample.Load_) {
    Host.Load_.onReport(*Sample.Load_, Now);
    Host.Work_.onReport(*Sample.Load_, Now);
    SlowdownReported_ = SlowdownReported_ || Sample.Load_->Slowdown_ != 0;
  }
  if (Sample.Error_ == ErrorCode::QueueFull ||
      Sample.Error_ == ErrorCode::Shed ||
      Sample.Error_ == ErrorCode::HopelessWait ||
      Sample.Error_ == ErrorCode::TargetCold ||
      Sample.Error_ == ErrorCode::NodeMemory ||
      Sample.Error_ == ErrorCode::Evacuated ||
      Sample.Error_ == ErrorCode::TargetUnlisted)
    Host.Load_.onRefused(Now);
  if (!Sample.Error_ && !Sample.ServerError_) {
    Host.Load_.onLatency(Sample.Latency_, Now);
    if (Sample.ServiceTime_ > Duration::zero())
      KindTimes_.addSample(
          Sample.Kind_,
          Host.Work_.onServiceTime(Sample.ServiceTime_,
                                   KindTimes_.mean(Sample.Kind_), Now));
    TypicalLatency_ =
        TypicalLatency_ == Duration::zero()
            ? Sample.Latency_
            : TypicalLatency_ + (Sample.Latency_ - TypicalLatency_) / 32;
  }
  if (Sample.Error_ == ErrorCode::Draining) {
    bool Known = Host.refusedDraining(Now);
    Host.DrainingUntil_ = Now + DrainingRefusalLifetime;
    if (!Known)
      rebuild(Now);
  }
  Evidence Observed = evidenceOf(Sample);
  if (Observed == Evidence::Success)
    Host.Outliers_.onSuccess();
  else if (Observed != Evidence::Neutral)
    recordFailure(Position->second, Observed == Evidence::HardFailure, Now);
  compareRatios(Now);
}

bool Pool::hasUsableHost(TimePoint Now) const {
  for (std::size_t Index = 0; Index < Records_.size(); ++Index) {
    Group Found = groupOf(Index, Now);
    if (Found == Group::Member || Found == Group::Other)
      return true;
  }
  return false;
}

std::vector<HostId> Pool::members() const {
  std::vector<HostId> Ids;
  for (std::size_t Index : Members_)
    Ids.push_back(Records_[Index].Id_);
  return Ids;
}

std::vector<HostView> Pool::view(TimePoint Now) const {
  std::vector<HostView> Views;
  for (std::size_t Index = 0; Index < Records_.size(); ++Index) {
    const Entry &Host = Entries_[Index];
    Views.push_back({Records_[Index].Id_,
                     Host.refusedDraining(Now) ? HostState::Draining
                                               : Records_[Index].State_,
                     Host.Member_, Host.Outliers_.isEjected(Now),
                     Host.Load_.outstanding(), weightOf(Host, Now)});
  }
  return Views;
}

Pool::Group Pool::groupOf(std::size_t Index, TimePoint Now) const {
  const Entry &Host = Entries_[Index];
  HostState State = Records_[Index].State_;
  if (!takesCalls(State) || Host.refusedDraining(Now))
    return Group::None;
  if (State == HostState::Suspect || Host.Outliers_.isEjected(Now))
    return Group::LastResort;
  return Host.Member_ ? Group::Member : Group::Other;
}

double Pool::weightOf(const Entry &Host, TimePoint Now) const {
  // A re-admitted host also goes through slow start, because its fault may
  // persist.
  TimePoint Start = Host.Outliers_.ejectedUntil();
  if (Host.SlowStartFrom_)
    Start = std::max(Start, *Host.SlowStartFrom_);
  if (Start == TimePoint() || Settings_.SlowStart_ <= Duration::zero())
    return 1;
  double Share = std::chrono::duration<double>(Now - Start) /
                 std::chrono::duration<double>(Settings_.SlowStart_);
  return std::clamp(Share, MinSlowStartWeight, 1.0);
}

Candidate Pool::candidate(std::size_t Index, TimePoint Now) const {
  const Entry &Host = Entries_[Index];
  Candidate Result;
  Result.Index_ = Index;
  Result.Locality_ = Host.Locality_;
  Result.Weight_ = weightOf(Host, Now);
  Result.Utilization_ = Host.Load_.utilization(Settings_.Slots_, Now);
  double Factor = 1;
  if (TypicalLatency_ > Duration::zero())
    Factor = std::clamp(
        static_cast<double>(Host.Load_.latency(TypicalLatency_, Now).count()) /
            static_cast<double>(TypicalLatency_.count()),
        MinLatencyFactor, MaxLatencyFactor);
  Result.Cost_ = Factor;
  return Result;
}

void Pool::setCosts() {
  double Sum = 0;
  for (const Candidate &Host : Candidates_)
    Sum += Host.Utilization_;
  double Average = Sum / static_cast<double>(Candidates_.size());
  double OneCall = 1.0 / std::max(Settings_.Slots_, 1U);
  for (Candidate &Host : Candidates_) {
    double Factor = Host.Cost_;
    // A host that answers more slowly than the others counts as at least as
    // loaded as their average, whatever it reports.
    if (Factor > 1)
      Host.Utilization_ = std::max(Host.Utilization_, Average);
    // Utilization with one more call, times the host's relative latency.
    Host.Cost_ = (Host.Utilization_ + OneCall) * Factor;
  }
}

bool Pool::placesByTime() const {
  if (Settings_.Placement_ != Placement::Reported)
    return Settings_.Placement_ == Placement::Always;
  return SlowdownReported_;
}

void Pool::setTimeCosts(Duration KindMean, TimePoint Now) {
  double Mean = static_cast<double>(KindMean.count());
  double Sum = 0;
  for (Candidate &Host : Candidates_) {
    const Entry &Known = Entries_[Host.Index_];
    auto Run = static_cast<double>(Known.Work_.runTime(KindMean, Now).count());
    auto Wait =
        static_cast<double>(Known.Work_.wait(Settings_.Slots_, Now).count());
    // A host with no free slot makes a request wait whatever its last report
    // says, and so does one whose queue was full.
    double Full = std::max(Host.Utilization_ - 1, 0.0) * Run;
    Host.Cost_ = std::max(Wait, Full) + Run;
    Sum += Host.Cost_;
  }
  double Average = Sum / static_cast<double>(Candidates_.size());
  for (Candidate &Host : Candidates_) {
    // A nearer host is left once it is expected to end later than the average
    // host does.
    Host.Utilization_ = Host.Cost_ / Average;
    Host.Cost_ += Mean * DistanceCost * static_cast<double>(Host.Locality_);
  }
}

Duration Pool::offerBound(std::span<const HostId> Tried, Duration Objective,
                          TimePoint Now) const {
  if (!placesByTime())
    return {};
  for (std::size_t Index = 0; Index < Records_.size(); ++Index)
    if (groupOf(Index, Now) <= Group::Other &&
        std::ranges::find(Tried, Records_[Index].Id_) == Tried.end())
      return Objective / OfferDivisor;
  return {};
}

void Pool::rebuild(TimePoint Now) {
  for (Entry &Host : Entries_)
    Host.Member_ = false;
  Members_ = chooseSubset(
      Settings_.Own_, Records_, Settings_.Subset_, [&](std::size_t Index) {
        return Entries_[Index].refusedDraining(Now) ? HostState::Draining
                                                    : Records_[Index].State_;
      });
  for (std::size_t Index : Members_)
    Entries_[Index].Member_ = true;
}

void Pool::merge(const HostRecord &Old, const HostRecord &New, Entry &Host,
                 TimePoint Now) {
  bool Restarted = New.Incarnation_ != Old.Incarnation_;
  if (isNewer(New, Old))
    Host.DrainingUntil_ = TimePoint();
  if (Restarted) {
    Host = Entry();
    Host.SlowStartFrom_ = Now;
    return;
  }
  // Slow start begins when the target gets ready and has to warm up, also after
  // an evacuation.
  bool TookNoCalls =
      Old.State_ == HostState::Starting || Old.State_ == HostState::Draining;
  if (TookNoCalls && New.State_ == HostState::Ready)
    Host.SlowStartFrom_ = Now;
}

void Pool::recordFailure(std::size_t Index, bool Hard, TimePoint Now) {
  Entry &Host = Entries_[Index];
  bool WasEjected = Host.Outliers_.isEjected(Now);
  if (!Host.Outliers_.onFailure(Settings_.Outliers_) || WasEjected)
    return;
  std::size_t Usable = 0;
  std::size_t Left = 0;
  for (std::size_t Other = 0; Other < Records_.size(); ++Other) {
    Group Found = groupOf(Other, Now);
    Usable += Found <= Group::LastResort ? 1 : 0;
    Left += Found <= Group::Other && Other != Index ? 1 : 0;
  }
  // The last usable host is never ejected, because a failing host is better
  // than none. If many hosts answer with errors, the cause is probably shared,
  // and ejecting more of them would only overload the rest.
  if (Left >= (Hard ? 1 : std::max<std::size_t>(Usable / 2, 1)))
    eject(Index, Now);
}

void Pool::compareRatios(TimePoint Now) {
  if (!WindowStart_)
    WindowStart_ = Now;
  if (Now - *WindowStart_ < Settings_.Outliers_.Window_)
    return;
  WindowStart_ = Now;
  std::vector<std::size_t> Compared;
  std::vector<const OutlierRecord *> Hosts;
  std::size_t Ejected = 0;
  std::size_t Usable = 0;
  for (std::size_t Index = 0; Index < Records_.size(); ++Index) {
    if (!takesCalls(Records_[Index].State_))
      continue;
    ++Usable;
    if (Entries_[Index].Outliers_.isEjected(Now)) {
      ++Ejected;
      continue;
    }
    Compared.push_back(Index);
    Hosts.push_back(&Entries_[Index].Outliers_);
  }
  std::size_t Limit = Usable / RatioEjectionDivisor;
  std::size_t Allowed = Limit > Ejected ? Limit - Ejected : 0;
  std::vector<std::size_t> Outliers =
      outliersByRatio(Hosts, Settings_.Outliers_, Allowed);
  for (std::size_t Position : Outliers)
    eject(Compared[Position], Now);
  for (Entry &Host : Entries_)
    Host.Outliers_.nextWindow(Settings_.Outliers_, Now);
  rebuild(Now);
}

void Pool::eject(std::size_t Index, TimePoint Now) {
  std::uint64_t JitterSeed =
      mixHash(mixHash(hashOf(Settings_.Own_.Id_), hashOf(Records_[Index].Id_)),
              static_cast<std::uint64_t>(Now.time_since_epoch().count()));
  Entries_[Index].Outliers_.eject(Settings_.Outliers_, JitterSeed, Now);
}

} // namespace marigold::routing
