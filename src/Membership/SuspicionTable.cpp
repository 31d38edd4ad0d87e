#include "Membership/SuspicionTable.h"

#include <algorithm>
#include <cmath>

namespace marigold::membership {
namespace {

// Fraction of the timeout that remains at full confirmation.
constexpr double ShortestFraction = 1.0 / 3;

// Factor on the timeout at a node that only received the suspicion. Under
// packet loss the refutation may reach it late, so it declares the suspect dead
// only as a fallback, in case all accusers have failed meanwhile.
constexpr int IndirectSuspicionFactor = 3;

// Number of notifications that a node that only received the suspicion sends
// before it declares the suspect dead.
constexpr int FinalReminderCount = 6;

} // namespace

bool SuspicionTable::addAccuser(const HostId &Subject, const HostId &Accuser,
                                bool Own, unsigned Multiplier, TimePoint Now) {
  auto [Found, Inserted] = Running_.try_emplace(Subject);
  Suspicion &Running = Found->second;
  if (Inserted) {
    Running.Start_ = Now;
    Running.NextReminder_ = Now;
    Running.Multiplier_ = Multiplier;
  }
  if (Own && !Running.Own_) {
    Running.Own_ = true;
    Running.NextReminder_ = Now;
  }
  if (Running.Accusers_.size() > FullConfirmations_)
    return false;
  return Running.Accusers_.insert(Accuser).second;
}

bool SuspicionTable::clear(const HostId &Subject) {
  return Running_.erase(Subject) != 0;
}

void SuspicionTable::restart(const HostId &Subject, TimePoint Now) {
  auto Found = Running_.find(Subject);
  if (Found != Running_.end())
    Found->second.Start_ = Now;
}

std::vector<SuspicionStep> SuspicionTable::due(TimePoint Now) {
  std::vector<SuspicionStep> Steps;
  Duration Final = Options_.ReminderInterval_ * FinalReminderCount;
  for (auto &[Subject, Running] : Running_) {
    Duration Timeout = refutationTimeout(Running) *
                       (Running.Own_ ? 1 : IndirectSuspicionFactor);
    TimePoint Deadline = Running.Start_ + Timeout;
    if (!Running.Own_)
      Deadline += Final;
    if (Now >= Deadline) {
      Steps.push_back({Subject, true});
      continue;
    }
    TimePoint From = Running.Start_ + (Running.Own_ ? Duration(0) : Timeout);
    if (Now >= From && Now >= Running.NextReminder_) {
      Running.NextReminder_ = Now + Options_.ReminderInterval_;
      Steps.push_back({Subject, false});
    }
  }
  // Sorted because the iteration order of an unordered map must not affect the
  // order of messages.
  std::sort(Steps.begin(), Steps.end(),
            [](const SuspicionStep &Left, const SuspicionStep &Right) {
              return Left.Subject_ < Right.Subject_;
            });
  return Steps;
}

void SuspicionTable::shift(Duration Gap) {
  for (auto &[Subject, Running] : Running_) {
    Running.Start_ += Gap;
    Running.NextReminder_ += Gap;
  }
}

Duration SuspicionTable::refutationTimeout(const Suspicion &Running) const {
  // As in Lifeguard, each confirmation shortens the timeout by less than the
  // previous one.
  double Confirmations = std::min(
      Running.Accusers_.empty() ? 0.0 : double(Running.Accusers_.size() - 1),
      double(FullConfirmations_));
  double Share = std::log(Confirmations + 1) / std::log(FullConfirmations_ + 1);
  double Fraction = 1 - (1 - ShortestFraction) * Share;
  return std::chrono::duration_cast<Duration>(Options_.Timeout_ * Fraction) *
         Running.Multiplier_;
}

} // namespace marigold::membership
