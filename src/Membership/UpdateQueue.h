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

/// Changes of host records that wait to ride on datagrams. The least often
/// sent goes first, changes of the node's own state before all others, and
/// suspicions last: under heavy loss they would crowd out their refutations.
/// Each
/// is sent about 3*log2(n) times, which reaches n nodes with high
/// probability.
class UpdateQueue {
public:
  /// Most updates that wait; beyond it the most often sent is dropped, and the
  /// exchange of tables repairs what is missing.
  static constexpr std::size_t MaxQueued_ = 1024;

  /// An empty queue. Own is the host whose changes go first.
  explicit UpdateQueue(HostId Own) : Own_(Own) {}

  /// Queues a change; it replaces an earlier one of the same host.
  void push(HostUpdate Update);

  /// Takes up to Count updates for one datagram that fit into Bytes together.
  /// HostCount is the number of live hosts. An update about the receiver goes
  /// first, so that it can refute at once.
  std::vector<HostUpdate> take(std::size_t Count, std::size_t Bytes,
                               std::size_t HostCount, const HostId &Receiver);

  /// Number of updates that wait.
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
  // Not of the own host, a suspicion, times sent, newest first.
  using Rank = std::tuple<bool, bool, std::size_t, std::uint64_t, HostId>;

  Rank rank(const Item &Queued) const;
  void erase(const HostId &Id);

  HostId Own_;
  std::unordered_map<HostId, Item, HostIdHash> Items_;
  std::set<Rank> Order_;
  std::uint64_t NextOrder_ = ~std::uint64_t(0);
};

} // namespace marigold::membership
