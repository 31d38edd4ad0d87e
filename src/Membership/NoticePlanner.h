#pragma once

#include "Membership/HostTable.h"
#include "Support/Random.h"

#include <span>

namespace marigold::membership {

/// Limits of notices.
struct NoticeOptions {
  /// Most receivers of one notice. A service has about 17 hosts; four
  /// dependent services are told in full.
  std::size_t MaxReceivers_ = 64;
  /// Most notices that this node sends in one second, for the failure of a
  /// whole rack. Gossip carries the rest.
  std::size_t MaxPerSecond_ = 256;
};

/// Chooses who is told directly of a change of a host's state: gossip alone
/// takes about 6 s at 3,000 nodes, callers are to know within 3 s.
class NoticePlanner {
public:
  /// Starts with the full allowance.
  explicit NoticePlanner(NoticeOptions Options = {}) : Options_(Options) {}

  /// Live hosts of the services that call the host of Record, those of its
  /// own failure domain first, the rest in random order. CallerServices come
  /// from the configuration. Own is left out.
  std::vector<HostId> receivers(const HostRecord &Record,
                                std::span<const std::string> CallerServices,
                                const HostTable &Table, const HostId &Own,
                                Random &Rng, TimePoint Now);

private:
  NoticeOptions Options_;
  TimePoint WindowStart_;
  std::size_t SentInWindow_ = 0;
};

} // namespace marigold::membership
