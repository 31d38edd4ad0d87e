#pragma once

#include "Schema/generated/Messages.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace marigold::admission {

/// Bytes that the requests running on a target will put on the host's link.
/// The size of an answer is not known before it is there; requests of one
/// priority at one target are taken to be alike.
class TransferForecast {
public:
  /// Bytes to send before the answer of a new request of this priority has
  /// left, its own included; 0 when its answers are small.
  std::size_t bytesFor(Priority Value) const;

  /// A request whose answer will use the link was admitted.
  void onAdmitted(std::uint64_t Id, Priority Value);

  /// The request ended, with an answer of Size bytes or, with 0, without one.
  void onEnded(std::uint64_t Id, Priority Value, std::size_t Size);

private:
  /// Mean size of answers by priority, in bytes.
  std::array<double, PriorityCount> Mean_{};
  /// Expected bytes of each request that runs, and their sum.
  std::unordered_map<std::uint64_t, std::size_t> Running_;
  std::size_t Expected_ = 0;
};

} // namespace marigold::admission
