#include "PlacementReplay.h"

#include "Hosts.h"

#include "Admission/AdmissionControl.h"
#include "Calls/Retry.h"
#include "Routing/OfferPlan.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <functional>
#include <queue>

namespace marigold::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t Targets = 13;
constexpr std::size_t Nodes = 20;
constexpr std::uint32_t Slots = 4;
constexpr Duration Objective = milliseconds(900);
constexpr Duration Length = seconds(30);
constexpr double RequestsPerSecond = 225;
constexpr std::array<Duration, 3> KindTimes{milliseconds(60), milliseconds(150),
                                            milliseconds(360)};

struct Request {
  std::uint64_t Id_ = 0;
  std::size_t Node_ = 0;
  std::uint32_t Kind_ = 0;
  TimePoint Begin_;
  TimePoint Started_;
  std::vector<HostId> Tried_;
  OfferPlan Offers_;
};

class Replay {
public:
  Replay(ReplayMode Mode, std::uint64_t Seed) : Mode_(Mode), Rng_(Seed) {
    std::vector<HostRecord> Hosts;
    admission::AdmissionSettings Settings;
    Settings.Slots_ = Slots;
    Settings.Queue_ = 8;
    Settings.Adaptive_ = false;
    if (!Mode.ByTime_)
      Settings.Forecast_ = admission::ForecastUse::Off;
    for (std::uint32_t Number = 0; Number < Targets; ++Number) {
      Hosts.push_back(makeHost(Number, "a"));
      Controls_.emplace_back(Settings);
      Phases_.push_back(Rng_.next());
    }
    PoolSettings Values;
    Values.Own_ = makeLocation();
    Values.Subset_ = Targets;
    Values.Slots_ = Slots;
    Values.Placement_ = Mode.ByTime_ ? Placement::Reported : Placement::Off;
    for (std::size_t Node = 0; Node < Nodes; ++Node) {
      Pools_.emplace_back(Values,
                          std::move(makeStrategy("two-choices-local").value()));
      Pools_.back().setHosts(Hosts, Now_);
      Budgets_.emplace_back(calls::RetryBudgetSettings(), Now_);
    }
  }

  ReplayResult run() {
    arrive();
    while (!Events_.empty()) {
      Event Next = Events_.top();
      Events_.pop();
      Now_ = Next.At_;
      Next.Run_();
    }
    std::ranges::sort(Times_);
    Result_.P99_ = Times_[Times_.size() * 99 / 100];
    auto Late = static_cast<double>(std::ranges::count_if(
        Times_, [](Duration Time) { return Time > Objective; }));
    Result_.ShareLate_ = Late / static_cast<double>(Times_.size());
    Duration Total{};
    for (Duration Time : Times_)
      Total += Time;
    Result_.Mean_ = Total / static_cast<Duration::rep>(Times_.size());
    Duration Sum{};
    for (Duration Busy : Busy_)
      Sum += Busy;
    Result_.BusiestToMean_ =
        static_cast<double>(std::ranges::max(Busy_).count()) * Targets /
        static_cast<double>(Sum.count());
    return Result_;
  }

private:
  struct Event {
    TimePoint At_;
    std::uint64_t Number_;
    std::function<void()> Run_;

    bool operator<(const Event &Other) const {
      return std::tie(At_, Number_) > std::tie(Other.At_, Other.Number_);
    }
  };

  void at(Duration Delay, std::function<void()> Run) {
    Events_.push({Now_ + Delay, ++LastEvent_, std::move(Run)});
  }

  /// Slowdown of a target's host in percent.
  std::uint32_t slowdown(std::uint32_t Target) const {
    auto Step =
        static_cast<std::uint64_t>(Now_.time_since_epoch() / milliseconds(150));
    return 60 +
           static_cast<std::uint32_t>(mixHash(Phases_[Target], Step) % 121);
  }

  void arrive() {
    Request Made;
    Made.Id_ = ++LastId_;
    Made.Node_ = Rng_.below(Nodes);
    Made.Kind_ = static_cast<std::uint32_t>(Rng_.below(KindTimes.size()));
    Made.Begin_ = Now_;
    Budgets_[Made.Node_].onCall(Now_);
    send(std::move(Made));
    double Gap =
        -std::log(1 - static_cast<double>(Rng_.below(1'000'000)) / 1e6) /
        RequestsPerSecond;
    auto Delay = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(Gap));
    if (Now_ + Delay < End_)
      at(Delay, [this] { arrive(); });
  }

  void send(Request Made) {
    auto Chosen =
        Pools_[Made.Node_].choose({Made.Tried_, Made.Kind_}, Now_, Rng_);
    if (auto Best = Made.Offers_.best()) {
      end(Made, Chosen.value().Ipv4_, {ErrorCode::Cancelled, false, {}, {}});
      Chosen = *Best;
      Pools_[Made.Node_].startCall(*Best, Now_);
    }
    if (!Chosen || Made.Tried_.size() - Made.Offers_.declined() == 3) {
      if (Chosen)
        end(Made, Chosen.value().Ipv4_, {ErrorCode::Cancelled, false, {}, {}});
      Times_.push_back(seconds(60));
      return;
    }
    std::uint32_t Target = Chosen.value().Ipv4_;
    Made.Tried_.push_back(Chosen.value());
    admission::CallTicket Ticket{Made.Id_, Priority::Normal,
                                 Made.Begin_ + 2 * Objective};
    Ticket.Objective_ = Made.Begin_ + Objective;
    Ticket.Kind_ = Made.Kind_;
    if (Mode_.Offers_ && Budgets_[Made.Node_].available(Now_))
      Ticket.MaxWait_ = Made.Offers_.bound(
          Pools_[Made.Node_].offerBound(Made.Tried_, Objective, Now_), 0);
    Waiting_[Made.Id_] = Made;
    admission::Submission Decision = Controls_[Target].submit(Ticket, Now_);
    if (Decision.Displaced_)
      refuse(Target, *Decision.Displaced_);
    if (Decision.Admission_ == admission::Admission::Refuse)
      refuse(Target, {Made.Id_, Decision.Reason_});
    else if (Decision.Admission_ == admission::Admission::Run)
      start(Target, Made.Id_);
  }

  void refuse(std::uint32_t Target, const admission::RefusedTicket &Ticket) {
    Result_.Declined_ += Ticket.Reason_ == ErrorCode::TargetBusy ? 1 : 0;
    Request Refused = std::move(Waiting_[Ticket.Id_]);
    Waiting_.erase(Ticket.Id_);
    LoadReport Load = Controls_[Target].load(Now_);
    if (Ticket.Reason_ == ErrorCode::TargetBusy)
      Refused.Offers_.onDeclined({Target, 7400}, Load.ExpectedWait_);
    static_cast<void>(Budgets_[Refused.Node_].take(Now_));
    end(Refused, Target, {Ticket.Reason_, false, {}, Load});
    at(milliseconds(1), [this, Refused] { send(Refused); });
  }

  void start(std::uint32_t Target, std::uint64_t Id) {
    Request &Run = Waiting_[Id];
    Run.Started_ = Now_;
    double Speed = Target % 3 == 2 ? 1.6 : 0.7;
    double Spread = 0.8 + 0.4 * static_cast<double>(Rng_.below(1000)) / 1000;
    auto Time = std::chrono::duration_cast<Duration>(
        KindTimes[Run.Kind_] * Speed * Spread * slowdown(Target) / 100.0);
    at(Time, [this, Target, Id] { finish(Target, Id); });
  }

  void finish(std::uint32_t Target, std::uint64_t Id) {
    admission::AdmissionControl &Control = Controls_[Target];
    Request Done = std::move(Waiting_[Id]);
    Waiting_.erase(Id);
    Duration Time = Now_ - Done.Started_;
    Busy_[Target] += Time;
    Control.onSlowdown(slowdown(Target), Now_);
    admission::AdmissionActions Actions =
        Control.finish(Id, {.Latency_ = Time}, Now_);
    Times_.push_back(Now_ - Done.Begin_);
    end(Done, Target,
        {std::nullopt, false, Now_ - Done.Begin_, Control.load(Now_),
         Done.Kind_, Time});
    for (const admission::RefusedTicket &Ticket : Actions.Refuse_)
      refuse(Target, Ticket);
    for (std::uint64_t Started : Actions.Start_)
      start(Target, Started);
  }

  void end(const Request &Ended, std::uint32_t Target,
           const CallSample &Sample) {
    Pools_[Ended.Node_].onResult({Target, 7400}, Sample, Now_);
  }

  ReplayMode Mode_;
  Random Rng_;
  TimePoint Now_{seconds(1000)};
  TimePoint End_ = Now_ + Length;
  std::vector<admission::AdmissionControl> Controls_;
  std::vector<Pool> Pools_;
  /// Redirect budgets of the nodes.
  std::vector<calls::RetryBudget> Budgets_;
  std::vector<std::uint64_t> Phases_;
  std::priority_queue<Event> Events_;
  std::uint64_t LastEvent_ = 0;
  std::uint64_t LastId_ = 0;
  std::unordered_map<std::uint64_t, Request> Waiting_;
  std::array<Duration, Targets> Busy_{};
  std::vector<Duration> Times_;
  ReplayResult Result_;
};

} // namespace

ReplayResult replayPlacement(ReplayMode Mode, std::uint64_t Seed) {
  return Replay(Mode, Seed).run();
}

} // namespace marigold::routing
