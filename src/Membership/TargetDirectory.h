#pragma once

#include "Schema/generated/Messages.h"
#include "Support/Clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace marigold::membership {

/// One target as the platform's list of targets names it.
struct ListedTarget {
  /// Name of the target's instance, unique among the targets of a list. A
  /// restarted target may keep it.
  std::string Instance_;
  /// Peer address of the node beside the target.
  HostId Node_;
  /// Service that the target runs.
  std::string Service_;
  /// Failure domain of the target's host.
  std::string FailureDomain_;
  /// Requests that the target runs at once; 0 when the list does not say.
  std::uint32_t Slots_ = 0;
  /// The target is about to stop and takes no new requests.
  bool Leaving_ = false;
  /// Start of the target's process by its own clock, since the Unix epoch.
  std::chrono::milliseconds StartedAt_{};
  /// Number of the report within one run of the target's process.
  std::uint64_t Sequence_ = 0;

  friend bool operator==(const ListedTarget &, const ListedTarget &) = default;
};

/// The platform's list of targets, on platforms that have one. The list is
/// authoritative: a target that it does not name, or names as leaving, takes
/// no new requests. After an outage of the platform, entries may be missing
/// although their targets live; those are kept for a grace.
class TargetDirectory {
public:
  /// Time after the first successful read that follows a failed one for which
  /// missing entries are kept. Live targets are listed again within about two
  /// seconds of the end of an outage.
  static constexpr Duration LapseGrace_ = std::chrono::milliseconds(2500);

  /// Replaces the list. An entry that is older than the one held for the same
  /// instance is ignored.
  void apply(std::vector<ListedTarget> Listed, TimePoint Now);

  /// A read of the list failed.
  void onSourceFailure() { Failed_ = true; }

  /// Drops missing entries whose grace has ended. True when there were any.
  bool expire(TimePoint Now);

  /// Whether a list was ever read.
  bool isKnown() const { return Known_; }

  /// Time of the last successful read.
  TimePoint readAt() const { return ReadAt_; }

  /// Number of targets.
  std::size_t size() const { return ByNode_.size(); }

  /// The target beside a node, or null. Of several entries with one address
  /// the target that started last has it: addresses are reused. Valid until
  /// the next change.
  const ListedTarget *find(const HostId &Node) const;

  /// Targets of a service, by the address of their nodes. Valid until the next
  /// change.
  std::vector<const ListedTarget *> ofService(std::string_view Service) const;

private:
  struct Entry {
    ListedTarget Target_;
    bool Missing_ = false;
  };

  void index();

  std::map<std::string, Entry, std::less<>> Entries_;
  std::map<HostId, const ListedTarget *> ByNode_;
  bool Known_ = false;
  bool Failed_ = false;
  std::optional<TimePoint> HoldUntil_;
  TimePoint ReadAt_{};
};

} // namespace marigold::membership
