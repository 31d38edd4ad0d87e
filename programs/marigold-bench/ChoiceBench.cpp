#include "ChoiceBench.h"

#include "Routing/Pool.h"
#include "Support/Random.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <deque>
#include <queue>
#include <string>
#include <vector>

namespace marigold::bench {
namespace {

using namespace routing;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t Domains = 3;
constexpr std::uint32_t HostsPerDomain = 6;
constexpr std::uint32_t CallersPerDomain = 20;
constexpr std::uint32_t Slots = 10;
constexpr std::uint32_t QueueLimit = 20;

/// Service time in seconds: a fixed part plus an exponentially distributed part
/// with the given mean; 5 ms on average.
constexpr double FixedServiceSeconds = 0.002;
constexpr double MeanExponentialSeconds = 0.003;

/// One-way network latency within a failure domain and between two domains.
constexpr Duration SameDomainLatency = microseconds(50);
constexpr Duration CrossDomainLatency = microseconds(500);

constexpr Duration Length = seconds(10);
/// Calls that start earlier than this are not measured.
constexpr Duration WarmUp = seconds(2);
/// Time at which the scenario's event occurs.
constexpr Duration EventTime = seconds(3);
/// Time until a lost host is detected as dead.
constexpr Duration DetectionTime = seconds(3);
/// Time in which a restarted target goes from one fifth of its speed to full
/// speed.
constexpr Duration ColdTime = seconds(5);
constexpr double ColdFactor = 5;

/// Fleet conditions under which the strategies are compared.
struct Scenario {
  const char *Name_;
  /// Offered load divided by the capacity of all targets.
  double Load_;
  /// Fraction of the calls from callers in the first failure domain.
  double FirstDomainShare_;
  void (*Prepare_)(std::vector<struct Target> &Targets);
  void (*OnEvent_)(std::vector<struct Target> &Targets, TimePoint Now);
};

/// Simulated target with its queue.
struct Target {
  HostRecord Record_;
  /// Factor by which the service time is multiplied.
  double ServiceTimeFactor_ = 1;
  /// Reports no load or a full queue, regardless of the actual load.
  bool ReportsIdle_ = false;
  bool ReportsBusy_ = false;
  bool Down_ = false;
  TimePoint ColdSince_;
  std::uint32_t Running_ = 0;
  std::deque<std::size_t> Waiting_;

  LoadReport report() const {
    if (ReportsIdle_)
      return {0, 0, Slots};
    if (ReportsBusy_)
      return {Slots, QueueLimit, Slots};
    return {Running_, static_cast<std::uint32_t>(Waiting_.size()), Slots};
  }
  double serviceTimeFactorAt(TimePoint Now) const {
    if (ColdSince_ == TimePoint() || Now - ColdSince_ >= ColdTime)
      return ServiceTimeFactor_;
    double Left = 1 - std::chrono::duration<double>(Now - ColdSince_) /
                          std::chrono::duration<double>(ColdTime);
    return ServiceTimeFactor_ * (1 + (ColdFactor - 1) * Left);
  }
};

struct Call {
  std::uint32_t Caller_ = 0;
  std::uint32_t Target_ = 0;
  TimePoint Begin_;
  CallSample Sample_;
};

enum class Step : std::uint8_t {
  Arrive,
  AtTarget,
  Served,
  Answered,
  ScenarioEvent,
  Detect
};

struct Event {
  TimePoint Time_;
  Step Step_;
  std::size_t Call_;

  friend bool operator>(const Event &Left, const Event &Right) {
    return Left.Time_ > Right.Time_;
  }
};

Duration exponential(Random &Rng, double Mean) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(-Mean * std::log(1 - Rng.fraction())));
}

/// Discrete-event simulation of callers with one pool each, of targets, and of
/// the calls between them.
class ChoiceModel {
public:
  ChoiceModel(const Scenario &Which, const char *Strategy, std::uint64_t Seed)
      : Scenario_(Which), Rng_(Seed) {
    for (std::uint32_t Number = 0; Number < Domains * HostsPerDomain;
         ++Number) {
      Target NewTarget;
      NewTarget.Record_.Id_ = {Number, 7400};
      NewTarget.Record_.Incarnation_ = 1;
      NewTarget.Record_.State_ = HostState::Ready;
      NewTarget.Record_.FailureDomain_ = domainName(Number / HostsPerDomain);
      NewTarget.Record_.Region_ = "region";
      Targets_.push_back(std::move(NewTarget));
    }
    if (Scenario_.Prepare_)
      Scenario_.Prepare_(Targets_);
    for (std::uint32_t Number = 0; Number < Domains * CallersPerDomain;
         ++Number) {
      PoolSettings Settings;
      Settings.Own_ = {{1000 + Number, 7400},
                       domainName(Number / CallersPerDomain),
                       "region"};
      Settings.Slots_ = Slots;
      Settings.SlowStart_ = ColdTime;
      Pools_.emplace_back(Settings, std::move(makeStrategy(Strategy).value()));
      Pools_.back().setHosts(records(), Now_);
    }
  }

  void run() {
    push(Now_, Step::Arrive, 0);
    if (Scenario_.OnEvent_) {
      push(Start_ + EventTime, Step::ScenarioEvent, 0);
      push(Start_ + EventTime + DetectionTime, Step::Detect, 0);
    }
    while (!Events_.empty()) {
      Event Next = Events_.top();
      Events_.pop();
      Now_ = Next.Time_;
      handle(Next);
    }
  }

  void print(const char *Strategy) {
    std::sort(Latencies_.begin(), Latencies_.end());
    auto Quantile = [this](double Part) {
      return std::chrono::duration<double, std::milli>(
                 Latencies_[static_cast<std::size_t>(
                     Part * static_cast<double>(Latencies_.size() - 1))])
          .count();
    };
    std::printf("bench=choice scenario=%s strategy=%s p50_ms=%.2f p99_ms=%.2f "
                "calls=%zu failures=%zu failure_ratio=%.5f local_ratio=%.3f\n",
                Scenario_.Name_, Strategy, Quantile(0.5), Quantile(0.99),
                Measured_, Failures_,
                double(Failures_) / double(std::max<std::size_t>(Measured_, 1)),
                double(Local_) / double(std::max<std::size_t>(Measured_, 1)));
  }

private:
  static std::string domainName(std::uint32_t Number) {
    return std::string(1, static_cast<char>('a' + Number));
  }

  std::vector<HostRecord> records() const {
    std::vector<HostRecord> Records;
    for (const Target &Host : Targets_)
      Records.push_back(Host.Record_);
    return Records;
  }

  void push(TimePoint Time, Step Which, std::size_t Index) {
    Events_.push({Time, Which, Index});
  }

  Duration latency(const Call &Current) const {
    return Current.Caller_ / CallersPerDomain ==
                   Current.Target_ / HostsPerDomain
               ? SameDomainLatency
               : CrossDomainLatency;
  }

  void handle(const Event &Next) {
    switch (Next.Step_) {
    case Step::Arrive:
      arrive();
      break;
    case Step::AtTarget:
      atTarget(Next.Call_);
      break;
    case Step::Served:
      served(Next.Call_);
      break;
    case Step::Answered:
      answered(Next.Call_);
      break;
    case Step::ScenarioEvent:
      Scenario_.OnEvent_(Targets_, Now_);
      for (Pool &Hosts : Pools_)
        for (const Target &Host : Targets_)
          if (!Host.Down_)
            Hosts.updateHost(Host.Record_, Now_);
      break;
    case Step::Detect:
      for (Target &Host : Targets_)
        if (Host.Down_)
          Host.Record_.State_ = HostState::Dead;
      for (Pool &Hosts : Pools_)
        Hosts.setHosts(records(), Now_);
      break;
    }
  }

  void arrive() {
    constexpr double Capacity = Domains * HostsPerDomain * Slots /
                                (FixedServiceSeconds + MeanExponentialSeconds);
    TimePoint Next = Now_ + exponential(Rng_, 1 / (Scenario_.Load_ * Capacity));
    if (Next < Start_ + Length)
      push(Next, Step::Arrive, 0);
    std::uint32_t Domain =
        Rng_.chance(Scenario_.FirstDomainShare_)
            ? 0
            : 1 + static_cast<std::uint32_t>(Rng_.below(Domains - 1));
    std::size_t Index = allocateCall();
    Call &NewCall = Calls_[Index];
    NewCall = {};
    NewCall.Caller_ = Domain * CallersPerDomain +
                      static_cast<std::uint32_t>(Rng_.below(CallersPerDomain));
    NewCall.Begin_ = Now_;
    auto ChosenHost = Pools_[NewCall.Caller_].choose({}, Now_, Rng_);
    if (!ChosenHost) {
      count(NewCall, false);
      FreeCalls_.push_back(Index);
      return;
    }
    NewCall.Target_ = ChosenHost.value().Ipv4_;
    push(Now_ + latency(NewCall), Step::AtTarget, Index);
  }

  void atTarget(std::size_t Index) {
    Call &Current = Calls_[Index];
    Target &Host = Targets_[Current.Target_];
    if (Host.Down_) {
      finish(Index, ErrorCode::ConnectionFailed);
    } else if (Host.Running_ < Slots) {
      start(Index);
    } else if (Host.Waiting_.size() < QueueLimit) {
      Host.Waiting_.push_back(Index);
    } else {
      Current.Sample_.Load_ = Host.report();
      finish(Index, ErrorCode::QueueFull);
    }
  }

  void start(std::size_t Index) {
    Target &Host = Targets_[Calls_[Index].Target_];
    ++Host.Running_;
    double Factor = Host.serviceTimeFactorAt(Now_);
    Duration Time =
        std::chrono::duration_cast<Duration>(
            std::chrono::duration<double>(FixedServiceSeconds * Factor)) +
        exponential(Rng_, MeanExponentialSeconds * Factor);
    push(Now_ + Time, Step::Served, Index);
  }

  void served(std::size_t Index) {
    Target &Host = Targets_[Calls_[Index].Target_];
    --Host.Running_;
    if (!Host.Waiting_.empty()) {
      std::size_t Next = Host.Waiting_.front();
      Host.Waiting_.pop_front();
      start(Next);
    }
    Calls_[Index].Sample_.Load_ = Host.report();
    finish(Index,
           Host.Down_ ? std::optional(ErrorCode::NodeLost) : std::nullopt);
  }

  void finish(std::size_t Index, std::optional<ErrorCode> Error) {
    Calls_[Index].Sample_.Error_ = Error;
    push(Now_ + latency(Calls_[Index]), Step::Answered, Index);
  }

  void answered(std::size_t Index) {
    Call &Current = Calls_[Index];
    Current.Sample_.Latency_ = Now_ - Current.Begin_;
    Pools_[Current.Caller_].onResult({Current.Target_, 7400}, Current.Sample_,
                                     Now_);
    count(Current, !Current.Sample_.Error_);
    FreeCalls_.push_back(Index);
  }

  void count(const Call &Ended, bool Answered) {
    if (Ended.Begin_ < Start_ + WarmUp)
      return;
    ++Measured_;
    if (!Answered) {
      ++Failures_;
      return;
    }
    Latencies_.push_back(Ended.Sample_.Latency_);
    Local_ += latency(Ended) == SameDomainLatency ? 1 : 0;
  }

  std::size_t allocateCall() {
    if (FreeCalls_.empty()) {
      Calls_.emplace_back();
      return Calls_.size() - 1;
    }
    std::size_t Index = FreeCalls_.back();
    FreeCalls_.pop_back();
    return Index;
  }

  const Scenario &Scenario_;
  Random Rng_;
  TimePoint Start_{seconds(1000)};
  TimePoint Now_ = Start_;
  std::vector<Target> Targets_;
  std::vector<Pool> Pools_;
  std::vector<Call> Calls_;
  std::vector<std::size_t> FreeCalls_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> Events_;
  std::vector<Duration> Latencies_;
  std::size_t Measured_ = 0;
  std::size_t Failures_ = 0;
  std::size_t Local_ = 0;
};

void halfSpeedHosts(std::vector<Target> &Targets) {
  for (std::size_t Index = 0; Index < Targets.size(); Index += HostsPerDomain)
    Targets[Index].ServiceTimeFactor_ = 2;
}

/// In each failure domain, one slow host reports no load and one host at normal
/// speed reports a full queue.
void falseReports(std::vector<Target> &Targets) {
  for (std::size_t Index = 0; Index < Targets.size(); Index += HostsPerDomain) {
    Targets[Index].ServiceTimeFactor_ = 4;
    Targets[Index].ReportsIdle_ = true;
    Targets[Index + 1].ReportsBusy_ = true;
  }
}

void restartSomeHosts(std::vector<Target> &Targets, TimePoint Now) {
  for (std::size_t Index = 0; Index < Targets.size(); Index += HostsPerDomain) {
    Targets[Index].ColdSince_ = Now;
    ++Targets[Index].Record_.Incarnation_;
  }
}

void loseLastDomain(std::vector<Target> &Targets, TimePoint) {
  for (std::size_t Index = Targets.size() - HostsPerDomain;
       Index < Targets.size(); ++Index)
    Targets[Index].Down_ = true;
}

/// Measures and prints the real time to choose a host and record the result.
void measureCost(const char *Strategy, std::uint32_t Hosts) {
  PoolSettings Settings;
  Settings.Own_ = {{100000, 7400}, "a", "region"};
  Pool Pool(Settings, std::move(makeStrategy(Strategy).value()));
  std::vector<HostRecord> Records(Hosts);
  for (std::uint32_t Number = 0; Number < Hosts; ++Number) {
    Records[Number].Id_ = {Number, 7400};
    Records[Number].State_ = HostState::Ready;
    Records[Number].FailureDomain_ = Number % 3 ? "a" : "b";
    Records[Number].Region_ = "region";
  }
  constexpr int Rounds = 300000;
  Random Rng(1);
  TimePoint Now{seconds(1000)};
  auto Begin = std::chrono::steady_clock::now();
  Pool.setHosts(Records, Now);
  auto Filled = std::chrono::steady_clock::now();
  for (int Round = 0; Round < Rounds; ++Round) {
    Now += microseconds(100);
    HostId Id = Pool.choose({}, Now, Rng).value();
    Pool.onResult(Id, {{}, false, milliseconds(5), LoadReport{3, 0, 10}}, Now);
  }
  auto End = std::chrono::steady_clock::now();
  std::printf(
      "bench=choice-cost strategy=%s hosts=%u choice_ns=%.0f "
      "set_hosts_us=%.0f\n",
      Strategy, Hosts,
      std::chrono::duration<double, std::nano>(End - Filled).count() / Rounds,
      std::chrono::duration<double, std::micro>(Filled - Begin).count());
}

} // namespace

int runChoiceBench(std::uint64_t Seed) {
  constexpr const char *Strategies[]{"random", "round-robin", "two-choices",
                                     "two-choices-local"};
  const Scenario Scenarios[]{
      {"even", 0.7, 1.0 / Domains, nullptr, nullptr},
      {"skew", 0.7, 0.6, halfSpeedHosts, nullptr},
      {"cold-start", 0.7, 1.0 / Domains, nullptr, restartSomeHosts},
      {"false-load", 0.6, 1.0 / Domains, falseReports, nullptr},
      {"failing-domain", 0.5, 1.0 / Domains, nullptr, loseLastDomain}};
  for (const Scenario &Which : Scenarios)
    for (const char *Strategy : Strategies) {
      ChoiceModel Model(Which, Strategy, Seed);
      Model.run();
      Model.print(Strategy);
    }
  for (const char *Strategy : Strategies)
    for (std::uint32_t Hosts : {17U, 3000U})
      measureCost(Strategy, Hosts);
  return 0;
}

} // namespace marigold::bench
