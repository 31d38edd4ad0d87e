#pragma once

#include "Schema/generated/Messages.h"
#include "Support/Clock.h"

#include <cstdint>
#include <map>
#include <optional>

namespace marigold::membership {

/// Measures the round-trip times of probes, also of those that are answered
/// only after they have counted as lost: a queue in front of a host delays its
/// probes for longer than their timeout.
class RoundTrips {
public:
  /// Maximum number of probes whose answer is awaited. The oldest is forgotten
  /// first.
  static constexpr std::size_t MaxPending_ = 64;

  /// Reports that a probe was sent. Sequence numbers only rise.
  void sent(std::uint32_t Sequence, const HostId &Subject, TimePoint Now);

  /// Returns the round-trip time of a probe that its subject has answered, or
  /// nothing if it is not known or was answered before.
  std::optional<Duration> answered(std::uint32_t Sequence,
                                   const HostId &Subject, TimePoint Now);

private:
  struct Pending {
    HostId Subject_;
    TimePoint SentAt_;
  };
  std::map<std::uint32_t, Pending> Pending_;
};

} // namespace marigold::membership
