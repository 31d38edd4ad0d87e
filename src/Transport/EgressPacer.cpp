#include "Transport/EgressPacer.h"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace marigold::transport {
namespace {

/// Fraction of the link capacity that is used. The rest is left for
/// acknowledgements, packet headers and the traffic of the target, so that the
/// send queue drains.
constexpr double LinkUtilization = 0.95;
/// Burst size as time at full rate, in seconds. Bounds the time that a small
/// message waits in the send queue of the link.
constexpr double BurstSeconds = 0.02;
/// Minimum burst in bytes: two chunks of a body.
constexpr double MinBurstBytes = 32.0 * 1024;

double secondsOf(Duration Value) {
  return std::chrono::duration<double>(Value).count();
}

Duration durationOf(double Seconds) {
  return std::chrono::ceil<Duration>(std::chrono::duration<double>(Seconds));
}

} // namespace

EgressBucket::EgressBucket(double Rate, TimePoint Now)
    : Rate_(Rate * LinkUtilization),
      Burst_(std::max(Rate_ * BurstSeconds, MinBurstBytes)), Tokens_(Burst_),
      Refilled_(Now) {}

double EgressBucket::tokensAt(TimePoint Now) const {
  double Since = std::max(secondsOf(Now - Refilled_), 0.0);
  return std::min(Tokens_ + Since * Rate_, Burst_);
}

void EgressBucket::charge(std::size_t Bytes, TimePoint Now) {
  Tokens_ = tokensAt(Now) - static_cast<double>(Bytes);
  Refilled_ = std::max(Refilled_, Now);
}

bool EgressBucket::allow(std::size_t Bytes, TimePoint Now) {
  if (tokensAt(Now) <= 0)
    return false;
  charge(Bytes, Now);
  return true;
}

Duration EgressBucket::wait(TimePoint Now) const {
  double Deficit = -tokensAt(Now);
  return Deficit < 0 ? Duration::zero()
                     : durationOf(Deficit / Rate_) + Duration(1);
}

Duration EgressBucket::transferTime(std::size_t Bytes, TimePoint Now) const {
  double Ahead = std::max(-tokensAt(Now), 0.0) + static_cast<double>(Bytes);
  return durationOf(Ahead / Rate_);
}

Duration EgressBucket::unloadedTransferTime(std::size_t Bytes) const {
  return durationOf(static_cast<double>(Bytes) / Rate_);
}

TimePoint dueTime(const BodyDeadlines &Deadlines, Duration Transfer,
                  TimePoint Now) {
  // Subtracts instead of adding Transfer to Now, which could overflow.
  bool MeetsObjective = Deadlines.Objective_ - Now >= Transfer;
  return MeetsObjective ? Deadlines.Objective_ : Deadlines.Deadline_;
}

void EgressQueue::push(const void *Owner, TimePoint Due,
                       std::function<void()> Resume) {
  auto Existing = std::ranges::find(Waiting_, Owner, &Waiter::Owner_);
  if (Existing == Waiting_.end())
    Waiting_.push_back({Owner, Due, std::move(Resume)});
  else
    *Existing = {Owner, Due, std::move(Resume)};
}

std::function<void()> EgressQueue::popEarliest() {
  auto Earliest = std::ranges::min_element(Waiting_, {}, &Waiter::Due_);
  if (Earliest == Waiting_.end())
    return {};
  std::function<void()> Resume = std::move(Earliest->Resume_);
  Waiting_.erase(Earliest);
  return Resume;
}

EgressPacer::EgressPacer(boost::asio::io_context &Io, double Rate)
    : Bucket_(Rate, std::chrono::steady_clock::now()), Timer_(Io) {}

void EgressPacer::charge(std::size_t Bytes) {
  std::lock_guard Lock(Mutex_);
  Bucket_.charge(Bytes, std::chrono::steady_clock::now());
}

bool EgressPacer::allow(std::size_t Bytes) {
  std::lock_guard Lock(Mutex_);
  return Bucket_.allow(Bytes, std::chrono::steady_clock::now());
}

void EgressPacer::enqueue(const void *Owner, TimePoint Due,
                          std::function<void()> Resume) {
  std::lock_guard Lock(Mutex_);
  Queue_.push(Owner, Due, std::move(Resume));
  arm();
}

void EgressPacer::arm() {
  if (Armed_ || Queue_.empty())
    return;
  Armed_ = true;
  Timer_.expires_after(Bucket_.wait(std::chrono::steady_clock::now()));
  Timer_.async_wait([this](boost::system::error_code Error) {
    if (Error)
      return;
    std::function<void()> Next;
    {
      std::lock_guard Lock(Mutex_);
      Armed_ = false;
      Next = Queue_.popEarliest();
    }
    if (Next)
      Next();
    std::lock_guard Lock(Mutex_);
    arm();
  });
}

void EgressPacer::addBacklog(std::int64_t Bytes) {
  std::lock_guard Lock(Mutex_);
  Backlog_ += Bytes;
}

std::int64_t EgressPacer::backlog() const {
  std::lock_guard Lock(Mutex_);
  return Backlog_;
}

Duration EgressPacer::transferTime(std::size_t Bytes) const {
  std::lock_guard Lock(Mutex_);
  auto Ahead = static_cast<std::size_t>(std::max<std::int64_t>(Backlog_, 0));
  return Bucket_.transferTime(Ahead + Bytes, std::chrono::steady_clock::now());
}

} // namespace marigold::transport
