#pragma once

#include "Schema/generated/Messages.h"
#include "Support/Clock.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace marigold::membership {

using marigold::ListedTarget;

/// The platform's list of targets, on platforms that have one. The list is
/// authoritative: a target that it does not name, or names as leaving, takes
/// no new requests. After an outage of the platform, entries may be missing
/// although their targets live; those are kept for a grace.
///
/// Nodes pass the list on to each other as changes between two revisions of
/// the source. A node's list is therefore always that of one revision, and is
/// never replaced by that of an earlier one.
class TargetDirectory {
public:
  /// Time after the end of an outage for which missing entries are kept. Live
  /// targets are listed again within about two seconds of it.
  static constexpr Duration MissingEntryGrace_ =
      std::chrono::milliseconds(2500);

  /// Removed instances that are remembered, so that a peer which is behind gets
  /// changes instead of the whole list: more than change between two rounds of
  /// a source of a few thousand targets.
  static constexpr std::size_t RemovalsKept_ = 256;

  /// Replaces the list by one that holds every change up to Revision; 0 on
  /// platforms without revisions. A list of an earlier revision than the one
  /// held is ignored, as is an entry that is older than the one held for the
  /// same instance.
  void apply(std::vector<ListedTarget> Listed, TimePoint Now,
             std::uint64_t Revision = 0);

  /// Changes after a revision, or the whole list if they are not known any
  /// more. Revision_ 0 in the result when there are none.
  TargetChanges changesSince(std::uint64_t Revision) const;

  /// Takes over the changes that a peer sent. False if they lead to no later
  /// revision or start from one that is not reached yet; nothing changed then.
  bool merge(const TargetChanges &Changes);

  /// The platform answers again after an outage: entries that the list lacks
  /// now may be back soon.
  void onOutageEnded(TimePoint Now) {
    KeepMissingUntil_ = Now + MissingEntryGrace_;
  }

  /// Whether entries are kept that the list lacks. Such a list is not passed
  /// on: the grace of one node must not delay what another one knows.
  bool hasMissingEntries() const { return HasMissingEntries_; }

  /// Drops missing entries whose grace has ended. True when there were any.
  bool expire(TimePoint Now);

  /// Whether a list was ever read.
  bool isKnown() const { return Known_; }

  /// Revision of the source up to which the list holds every change; 0 without
  /// a list or without revisions.
  std::uint64_t revision() const { return Revision_; }

  /// All entries of the list.
  std::vector<ListedTarget> targets() const;

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
    /// Revision at which this node learned of the entry's last change, which
    /// is not before that change.
    std::uint64_t ChangedAt_ = 0;

    void change(ListedTarget Target, bool Missing, std::uint64_t Revision);
  };

  /// The list becomes that of a revision.
  void advanceTo(std::uint64_t Revision);
  template <class Predicate> bool removeIf(Predicate Remove);
  void rebuildIndex();

  std::map<std::string, Entry, std::less<>> Entries_;
  /// Removed instances with the revision at which this node learned of it,
  /// oldest first.
  std::deque<std::pair<std::string, std::uint64_t>> Removals_;
  /// Highest revision whose removals are forgotten.
  std::uint64_t ForgottenUpTo_ = 0;
  std::uint64_t Revision_ = 0;
  std::map<HostId, const ListedTarget *> ByNode_;
  bool Known_ = false;
  bool HasMissingEntries_ = false;
  std::optional<TimePoint> KeepMissingUntil_;
};

} // namespace marigold::membership
