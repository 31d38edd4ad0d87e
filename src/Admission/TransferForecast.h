#pragma once

#include "Admission/EstimatesByKind.h"

namespace marigold::admission {

/// Estimates how many bytes the answers of running requests will send over the
/// host's link. The size of an answer is not known in advance, so the mean size
/// of earlier answers to the same kind of request is used. Priorities cannot
/// replace kinds: a target may serve documents and short calls with the same
/// priority.
class TransferForecast {
public:
  /// Expected load of the link, in bytes.
  struct Load {
    /// Large answers of requests that are already running.
    std::size_t PendingBytes_ = 0;
    /// Answer of the new request; 0 if it is small.
    std::size_t AnswerBytes_ = 0;
  };

  /// Load of a new request of this kind. An unknown kind counts as small,
  /// because its size can only be learned by admitting a request. If there are
  /// more kinds than can be remembered, it counts as the mean of all answers:
  /// the link would otherwise get more of them than it can carry.
  Load loadOf(std::uint32_t Kind) const {
    return {RunningBytes_, largeSize(Kind)};
  }

  /// Records an admitted request whose answer will use the link.
  void onAdmitted(std::uint64_t Id, std::uint32_t Kind);

  /// Records the end of a request. Size is the size of its answer in bytes, 0
  /// if there was none.
  void onEnded(std::uint64_t Id, std::uint32_t Kind, std::size_t Size);

private:
  struct MeanSize {
    double Bytes_ = 0;

    void addSample(double Sample);
  };

  /// Mean size of this kind's answers in bytes; 0 if they are small.
  std::size_t largeSize(std::uint32_t Kind) const;

  EstimatesByKind<MeanSize> Sizes_;
  /// Expected answer size in bytes of each running request with a large
  /// answer, by id, and the sum of these sizes.
  std::unordered_map<std::uint64_t, std::size_t> Running_;
  std::size_t RunningBytes_ = 0;
};

} // namespace marigold::admission
