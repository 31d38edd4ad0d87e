#include "Distribution/PullPlanner.h"

#include <algorithm>
#include <tuple>

namespace marigold::distribution {
namespace {

// First and highest upper bound of the random delay after a failed pull. Probes
// bring further candidates about once per second.
constexpr Duration FirstBackoff = std::chrono::milliseconds(50);
constexpr Duration MaxBackoff = std::chrono::seconds(2);

// Returns whether the whole snapshot must be requested from the same peer after
// this error: its delta does not lead from the current version to the announced
// one.
bool needsWhole(ErrorCode Code) {
  return Code == ErrorCode::DeltaBaseMismatch ||
         Code == ErrorCode::DigestMismatch ||
         Code == ErrorCode::SnapshotInvalid;
}

} // namespace

PullPlanner::PullPlanner(const VersionStore &Store, Random Rng)
    : Store_(Store), Rng_(Rng), Backoff_(FirstBackoff, MaxBackoff) {}

bool PullPlanner::isNewer(const Candidate &Known,
                          std::uint64_t ListRevision) const {
  return Known.Version_ > Store_.version() ||
         Known.ListRevision_ > ListRevision;
}

void PullPlanner::onSummary(const HostId &Peer, const NodeSummary &Summary,
                            TimePoint, std::uint64_t ListRevision) {
  if (Summary.Version_ == Store_.version() &&
      Summary.Digest_ != Store_.digest().Low_)
    ++Conflicts_;
  Candidate Offered{Peer, Summary.Version_, Summary.SourceRevision_, false};
  if (!isNewer(Offered, ListRevision))
    return;
  std::erase_if(Candidates_,
                [&](const Candidate &Known) { return Known.Peer_ == Peer; });
  if (Candidates_.size() == MaxCandidates_)
    Candidates_.erase(Candidates_.begin());
  Candidates_.push_back(Offered);
}

std::optional<Pull> PullPlanner::tick(TimePoint Now,
                                      std::uint64_t ListRevision) {
  if (Running_ && Now >= Deadline_)
    Running_.reset();
  std::erase_if(Candidates_, [&](const Candidate &Known) {
    return !isNewer(Known, ListRevision);
  });
  if (Running_ || Candidates_.empty() || Now < NotBefore_)
    return std::nullopt;
  std::shuffle(Candidates_.begin(), Candidates_.end(), Rng_.engine());
  auto Best =
      std::max_element(Candidates_.begin(), Candidates_.end(),
                       [](const Candidate &Left, const Candidate &Right) {
                         return std::tie(Left.Version_, Left.ListRevision_) <
                                std::tie(Right.Version_, Right.ListRevision_);
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
