#include "Admission/AdmissionControl.h"

#include <algorithm>
#include <tuple>

namespace marigold::admission {
namespace {

/// Run time that is assumed for a request that is about to be queued, in
/// percent of the mean. The margin covers that nearly half of all runs take
/// longer than the mean and that the wait may also be longer than estimated.
constexpr int ExpectedRunPercent = 150;
/// The queue may always hold the limit divided by this number, whatever the
/// estimated wait.
constexpr std::uint32_t ShortQueueDivisor = 4;

/// Upper bound of the expected wait in a load report.
constexpr Duration MaxReportedWait = std::chrono::minutes(1);

std::size_t indexOf(Priority Value) { return static_cast<std::size_t>(Value); }

} // namespace

AdmissionControl::AdmissionControl(AdmissionSettings Settings)
    : Settings_(Settings), Limit_(Settings.Slots_, Settings.AdaptiveSettings_) {
  Settings_.Slots_ = std::max(Settings_.Slots_, 1U);
}

bool AdmissionControl::Waiting::precedes(const Waiting &Other) const {
  return std::tie(Late_, Objective_) < std::tie(Other.Late_, Other.Objective_);
}

Submission AdmissionControl::submit(const CallTicket &Ticket, TimePoint Now) {
  if (Draining_ || Leaving_)
    return {Admission::Refuse, ErrorCode::Draining, std::nullopt};
  if (TargetDown_)
    return {Admission::Refuse, ErrorCode::TargetDown, std::nullopt};
  if (Ticket.Deadline_ <= Now)
    return {Admission::Refuse, ErrorCode::DeadlineBeforeRun, std::nullopt};
  if (transferIsTooLong(Ticket, Now))
    return {Admission::Refuse, ErrorCode::HopelessWait, std::nullopt};
  if (running() < limit() && QueuedCount_ == 0 && ColdStarts_.mayStart(Now)) {
    start(Ticket.Id_, Ticket.Kind_, Now);
    return {Admission::Run, {}, std::nullopt};
  }
  Forecast Expected = forecast(Ticket, Now);
  if (Ticket.MaxWait_ > Duration::zero() &&
      Expected.Start_ > Now + Ticket.MaxWait_ + Ticket.Transfer_)
    return {Admission::Refuse, ErrorCode::TargetBusy, std::nullopt};
  if (waitIsTooLong(Ticket, Expected, Now))
    return {Admission::Refuse, lateReason(Now), std::nullopt};
  Submission Result{Admission::Queue, {}, std::nullopt};
  if (QueuedCount_ >= Settings_.Queue_) {
    Result.Displaced_ = displaceFor(Ticket);
    if (!Result.Displaced_)
      return {Admission::Refuse, queueFullReason(Ticket.Priority_),
              std::nullopt};
  }
  WaitingQueue &Waiters = Queues_[indexOf(Ticket.Priority_)];
  Waiting Entry{Ticket.Id_, Ticket.Deadline_, Ticket.Objective_, Ticket.Kind_,
                Expected.Late_};
  Waiters.insert(
      std::upper_bound(Waiters.begin(), Waiters.end(), Entry,
                       [](const Waiting &Left, const Waiting &Right) {
                         return Left.precedes(Right);
                       }),
      Entry);
  ++QueuedCount_;
  return Result;
}

AdmissionActions AdmissionControl::finish(std::uint64_t Id,
                                          const RunSample &Sample,
                                          TimePoint Now) {
  AdmissionActions Actions;
  std::uint32_t Before = running();
  auto Ended = Running_.extract(Id);
  if (!Ended)
    return Actions;
  if (Sample.Measured_ && Sample.Latency_ >= Duration::zero()) {
    if (Settings_.Adaptive_)
      Limit_.onSample(Sample.Latency_, Sample.Overloaded_, Before, Now);
    RunTimes_.addSample(Ended.mapped().Kind_, Sample.Latency_);
    Work_.onSample(Now);
  }
  startQueued(Actions, Now);
  return Actions;
}

AdmissionActions AdmissionControl::cancel(std::uint64_t Id, TimePoint Now) {
  AdmissionActions Actions;
  for (auto &Queue : Queues_) {
    auto Position =
        std::find_if(Queue.begin(), Queue.end(),
                     [Id](const Waiting &Entry) { return Entry.Id_ == Id; });
    if (Position == Queue.end())
      continue;
    Queue.erase(Position);
    --QueuedCount_;
    Actions.Refuse_.push_back({Id, ErrorCode::CancelledBeforeRun});
    break;
  }
  startQueued(Actions, Now);
  return Actions;
}

AdmissionActions AdmissionControl::expire(TimePoint Now) {
  AdmissionActions Actions;
  for (auto &Queue : Queues_)
    std::erase_if(Queue, [&](const Waiting &Entry) {
      if (Entry.Deadline_ > Now)
        return false;
      Actions.Refuse_.push_back({Entry.Id_, ErrorCode::DeadlineBeforeRun});
      --QueuedCount_;
      return true;
    });
  startQueued(Actions, Now);
  return Actions;
}

AdmissionActions AdmissionControl::beginDrain(TimePoint) {
  Draining_ = true;
  return refuseQueued(ErrorCode::Draining);
}

AdmissionActions AdmissionControl::refuseQueued(ErrorCode Reason) {
  AdmissionActions Actions;
  for (auto &Queue : Queues_) {
    for (const Waiting &Entry : Queue)
      Actions.Refuse_.push_back({Entry.Id_, Reason});
    Queue.clear();
  }
  QueuedCount_ = 0;
  return Actions;
}

AdmissionActions AdmissionControl::targetDown(TimePoint) {
  TargetDown_ = true;
  return refuseQueued(ErrorCode::TargetDown);
}

void AdmissionControl::targetUp() {
  if (!TargetDown_)
    return;
  TargetDown_ = false;
  Limit_.reset();
  RunTimes_.reset();
  Work_.reset();
}

AdmissionActions AdmissionControl::configure(std::uint32_t Slots,
                                             std::uint32_t Queue,
                                             TimePoint Now) {
  AdmissionActions Actions;
  Settings_.Slots_ = std::max(Slots, 1U);
  Settings_.Queue_ = Queue;
  Limit_.setSlots(Settings_.Slots_);
  startQueued(Actions, Now);
  for (auto &Waiters : Queues_)
    while (QueuedCount_ > Queue && !Waiters.empty()) {
      Actions.Refuse_.push_back({Waiters.back().Id_, ErrorCode::Shed});
      Waiters.pop_back();
      --QueuedCount_;
    }
  return Actions;
}

TimePoint AdmissionControl::nextExpiry() const {
  TimePoint Earliest = TimePoint::max();
  for (const auto &Queue : Queues_)
    for (const Waiting &Entry : Queue)
      Earliest = std::min(Earliest, Entry.Deadline_);
  return Earliest;
}

TimePoint AdmissionControl::nextColdStart(TimePoint Now) const {
  if (QueuedCount_ == 0 || running() >= limit())
    return TimePoint::max();
  return ColdStarts_.nextStart(0, Now);
}

std::uint32_t AdmissionControl::limit() const {
  return Settings_.Adaptive_ ? Limit_.limit() : Settings_.Slots_;
}

std::chrono::milliseconds AdmissionControl::retryAfter() const {
  Duration Work = RunTimes_.mean();
  for (const WaitingQueue &Waiters : Queues_)
    for (const Waiting &Entry : Waiters)
      Work += RunTimes_.mean(Entry.Kind_);
  Duration Wait = Work / limit();
  return std::chrono::ceil<std::chrono::milliseconds>(Wait);
}

LoadReport AdmissionControl::load(TimePoint Now) const {
  LoadReport Report{running(), QueuedCount_, limit()};
  Report.StartRate_ = ColdStarts_.rate(Now);
  if (!forecastsWork())
    return Report;
  std::vector<Duration> Before;
  for (const WaitingQueue &Waiters : Queues_)
    for (const Waiting &Entry : Waiters)
      Before.push_back(RunTimes_.mean(Entry.Kind_));
  Duration Wait = std::max(remainingWait(Before, Now),
                           ColdStarts_.nextStart(QueuedCount_, Now) - Now);
  Report.ExpectedWait_ = std::chrono::ceil<std::chrono::microseconds>(
      std::clamp(Wait, Duration::zero(), MaxReportedWait));
  Report.Slowdown_ = Work_.slowdown(Now);
  return Report;
}

void AdmissionControl::start(std::uint64_t Id, std::uint32_t Kind,
                             TimePoint Now) {
  Running_.emplace(Id, Run{Kind, Now});
  ColdStarts_.onStart(Now);
}

bool AdmissionControl::forecastsWork() const {
  return Settings_.Forecast_ == ForecastUse::Always ||
         (Settings_.Forecast_ == ForecastUse::Reported && Work_.isReported());
}

Duration AdmissionControl::remainingWait(std::span<const Duration> Before,
                                         TimePoint Now) const {
  std::vector<RunningWork> Runs;
  Runs.reserve(Running_.size());
  for (const auto &[Id, Held] : Running_)
    Runs.push_back({RunTimes_.mean(Held.Kind_), Held.Start_});
  return Work_.wait(Runs, Before, limit(), Now);
}

/// Whether the answer would come too late even if a slot were free at once.
bool AdmissionControl::transferIsTooLong(const CallTicket &Ticket,
                                         TimePoint Now) const {
  if (Ticket.Transfer_ == Duration::zero())
    return false;
  TimePoint Limit = std::min(Ticket.Objective_, Ticket.Deadline_);
  return Now + RunTimes_.mean(Ticket.Kind_) + Ticket.Transfer_ > Limit;
}

/// Estimates when a request that is queued now would be answered. Requests of
/// higher priorities and those of the same priority with an earlier or equal
/// objective run before it.
AdmissionControl::Forecast AdmissionControl::forecast(const CallTicket &Ticket,
                                                      TimePoint Now) const {
  std::size_t Own = indexOf(Ticket.Priority_);
  Forecast Result;
  // The next slot becomes free after the mean run time divided by the limit.
  Duration Work = RunTimes_.mean();
  std::vector<Duration> Before;
  auto Count = [&](const Waiting &Entry) {
    ++Result.Before_;
    Before.push_back(RunTimes_.mean(Entry.Kind_));
    Work += Before.back();
  };
  for (std::size_t Index = Own + 1; Index < PriorityCount; ++Index)
    std::ranges::for_each(Queues_[Index], Count);
  for (const Waiting &Entry : Queues_[Own])
    if (!Entry.Late_ && Entry.Objective_ <= Ticket.Objective_)
      Count(Entry);
  Duration Wait = Work / limit();
  Duration OwnRun = RunTimes_.mean(Ticket.Kind_);
  if (forecastsWork()) {
    Wait = remainingWait(Before, Now);
    OwnRun = Work_.scaled(OwnRun, Now);
  }
  Result.Start_ =
      std::max(Now + Wait, ColdStarts_.nextStart(Result.Before_ - 1, Now)) +
      Ticket.Transfer_;
  Result.Late_ =
      Ticket.Objective_ != TimePoint::max() &&
      Result.Start_ + OwnRun * ExpectedRunPercent / 100 > Ticket.Objective_;
  return Result;
}

/// Whether a request must not be queued because of the expected time of its
/// answer.
bool AdmissionControl::waitIsTooLong(const CallTicket &Ticket,
                                     const Forecast &Expected,
                                     TimePoint Now) const {
  Duration ShortRun = RunTimes_.lowerQuartile(Ticket.Kind_);
  if (Expected.Start_ + ShortRun > Ticket.Deadline_)
    return true;
  if (!Expected.Late_)
    return false;
  const WaitingQueue &Waiters = Queues_[indexOf(Ticket.Priority_)];
  if (!Waiters.empty() && !Waiters.front().Late_)
    return true;
  // The short queue keeps the slots in use even if runs alone exceed the
  // objective.
  bool CanMeetObjective = Now + ShortRun <= Ticket.Objective_;
  return CanMeetObjective && Expected.Before_ > limit() / ShortQueueDivisor;
}

/// Removes the last queued request of the lowest priority below the ticket's.
/// If there is none, removes the request of the same priority with the latest
/// objective, provided that it is later than the ticket's.
std::optional<RefusedTicket>
AdmissionControl::displaceFor(const CallTicket &Ticket) {
  std::size_t Own = indexOf(Ticket.Priority_);
  for (std::size_t Index = 0; Index < Own; ++Index)
    if (!Queues_[Index].empty())
      return displaceLast(Queues_[Index], ErrorCode::Shed);
  WaitingQueue &Waiters = Queues_[Own];
  if (Waiters.empty() ||
      (!Waiters.back().Late_ && Waiters.back().Objective_ <= Ticket.Objective_))
    return std::nullopt;
  return displaceLast(Waiters, ErrorCode::QueueFull);
}

RefusedTicket AdmissionControl::displaceLast(WaitingQueue &Waiters,
                                             ErrorCode Reason) {
  RefusedTicket Displaced{Waiters.back().Id_, Reason};
  Waiters.pop_back();
  --QueuedCount_;
  return Displaced;
}

/// Reason for a request that does not fit into the queue: Shed if only requests
/// of other priorities wait, QueueFull otherwise.
ErrorCode AdmissionControl::queueFullReason(Priority Value) const {
  bool SamePriorityWaits = !Queues_[indexOf(Value)].empty();
  return QueuedCount_ > 0 && !SamePriorityWaits ? ErrorCode::Shed
                                                : ErrorCode::QueueFull;
}

ErrorCode AdmissionControl::lateReason(TimePoint Now) const {
  return ColdStarts_.mayStart(Now) ? ErrorCode::HopelessWait
                                   : ErrorCode::TargetCold;
}

/// Refuses queued requests that can no longer meet their objective, unless none
/// of their priority can.
void AdmissionControl::refuseLate(WaitingQueue &Waiters,
                                  AdmissionActions &Actions, TimePoint Now) {
  auto IsLate = [&](const Waiting &Entry) {
    return Entry.Objective_ < Now + RunTimes_.lowerQuartile(Entry.Kind_);
  };
  auto HasNoObjective = [](const Waiting &Entry) {
    return Entry.Objective_ == TimePoint::max();
  };
  if (std::ranges::any_of(Waiters, HasNoObjective) ||
      std::ranges::all_of(Waiters, IsLate))
    return;
  std::erase_if(Waiters, [&](const Waiting &Entry) {
    if (!IsLate(Entry))
      return false;
    Actions.Refuse_.push_back({Entry.Id_, ErrorCode::HopelessWait});
    --QueuedCount_;
    return true;
  });
}

void AdmissionControl::startQueued(AdmissionActions &Actions, TimePoint Now) {
  for (std::size_t Index = PriorityCount; Index-- > 0;) {
    auto &Queue = Queues_[Index];
    if (running() < limit())
      refuseLate(Queue, Actions, Now);
    while (!Queue.empty() && running() < limit() && ColdStarts_.mayStart(Now)) {
      Waiting Next = Queue.front();
      Queue.pop_front();
      --QueuedCount_;
      // A run that ends after its deadline would take the slot from a request
      // whose caller still waits.
      if (Next.Deadline_ <= Now + RunTimes_.lowerQuartile(Next.Kind_)) {
        Actions.Refuse_.push_back({Next.Id_, ErrorCode::DeadlineBeforeRun});
        continue;
      }
      start(Next.Id_, Next.Kind_, Now);
      Actions.Start_.push_back(Next.Id_);
    }
  }
}

} // namespace marigold::admission
