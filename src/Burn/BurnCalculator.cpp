#include "Burn/BurnCalculator.h"

#include <algorithm>

namespace marigold::burn {
namespace {

constexpr std::string_view SlowOutcome = "slow";
constexpr std::string_view CallsSeries = "marigold_calls_total";
constexpr std::string_view SlowSeries = "marigold_calls_slow_total";

std::string labelOf(const Series &Value, const std::string &Name) {
  auto Position = Value.Labels_.find(Name);
  return Position == Value.Labels_.end() ? std::string() : Position->second;
}

/// Ratio of bad events divided by the ratio that the objective allows; nothing
/// if there were no events. An objective of 1 allows no bad events, so a single
/// one gives an infinite rate.
std::optional<double> burnRate(double Bad, double All, double Objective) {
  if (All <= 0)
    return std::nullopt;
  if (Bad <= 0)
    return 0.0;
  return Bad / All / (1 - Objective);
}

/// Remaining fraction of the error budget after a window with this burn.
std::optional<double> budgetLeft(const WindowBurn &Burn) {
  if (!Burn.AvailabilityRate_)
    return std::nullopt;
  double Rate = *Burn.AvailabilityRate_;
  if (Burn.LatencyRate_)
    Rate = std::max(Rate, *Burn.LatencyRate_);
  return 1 - Rate;
}

} // namespace

std::string_view toText(DataState State) {
  switch (State) {
  case DataState::Complete:
    return "complete";
  case DataState::Partial:
    return "partial";
  case DataState::Missing:
    break;
  }
  return "missing";
}

void BurnCalculator::addScrape(const std::vector<NodeSample> &Samples,
                               TimePoint Now) {
  Interval Next{LastScrape_.value_or(Now), Now, {}};
  MissingNodes_.clear();
  for (const NodeSample &Sample : Samples) {
    if (!Sample.Series_) {
      MissingNodes_.push_back(Sample.Node_);
      continue;
    }
    addNode(Sample, Next.Increments_);
  }
  LastScrape_ = Now;
  Intervals_.push_back(std::move(Next));
  while (!Intervals_.empty() && Intervals_.front().To_ < Now - Retention_)
    Intervals_.pop_front();
}

void BurnCalculator::addNode(const NodeSample &Sample, Counts &Increments) {
  Counts Current;
  for (const Series &Value : *Sample.Series_) {
    bool Slow = Value.Name_ == SlowSeries;
    if (!Slow && Value.Name_ != CallsSeries)
      continue;
    std::string Service = labelOf(Value, "service");
    SeenServices_.insert(Service);
    Current[{Service, Sample.FailureDomain_,
             Slow ? std::string(SlowOutcome) : labelOf(Value, "outcome")}] +=
        Value.Value_;
  }
  // The first scrape of a node only sets the baseline, since its counters may
  // include calls from long before the first scrape.
  auto [Position, First] = PreviousCounts_.try_emplace(Sample.Node_);
  if (!First)
    for (const auto &[Key, Value] : Current) {
      auto Before = Position->second.find(Key);
      double Base = Before == Position->second.end() ? 0 : Before->second;
      Increments[Key] += Value < Base ? Value : Value - Base;
    }
  Position->second = std::move(Current);
}

BurnCalculator::Counts BurnCalculator::sumSince(TimePoint Start) const {
  Counts Sum;
  for (const Interval &Part : Intervals_)
    if (Part.From_ >= Start)
      for (const auto &[Key, Value] : Part.Increments_)
        Sum[Key] += Value;
  return Sum;
}

WindowBurn BurnCalculator::window(const std::string &Service,
                                  const ServiceObjective &Objective,
                                  Duration Length, TimePoint Now) const {
  WindowBurn Burn;
  TimePoint Start = Now - Length;
  for (const Interval &Part : Intervals_)
    if (Part.From_ >= Start)
      Burn.Covered_ += Part.To_ - Part.From_;
  for (const auto &[Key, Value] : sumSince(Start)) {
    if (Key.Service_ != Service)
      continue;
    if (Key.Outcome_ == SlowOutcome) {
      Burn.Counts_.Slow_ += Value;
      continue;
    }
    Burn.Counts_.Calls_ += Value;
    if (Key.Outcome_ != outcomeText(Outcome::Ok))
      Burn.Counts_.Failed_ += Value;
  }
  const CallCounts &Counted = Burn.Counts_;
  Burn.AvailabilityRate_ =
      burnRate(Counted.Failed_, Counted.Calls_, Objective.Availability_);
  Burn.LatencyRate_ = burnRate(Counted.Slow_, Counted.Calls_ - Counted.Failed_,
                               Objective.LatencyRatio_);
  return Burn;
}

DataState BurnCalculator::dataState(const std::string &Service) const {
  if (!SeenServices_.contains(Service) || Intervals_.size() < 2)
    return DataState::Missing;
  return MissingNodes_.empty() ? DataState::Complete : DataState::Partial;
}

BurnReport BurnCalculator::report(Duration FastWindow, Duration SlowWindow,
                                  TimePoint Now) const {
  BurnReport Report;
  Report.MissingNodes_ = MissingNodes_;
  Counts Long = sumSince(Now - SlowWindow);
  for (const auto &[Service, Objective] : Objectives_) {
    ServiceBurn Burn{Service, Objective, dataState(Service), {}, {}, {}, {}};
    Burn.FastWindow_ = window(Service, Objective, FastWindow, Now);
    Burn.SlowWindow_ = window(Service, Objective, SlowWindow, Now);
    Burn.BudgetLeft_ = budgetLeft(Burn.SlowWindow_);
    for (const auto &[Key, Value] : Long)
      if (Key.Service_ == Service && Value > 0 &&
          Key.Outcome_ != outcomeText(Outcome::Ok))
        Burn.Causes_.push_back({Key.FailureDomain_, Key.Outcome_, Value});
    std::stable_sort(Burn.Causes_.begin(), Burn.Causes_.end(),
                     [](const FailureCause &Left, const FailureCause &Right) {
                       return Left.Calls_ > Right.Calls_;
                     });
    Report.Services_.push_back(std::move(Burn));
  }
  return Report;
}

} // namespace marigold::burn
