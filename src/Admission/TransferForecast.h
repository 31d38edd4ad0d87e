#pragma once

#include "Admission/PerKind.h"

namespace marigold::admission {

/// Bytes that the requests running on a target will put on the host's link.
/// The size of an answer is not known before it is there; requests of one kind
/// are taken to be alike. A target may answer documents and short calls with
/// the same priority.
class TransferForecast {
public:
  /// What an answer will put on the link, in bytes.
  struct Load {
    /// Answers of requests that run already.
    std::size_t PendingBytes_ = 0;
    /// The answer itself; 0 when it is small.
    std::size_t AnswerBytes_ = 0;
  };

  /// Load of a new request of this kind. A kind not known yet counts as small:
  /// its size is learned only from a request that is admitted.
  Load loadOf(std::uint32_t Kind) const {
    return {RunningBytes_, largeSize(Kind)};
  }

  /// A request whose answer will use the link was admitted.
  void onAdmitted(std::uint64_t Id, std::uint32_t Kind);

  /// The request ended, with an answer of Size bytes or, with 0, without one.
  void onEnded(std::uint64_t Id, std::uint32_t Kind, std::size_t Size);

private:
  struct MeanSize {
    /// Bytes.
    double Bytes_ = 0;

    void addSample(double Sample);
  };

  /// Mean size of a large answer of this kind in bytes; 0 for small ones.
  std::size_t largeSize(std::uint32_t Kind) const;

  PerKind<MeanSize> Sizes_;
  /// Expected bytes of each request that runs, and their sum.
  std::unordered_map<std::uint64_t, std::size_t> Running_;
  std::size_t RunningBytes_ = 0;
};

} // namespace marigold::admission
