#include "Admission/AdmissionControl.h"

#include <algorithm>

namespace marigold::admission {
namespace {

/// Reciprocal of the weight of a new latency in the estimates.
constexpr int Smoothing = 16;
/// Time that a run is expected to take when a request joins the queue, in
/// percent of the mean: a run is longer than the mean in nearly half of all
/// cases, and the wait before it may be, too.
constexpr int ExpectedRunPercent = 150;
/// The queue that is allowed whatever its wait is this part of the limit.
constexpr std::uint32_t ShortQueue = 4;

std::size_t indexOf(Priority Value) { return static_cast<std::size_t>(Value); }

} // namespace

AdmissionControl::AdmissionControl(AdmissionSettings Settings)
    : Settings_(Settings), Limit_(Settings.Slots_, Settings.AdaptiveSettings_) {
  Settings_.Slots_ = std::max(Settings_.Slots_, 1U);
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
  if (running() < limit() && QueuedCount_ == 0) {
    Running_.insert(Ticket.Id_);
    return {Admission::Run, {}, std::nullopt};
  }
  if (waitIsTooLong(Ticket, Now))
    return {Admission::Refuse, ErrorCode::HopelessWait, std::nullopt};
  Submission Result{Admission::Queue, {}, std::nullopt};
  if (QueuedCount_ >= Settings_.Queue_) {
    Result.Displaced_ = displaceBelow(Ticket.Priority_);
    if (!Result.Displaced_)
      return {Admission::Refuse, refusalOfFullQueue(Ticket.Priority_),
              std::nullopt};
  }
  WaitingQueue &Waiters = Queues_[indexOf(Ticket.Priority_)];
  Waiters.insert(
      std::upper_bound(Waiters.begin(), Waiters.end(), Ticket.Objective_,
                       [](TimePoint Objective, const Waiting &Entry) {
                         return Objective < Entry.Objective_;
                       }),
      {Ticket.Id_, Ticket.Deadline_, Ticket.Objective_});
  ++QueuedCount_;
  return Result;
}

AdmissionActions AdmissionControl::finish(std::uint64_t Id,
                                          const RunSample &Sample,
                                          TimePoint Now) {
  AdmissionActions Actions;
  std::uint32_t Before = running();
  if (Running_.erase(Id) == 0)
    return Actions;
  if (Sample.Measured_ && Sample.Latency_ >= Duration::zero()) {
    if (Settings_.Adaptive_)
      Limit_.onSample(Sample.Latency_, Sample.Overloaded_, Before, Now);
    learnLatency(Sample.Latency_);
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
  AdmissionActions Actions;
  Draining_ = true;
  refuseQueue(Actions, ErrorCode::Draining);
  return Actions;
}

AdmissionActions AdmissionControl::setLeaving(bool Leaving, TimePoint) {
  AdmissionActions Actions;
  Leaving_ = Leaving;
  if (Leaving)
    refuseQueue(Actions, ErrorCode::Draining);
  return Actions;
}

AdmissionActions AdmissionControl::targetDown(TimePoint) {
  AdmissionActions Actions;
  TargetDown_ = true;
  refuseQueue(Actions, ErrorCode::TargetDown);
  return Actions;
}

void AdmissionControl::targetUp() {
  if (!TargetDown_)
    return;
  TargetDown_ = false;
  Limit_.reset();
  MeanLatency_ = Duration::zero();
  QuickLatency_ = Duration::zero();
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

std::uint32_t AdmissionControl::limit() const {
  return Settings_.Adaptive_ ? Limit_.limit() : Settings_.Slots_;
}

std::chrono::milliseconds AdmissionControl::returnTime() const {
  Duration Wait =
      MeanLatency_ * static_cast<std::int64_t>(QueuedCount_ + 1) / limit();
  return std::chrono::ceil<std::chrono::milliseconds>(Wait);
}

LoadReport AdmissionControl::load() const {
  return {running(), QueuedCount_, limit()};
}

/// Updates the mean and, by stochastic approximation, the lower quartile. The
/// quartile stands for a request's own run, so that a service with a few slow
/// requests still queues its quick ones.
void AdmissionControl::learnLatency(Duration Latency) {
  if (MeanLatency_ == Duration::zero()) {
    MeanLatency_ = QuickLatency_ = Latency;
    return;
  }
  MeanLatency_ += (Latency - MeanLatency_) / Smoothing;
  Duration Step = MeanLatency_ / Smoothing / 4;
  QuickLatency_ += Latency < QuickLatency_ ? -3 * Step : Step;
  QuickLatency_ = std::clamp(QuickLatency_, Duration::zero(), MeanLatency_);
}

/// Whether the answer, even without any wait for a slot, would come too late.
bool AdmissionControl::transferIsTooLong(const CallTicket &Ticket,
                                         TimePoint Now) const {
  if (Ticket.Transfer_ == Duration::zero())
    return false;
  TimePoint Limit = std::min(Ticket.Objective_, Ticket.Deadline_);
  return Now + QuickLatency_ + Ticket.Transfer_ > Limit;
}

/// Whether the answer of a request that joins the queue now would come too late
/// to be of full use. The requests before it are those that are more important
/// and those of its own priority with an earlier objective.
bool AdmissionControl::waitIsTooLong(const CallTicket &Ticket,
                                     TimePoint Now) const {
  std::size_t Own = indexOf(Ticket.Priority_);
  std::size_t Before = 1;
  for (std::size_t Index = Own + 1; Index < PriorityCount; ++Index)
    Before += Queues_[Index].size();
  for (const Waiting &Entry : Queues_[Own])
    Before += Entry.Objective_ <= Ticket.Objective_ ? 1 : 0;
  Duration Wait = MeanLatency_ * static_cast<std::int64_t>(Before) / limit();
  Wait += Ticket.Transfer_;
  if (Now + Wait + QuickLatency_ > Ticket.Deadline_)
    return true;
  bool Timely = Ticket.Objective_ != TimePoint::max() &&
                Now + QuickLatency_ <= Ticket.Objective_;
  // A short queue keeps the slots in use also when runs alone miss the
  // objective.
  if (!Timely || Before <= limit() / ShortQueue)
    return false;
  return Now + Wait + MeanLatency_ * ExpectedRunPercent / 100 >
         Ticket.Objective_;
}

/// Removes the latest arrival of the lowest priority below Value.
std::optional<RefusedTicket> AdmissionControl::displaceBelow(Priority Value) {
  for (std::size_t Index = 0; Index < indexOf(Value); ++Index) {
    auto &Queue = Queues_[Index];
    if (Queue.empty())
      continue;
    RefusedTicket Displaced{Queue.back().Id_, ErrorCode::Shed};
    Queue.pop_back();
    --QueuedCount_;
    return Displaced;
  }
  return std::nullopt;
}

/// Shed when only more important requests wait, QueueFull otherwise.
ErrorCode AdmissionControl::refusalOfFullQueue(Priority Value) const {
  bool SameWaits = !Queues_[indexOf(Value)].empty();
  return QueuedCount_ > 0 && !SameWaits ? ErrorCode::Shed
                                        : ErrorCode::QueueFull;
}

/// Refuses the requests that can no longer meet their objective while others
/// of their priority still can.
void AdmissionControl::dropLate(WaitingQueue &Waiters,
                                AdmissionActions &Actions, TimePoint Now) {
  if (Waiters.empty() || Waiters.back().Objective_ == TimePoint::max() ||
      Waiters.back().Objective_ < Now + QuickLatency_)
    return;
  while (Waiters.front().Objective_ < Now + QuickLatency_) {
    Actions.Refuse_.push_back({Waiters.front().Id_, ErrorCode::HopelessWait});
    Waiters.pop_front();
    --QueuedCount_;
  }
}

void AdmissionControl::startQueued(AdmissionActions &Actions, TimePoint Now) {
  for (std::size_t Index = PriorityCount; Index-- > 0;) {
    auto &Queue = Queues_[Index];
    if (running() < limit())
      dropLate(Queue, Actions, Now);
    while (!Queue.empty() && running() < limit()) {
      Waiting Next = Queue.front();
      Queue.pop_front();
      --QueuedCount_;
      // A run whose answer comes too late would take the slot of one whose
      // answer is still wanted.
      if (Next.Deadline_ <= Now + QuickLatency_) {
        Actions.Refuse_.push_back({Next.Id_, ErrorCode::DeadlineBeforeRun});
        continue;
      }
      Running_.insert(Next.Id_);
      Actions.Start_.push_back(Next.Id_);
    }
  }
}

void AdmissionControl::refuseQueue(AdmissionActions &Actions,
                                   ErrorCode Reason) {
  for (auto &Queue : Queues_) {
    for (const Waiting &Entry : Queue)
      Actions.Refuse_.push_back({Entry.Id_, Reason});
    Queue.clear();
  }
  QueuedCount_ = 0;
}

} // namespace marigold::admission
