#pragma once

#include "Membership/HostTable.h"
#include "Support/Random.h"

#include <span>

namespace marigold::membership {

/// Limits on direct notices of state changes.
struct NoticeOptions {
  /// Maximum number of receivers of one notice. A service has about 17 hosts,
  /// so all hosts of about four dependent services are notified.
  std::size_t MaxReceivers_ = 64;
  /// Maximum number of notices that this node sends per second, for the failure
  /// of a whole rack. The remaining hosts learn of the change by gossip.
  std::size_t MaxPerSecond_ = 256;
};

/// Selects the hosts that are notified directly of a change of a host's state.
/// Gossip alone takes about 6 s at 3,000 nodes, but callers must know within 3
/// s.
class NoticePlanner {
public:
  explicit NoticePlanner(NoticeOptions Options = {}) : Options_(Options) {}

  /// Returns the live hosts of CallerServices, which the configuration lists as
  /// the services that call the host of Record. Hosts in the failure domain of
  /// Record come first, the rest follows in random order. Own and the host of
  /// Record are left out.
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
