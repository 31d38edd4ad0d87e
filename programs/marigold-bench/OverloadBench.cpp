#include "OverloadBench.h"

#include "Admission/AdmissionControl.h"
#include "Support/Random.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <map>
#include <unordered_map>
#include <vector>

namespace marigold::bench {
namespace {

using namespace admission;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Number of concurrent runs that the simulated target executes at full speed.
constexpr std::uint32_t TargetSlots = 10;
constexpr double ServiceSeconds = 0.005;
constexpr Duration RequestDeadline = milliseconds(100);
constexpr Duration WarmUp = seconds(5);
constexpr Duration Length = seconds(60);

/// Slowdown of the whole target per multiple of its slots that runs in excess,
/// for example by context switches and memory pressure. Without it, overload
/// would cost the target only the work on requests past their deadline.
constexpr double OverloadPenalty = 0.1;

/// Admission settings of the node in front of the target.
struct LimitCase {
  const char *Name_;
  AdmissionSettings Settings_;
};

struct Request {
  Priority Priority_;
  TimePoint Arrival_;
  TimePoint Started_;
};

/// Simulates a processor-sharing target with exponentially distributed work.
/// Every run is equally likely to end next, so the time of the next event
/// depends only on the number of runs.
class OverloadModel {
public:
  OverloadModel(const LimitCase &Case, double Load, std::uint64_t Seed)
      : Control_(Case.Settings_), Load_(Load), Rng_(Seed) {}

  void run() {
    TimePoint End = Start_ + WarmUp + Length;
    while (Now_ < End) {
      // As in a load surge, the overload follows a period of normal load.
      double Factor = Now_ < Start_ + WarmUp ? 0.5 : Load_;
      double ArrivalRate = Factor * TargetSlots / ServiceSeconds;
      double Excess = std::max(0.0, double(Runs_.size()) / TargetSlots - 1);
      double EndRate =
          double(std::min<std::size_t>(Runs_.size(), TargetSlots)) /
          ServiceSeconds / (1 + OverloadPenalty * Excess);
      double Total = ArrivalRate + EndRate;
      Now_ +=
          std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
              -std::log(1 - Rng_.fraction()) / Total));
      endExpiredRuns();
      if (Rng_.chance(ArrivalRate / Total))
        arrive();
      else if (!Runs_.empty())
        finishRun(Rng_.below(Runs_.size()), false);
    }
  }

  /// Rate of requests of all priorities answered before their deadline, divided
  /// by the capacity.
  double goodputRatio() const {
    double Sum = 0;
    for (double Count : InTime_)
      Sum += Count;
    return Sum * ServiceSeconds / TargetSlots /
           std::chrono::duration<double>(Length).count();
  }
  /// Fraction of the offered requests of a priority answered before their
  /// deadline.
  double successRatio(Priority Value) const {
    auto Index = static_cast<std::size_t>(Value);
    return InTime_[Index] / std::max(Offered_[Index], 1.0);
  }
  std::uint32_t limit() const { return Control_.limit(); }

private:
  bool measured(TimePoint Arrival) const { return Arrival >= Start_ + WarmUp; }

  void arrive() {
    std::uint64_t Id = ++LastId_;
    constexpr Priority Mix[]{Priority::Background, Priority::Normal,
                             Priority::Normal, Priority::Normal,
                             Priority::Critical};
    Priority Value = Mix[Rng_.below(5)];
    if (measured(Now_))
      Offered_[static_cast<std::size_t>(Value)] += 1;
    Requests_[Id] = {Value, Now_, {}};
    Submission Result =
        Control_.submit({Id, Value, Now_ + RequestDeadline}, Now_);
    if (Result.Displaced_)
      Requests_.erase(Result.Displaced_->Id_);
    if (Result.Admission_ == Admission::Run)
      start(Id);
    else if (Result.Admission_ == Admission::Refuse)
      Requests_.erase(Id);
  }

  void start(std::uint64_t Id) {
    Requests_[Id].Started_ = Now_;
    Runs_.push_back(Id);
    Deadlines_.emplace(Requests_[Id].Arrival_ + RequestDeadline, Id);
  }

  void apply(const AdmissionActions &Actions) {
    for (std::uint64_t Id : Actions.Start_)
      start(Id);
    for (const RefusedTicket &Ticket : Actions.Refuse_)
      Requests_.erase(Ticket.Id_);
  }

  void finishRun(std::size_t Position, bool Expired) {
    std::uint64_t Id = Runs_[Position];
    Runs_[Position] = Runs_.back();
    Runs_.pop_back();
    Request Ended = Requests_[Id];
    Requests_.erase(Id);
    auto [First, Last] =
        Deadlines_.equal_range(Ended.Arrival_ + RequestDeadline);
    for (auto It = First; It != Last; ++It)
      if (It->second == Id) {
        Deadlines_.erase(It);
        break;
      }
    if (!Expired && measured(Ended.Arrival_))
      InTime_[static_cast<std::size_t>(Ended.Priority_)] += 1;
    apply(Control_.finish(Id, {Now_ - Ended.Started_, true, Expired}, Now_));
  }

  /// Ends the runs past their deadline; the work done for them is lost.
  void endExpiredRuns() {
    while (!Deadlines_.empty() && Deadlines_.begin()->first <= Now_) {
      auto Position =
          std::find(Runs_.begin(), Runs_.end(), Deadlines_.begin()->second);
      finishRun(static_cast<std::size_t>(Position - Runs_.begin()), true);
    }
    apply(Control_.expire(Now_));
  }

  AdmissionControl Control_;
  double Load_;
  Random Rng_;
  TimePoint Start_{seconds(1000)};
  TimePoint Now_ = Start_;
  std::uint64_t LastId_ = 0;
  std::unordered_map<std::uint64_t, Request> Requests_;
  std::vector<std::uint64_t> Runs_;
  std::multimap<TimePoint, std::uint64_t> Deadlines_;
  std::array<double, PriorityCount> InTime_{};
  std::array<double, PriorityCount> Offered_{};
};

AdmissionSettings settings(std::uint32_t Slots, std::uint32_t Queue,
                           bool Adaptive) {
  AdmissionSettings Result;
  Result.Slots_ = Slots;
  Result.Queue_ = Queue;
  Result.Adaptive_ = Adaptive;
  return Result;
}

} // namespace

int runOverloadBench(std::uint64_t Seed) {
  // "off" uses a limit that is never reached, like a node without admission
  // control.
  const LimitCase Cases[]{
      {"off", settings(1000000, 0, false)},
      {"slots", settings(TargetSlots, 20, false)},
      {"slots+adaptive", settings(TargetSlots, 20, true)},
      {"slots-x8", settings(8 * TargetSlots, 20, false)},
      {"slots-x8+adaptive", settings(8 * TargetSlots, 20, true)}};
  for (const LimitCase &Case : Cases)
    for (double Load : {1.0, 2.0, 3.0}) {
      OverloadModel Model(Case, Load, Seed);
      Model.run();
      std::printf("bench=overload limits=%s load=%.0f goodput_ratio=%.3f "
                  "critical_ok=%.3f normal_ok=%.3f background_ok=%.3f "
                  "final_limit=%u\n",
                  Case.Name_, Load, Model.goodputRatio(),
                  Model.successRatio(Priority::Critical),
                  Model.successRatio(Priority::Normal),
                  Model.successRatio(Priority::Background), Model.limit());
    }
  return 0;
}

} // namespace marigold::bench
