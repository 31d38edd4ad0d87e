#include "LoadSimulation.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace marigold::admission {

std::vector<LoadResult> LoadSimulation::run(const std::vector<LoadKind> &Kinds,
                                            Duration Length) {
  Results_.assign(Kinds.size(), {});
  std::uint64_t LastId = 0;
  for (std::size_t Kind = 0; Kind < Kinds.size(); ++Kind) {
    const LoadKind &Load = Kinds[Kind];
    TimePoint At = Begin_;
    for (;;) {
      double Gap = -std::log(1 - Rng_.fraction()) / Load.Rate_;
      At += std::chrono::duration_cast<Duration>(
          std::chrono::duration<double>(Gap));
      if (At >= Begin_ + Length)
        break;
      double Spread = 0.5 + Rng_.fraction();
      Requests_[++LastId] = {
          Kind, At, At + Load.Objective_, At + Load.Limit_,
          std::chrono::duration_cast<Duration>(Load.Work_ * Spread)};
      Events_.push({At, LastId, false});
      ++Results_[Kind].Offered_;
    }
  }
  Kinds_ = Kinds;
  while (!Events_.empty()) {
    Event Next = Events_.top();
    Events_.pop();
    apply(Control_.expire(Next.At_), Next.At_);
    if (Next.Ends_)
      end(Next.Id_, Next.At_);
    else
      arrive(Next.Id_, Next.At_);
  }
  return Results_;
}

void LoadSimulation::arrive(std::uint64_t Id, TimePoint Now) {
  const Request &Value = Requests_.at(Id);
  Submission Decision =
      Control_.submit({Id,
                       Kinds_[Value.Kind_].Priority_,
                       Value.Deadline_,
                       Value.Objective_,
                       {},
                       static_cast<std::uint32_t>(Value.Kind_ + 1)},
                      Now);
  if (Decision.Displaced_)
    refuse(Decision.Displaced_->Id_, Now);
  if (Decision.Admission_ == Admission::Run)
    start(Id, Now);
  else if (Decision.Admission_ == Admission::Refuse)
    refuse(Id, Now);
}

void LoadSimulation::start(std::uint64_t Id, TimePoint Now) {
  Request &Value = Requests_.at(Id);
  Value.Started_ = Now;
  auto Work = std::chrono::duration_cast<Duration>(Value.Work_ *
                                                   Slowdown_(Now - Begin_));
  // The target aborts a run at its deadline.
  Events_.push({std::min(Now + Work, Value.Deadline_), Id, true});
}

void LoadSimulation::end(std::uint64_t Id, TimePoint Now) {
  Request Value = Requests_.at(Id);
  LoadResult &Result = Results_[Value.Kind_];
  if (Now <= Value.Objective_)
    ++Result.Timely_;
  else if (Now < Value.Deadline_)
    ++Result.Late_;
  RunSample Sample;
  Sample.Latency_ = Now - Value.Started_;
  Sample.Overloaded_ = Now >= Value.Deadline_;
  apply(Control_.finish(Id, Sample, Now), Now);
}

void LoadSimulation::refuse(std::uint64_t Id, TimePoint Now) {
  Request &Value = Requests_.at(Id);
  if (Kinds_[Value.Kind_].Returns_ && !std::exchange(Value.Returned_, true)) {
    Duration After = Control_.retryAfter();
    // Callers spread their return over the named time and half as much again.
    TimePoint Again = Now + After + Rng_.upTo(After / 2 + Duration(1));
    if (Again < Value.Deadline_) {
      Events_.push({Again, Id, false});
      return;
    }
  }
  LoadResult &Result = Results_[Value.Kind_];
  ++Result.Refused_;
  Result.LongestWaitToRefusal_ =
      std::max(Result.LongestWaitToRefusal_, Now - Value.Arrival_);
}

void LoadSimulation::apply(const AdmissionActions &Actions, TimePoint Now) {
  for (const RefusedTicket &Ticket : Actions.Refuse_)
    refuse(Ticket.Id_, Now);
  for (std::uint64_t Id : Actions.Start_)
    start(Id, Now);
}

} // namespace marigold::admission
