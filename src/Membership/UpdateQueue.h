#pragma once

#include "Schema/generated/Messages.h"
#include "Support/Digest.h"

#include <cstddef>
#include <cstdint>
#include <set>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace marigold::membership {

/// Changes of host records waiting to be piggybacked on datagrams. Changes of
/// the node's own record are sent first, then those sent least often so far.
/// Suspicions are sent last: under heavy packet loss they would crowd out their
/// refutations. Each change is sent about 3*log2(n) times, which reaches n
/// nodes with high probability.
class UpdateQueue {
public:
  /// Maximum number of queued updates. Beyond it the update last in order is
  /// dropped; the table exchange makes up for the loss.
  static constexpr std::size_t MaxQueued_ = 1024;

  /// Own is the host whose changes are sent first.
  explicit UpdateQueue(HostId Own) : Own_(Own) {}

  /// Queues a change; replaces an earlier one of the same host.
  void push(HostUpdate Update);

  /// Returns up to Count updates for one datagram that fit into Bytes together.
  /// HostCount is the number of live hosts. An update about the receiver comes
  /// first, so that the receiver can refute it immediately.
  std::vector<HostUpdate> take(std::size_t Count, std::size_t Bytes,
                               std::size_t HostCount, const HostId &Receiver);

  /// Number of queued updates.
  std::size_t size() const { return Items_.size(); }

  /// Number of times that an update is sent in a mesh of HostCount hosts.
  static std::size_t transmissions(std::size_t HostCount);

private:
  struct Item {
    HostUpdate Update_;
    std::size_t Bytes_ = 0;
    std::size_t Sent_ = 0;
    std::uint64_t Order_ = 0;
  };
  // Whether the host is not the own one, whether it is a suspicion, number of
  // times sent, and age with the newest first.
  using Rank = std::tuple<bool, bool, std::size_t, std::uint64_t, HostId>;

  Rank rank(const Item &Queued) const;
  void erase(const HostId &Id);

  HostId Own_;
  std::unordered_map<HostId, Item, HostIdHash> Items_;
  std::set<Rank> Order_;
  std::uint64_t NextOrder_ = ~std::uint64_t(0);
};

} // namespace marigold::membership
