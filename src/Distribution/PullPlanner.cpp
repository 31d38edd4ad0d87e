#include "Distribution/PullPlanner.h"

#include <algorithm>
#include <tuple>

namespace marigold::distribution {
namespace {

// Ceilings of the delay after a failed pull. Probes bring further candidates
// about every second.
constexpr Duration FirstBackoff = std::chrono::milliseconds(50);
constexpr Duration MaxBackoff = std::chrono::seconds(2);

// Errors after which the same peer is asked for the whole snapshot: its delta
// does not lead from the version held to the one announced.
bool needsWhole(ErrorCode Code) {
  return Code == ErrorCode::DeltaBaseMismatch ||
         Code == ErrorCode::DigestMismatch ||
         Code == ErrorCode::SnapshotInvalid;
}

} // namespace

PullPlanner::PullPlanner(const VersionStore &Store, Random Rng)
    : Store_(Store), Rng_(Rng), Backoff_(FirstBackoff, MaxBackoff) {}

bool PullPlanner::isNews(const Candidate &Known, std::uint64_t Listed) const {
  return Known.Version_ > Store_.version() || Known.Listed_ > Listed;
}

void PullPlanner::onSummary(const HostId &Peer, const NodeSummary &Summary,
                            TimePoint, std::uint64_t Listed) {
  if (Summary.Version_ == Store_.version() &&
      Summary.Digest_ != Store_.digest().Low_)
    ++Conflicts_;
  Candidate Offered{Peer, Summary.Version_, Summary.SourceRevision_, false};
  if (!isNews(Offered, Listed))
    return;
  std::erase_if(Candidates_,
                [&](const Candidate &Known) { return Known.Peer_ == Peer; });
  if (Candidates_.size() == MaxCandidates_)
    Candidates_.erase(Candidates_.begin());
  Candidates_.push_back(Offered);
}

std::optional<Pull> PullPlanner::tick(TimePoint Now, std::uint64_t Listed) {
  if (Running_ && Now >= Deadline_)
    Running_.reset();
  std::erase_if(Candidates_,
                [&](const Candidate &Known) { return !isNews(Known, Listed); });
  if (Running_ || Candidates_.empty() || Now < NotBefore_)
    return std::nullopt;
  std::shuffle(Candidates_.begin(), Candidates_.end(), Rng_.engine());
  auto Best =
      std::max_element(Candidates_.begin(), Candidates_.end(),
                       [](const Candidate &Left, const Candidate &Right) {
                         return std::tie(Left.Version_, Left.Listed_) <
                                std::tie(Right.Version_, Right.Listed_);
                       });
  Running_ = *Best;
  Candidates_.erase(Best);
  Deadline_ = Now + Timeout_;
  Pull Started{Running_->Peer_, Store_.request()};
  if (Running_->Whole_) {
    Started.Request_.Have_ = {};
    Started.Request_.HaveDigest_ = {};
  }
  return Started;
}

void PullPlanner::onPulled(const HostId &Peer, const Result<void> &Outcome,
                           TimePoint Now) {
  if (!Running_ || Running_->Peer_ != Peer)
    return;
  Candidate Ended = *Running_;
  Running_.reset();
  if (Outcome) {
    Backoff_.reset();
    return;
  }
  if (needsWhole(Outcome.error().Code_) && !Ended.Whole_) {
    Ended.Whole_ = true;
    Candidates_.push_back(Ended);
    return;
  }
  NotBefore_ = Now + Backoff_.next(Rng_);
}

} // namespace marigold::distribution
