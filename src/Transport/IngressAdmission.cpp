#include "Transport/IngressAdmission.h"

#include "Transport/PeerConnection.h"

#include <algorithm>

namespace marigold::transport {
namespace {

/// Bytes on their way to the host as time at the full rate of its link. It
/// covers the time between a grant and the arrival of the data, so that the
/// link stays in use.
constexpr double PromptSeconds = 0.1;
/// Fraction of the link that bodies are assumed to get. The rest is left for
/// small messages and packet headers.
constexpr double BodyShare = 0.9;
/// Bound of the bytes on their way, including those of slow senders.
constexpr double LimitSeconds = 0.25;
/// Time without progress after which a sender counts as slow: twice the time
/// in which the link carries what is on its way from the others.
constexpr Duration SlowAfter = std::chrono::milliseconds(200);
/// Time without progress after which a sender's credit is not counted any more:
/// its process or its host has stopped, and must not hold up the others.
constexpr Duration StoppedAfter = std::chrono::seconds(1);
/// Smallest grant in bytes, except at the end of a body: one chunk. Smaller
/// ones would multiply the frames.
constexpr std::size_t MinGrant = BulkThreshold;
/// Bounds of the credit of one body in bytes: its sender needs a second chunk
/// while the first is on its way, and accepts no more than its window.
constexpr std::size_t MinBodyLimit = 2 * BulkThreshold;
constexpr std::size_t MaxBodyLimit = 8 * BulkThreshold;
static_assert(MaxBodyLimit <= PeerLimits().Window_);

} // namespace

IngressAdmission::IngressAdmission(double Rate)
    : Rate_(Rate),
      PromptLimit_(std::max(static_cast<std::size_t>(Rate * PromptSeconds),
                            MinBodyLimit)),
      Limit_(std::max(static_cast<std::size_t>(Rate * LimitSeconds),
                      PromptLimit_)),
      BodyLimit_(std::clamp(PromptLimit_ / 4, MinBodyLimit, MaxBodyLimit)) {}

std::optional<IngressAdmission::BodyNumber>
IngressAdmission::add(std::uint64_t Size, const BodyDeadlines &Deadlines,
                      TimePoint Now) {
  Body Entry = makeBody(Size, Deadlines, Now);
  if (!fits(Entry, Now))
    return std::nullopt;
  Bodies_.emplace(++Last_, Entry);
  return Last_;
}

IngressAdmission::BodyNumber
IngressAdmission::addAlways(std::uint64_t Size, const BodyDeadlines &Deadlines,
                            TimePoint Now) {
  Bodies_.emplace(++Last_, makeBody(Size, Deadlines, Now));
  return Last_;
}

IngressAdmission::Body
IngressAdmission::makeBody(std::uint64_t Size, const BodyDeadlines &Deadlines,
                           TimePoint Now) const {
  Body Entry;
  Entry.Size_ = Size;
  Entry.Deadline_ = Deadlines.Deadline_;
  Entry.Due_ = dueTime(Deadlines, transferTime(Size), Now);
  return Entry;
}

bool IngressAdmission::fits(const Body &New, TimePoint Now) const {
  std::vector<const Body *> Order{&New};
  // What is on its way arrives first, whenever it is due.
  std::uint64_t Ahead = 0;
  for (const auto &[Number, Entry] : Bodies_) {
    if (hasStopped(Entry, Now))
      continue;
    Ahead += Entry.outstanding();
    if (Entry.Deadline_ > Now)
      Order.push_back(&Entry);
  }
  std::ranges::sort(Order, {}, &Body::Due_);
  bool Behind = false;
  for (const Body *Next : Order) {
    Ahead += Next->Size_ - std::min(Next->Size_, Next->Granted_);
    Behind = Behind || Next == &New;
    // Bodies that are due earlier arrive as without the new one. Subtracts
    // instead of adding to Now, which could overflow.
    if (Behind && Next->Deadline_ - Now < transferTime(Ahead))
      return false;
  }
  return true;
}

void IngressAdmission::onReceived(BodyNumber Number, std::size_t Bytes,
                                  TimePoint Now) {
  auto Position = Bodies_.find(Number);
  if (Position == Bodies_.end())
    return;
  Body &Entry = Position->second;
  Entry.Received_ += Bytes;
  // A sender may have begun before it knew that it has to wait.
  Entry.Granted_ = std::max(Entry.Granted_, Entry.Received_);
  Entry.Progress_ = Now;
}

void IngressAdmission::remove(BodyNumber Number) { Bodies_.erase(Number); }

std::uint64_t IngressAdmission::backlog() const {
  std::uint64_t Total = 0;
  for (const auto &[Number, Entry] : Bodies_)
    Total += Entry.Size_ - std::min(Entry.Size_, Entry.Received_);
  return Total;
}

std::vector<IngressAdmission::Grant> IngressAdmission::grant(TimePoint Now) {
  std::vector<Grant> Grants;
  Usage Used = usage(Now);
  while (Used.Prompt_ < PromptLimit_ && Used.Prompt_ + Used.Slow_ < Limit_) {
    std::size_t Left = std::min(PromptLimit_ - Used.Prompt_,
                                Limit_ - Used.Prompt_ - Used.Slow_);
    auto First = Bodies_.end();
    for (auto Position = Bodies_.begin(); Position != Bodies_.end();
         ++Position) {
      if (wanted(Position->second, Now) == 0)
        continue;
      if (First == Bodies_.end() ||
          order(Position->second, Now) < order(First->second, Now))
        First = Position;
    }
    if (First == Bodies_.end())
      break;
    std::size_t Bytes = wanted(First->second, Now);
    // The earliest due body waits until a whole chunk fits.
    if (Bytes > Left && Left < MinGrant)
      break;
    Bytes = std::min(Bytes, Left);
    First->second.Granted_ += Bytes;
    First->second.Progress_ = Now;
    Used.Prompt_ += Bytes;
    Grants.push_back({First->first, Bytes});
  }
  return Grants;
}

std::optional<TimePoint> IngressAdmission::nextGrant(TimePoint Now) const {
  std::optional<TimePoint> Next;
  bool Waiting = false;
  for (const auto &[Number, Entry] : Bodies_) {
    Waiting = Waiting || wanted(Entry, Now) != 0;
    if (Entry.outstanding() == 0)
      continue;
    for (TimePoint Change :
         {Entry.Progress_ + SlowAfter, Entry.Progress_ + StoppedAfter})
      if (Change > Now && (!Next || Change < *Next))
        Next = Change;
  }
  return Waiting ? Next : std::nullopt;
}

std::size_t IngressAdmission::outstanding() const {
  std::size_t Total = 0;
  for (const auto &[Number, Entry] : Bodies_)
    Total += Entry.outstanding();
  return Total;
}

IngressAdmission::Usage IngressAdmission::usage(TimePoint Now) const {
  Usage Used;
  for (const auto &[Number, Entry] : Bodies_) {
    if (hasStopped(Entry, Now))
      continue;
    (isSlow(Entry, Now) ? Used.Slow_ : Used.Prompt_) += Entry.outstanding();
  }
  return Used;
}

bool IngressAdmission::isSlow(const Body &Entry, TimePoint Now) const {
  return Entry.outstanding() != 0 && Now - Entry.Progress_ >= SlowAfter;
}

bool IngressAdmission::hasStopped(const Body &Entry, TimePoint Now) const {
  return Entry.outstanding() != 0 && Now - Entry.Progress_ >= StoppedAfter;
}

Duration IngressAdmission::transferTime(std::uint64_t Bytes) const {
  return std::chrono::ceil<Duration>(std::chrono::duration<double>(
      static_cast<double>(Bytes) / (Rate_ * BodyShare)));
}

std::pair<bool, TimePoint> IngressAdmission::order(const Body &Entry,
                                                   TimePoint Now) {
  return {Entry.Deadline_ <= Now, Entry.Due_};
}

std::size_t IngressAdmission::wanted(const Body &Entry, TimePoint Now) const {
  if (Entry.Granted_ >= Entry.Size_ || isSlow(Entry, Now))
    return 0;
  std::uint64_t Room =
      BodyLimit_ - std::min<std::uint64_t>(BodyLimit_, Entry.outstanding());
  std::uint64_t Rest = Entry.Size_ - Entry.Granted_;
  if (Room < MinGrant && Room < Rest)
    return 0;
  return static_cast<std::size_t>(std::min(Room, Rest));
}

} // namespace marigold::transport
