#pragma once

#include "Schema/generated/Messages.h"
#include "Support/Clock.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace marigold::membership {

using marigold::ListedTarget;

/// The platform's target list, on platforms that have one. The list is
/// authoritative: a target that is absent or marked as leaving receives no new
/// requests. After an outage of the platform, entries of live targets may be
/// missing from the list; missing entries are then kept for a grace period.
///
/// Nodes exchange the list as changes between two revisions of the source. A
/// list is never replaced by one of an earlier revision. It is passed on only
/// while it matches exactly one revision: a list that also contains some later
/// changes would date them too early, and a peer that asks for what follows
/// that revision would never receive them.
///
/// Revisions are ordered revisions (Support/SourceRevision.h). With the first
/// list of a new era the source shows an older copy of what it held: what was
/// written since is missing and will be written again. Until then a target that
/// this node knows to be leaving or gone stays out of use, a target that is
/// missing stays in use, and evacuations go on. Meanwhile the list is
/// provisional and not passed on.
class TargetDirectory {
public:
  /// Time after the end of an outage for which missing entries are kept. Live
  /// targets are listed again within about two seconds of the end.
  static constexpr Duration MissingEntryGrace_ =
      std::chrono::milliseconds(2500);

  /// Time after the beginning of an era for which the source may still show
  /// targets as they were before they left. Longer than a target that is gone
  /// can stay listed without a report.
  static constexpr Duration CopyGrace_ = std::chrono::seconds(10);

  /// Number of removed instances that are remembered, so that a peer that lags
  /// behind receives changes instead of the whole list. More than change
  /// between two rounds of a source with a few thousand targets.
  static constexpr std::size_t RemovalsKept_ = 256;

  /// Replaces the list by one that includes every change up to Revision; 0 on
  /// platforms without revisions. Ignores a list of an earlier revision than
  /// the current one. The list may also contain changes up to ContentRevision,
  /// if that is later. Removed has the instances that the source has removed
  /// since the list before; nothing if they are unknown.
  ///
  /// A peer may hold an instance that this node never held, because it was
  /// added and removed between two lists. Such removals are passed on too, or,
  /// if they are unknown, the whole list.
  ///
  /// Revisions order the reports of one instance. Only where they do not tell
  /// whether the list or the current entry is later, the start time and the
  /// sequence number of the target decide, which go back if its clock does.
  void apply(const std::vector<ListedTarget> &Listed, TimePoint Now,
             std::uint64_t Revision = 0, std::uint64_t ContentRevision = 0,
             const std::optional<std::vector<std::string>> &Removed =
                 std::vector<std::string>());

  /// Returns the changes after a revision, or the whole list if the removals
  /// since then are no longer remembered. The result has Revision_ 0 if there
  /// are no changes.
  TargetChanges changesSince(std::uint64_t Revision) const;

  /// Applies changes received from a peer. Returns false, without any effect,
  /// if they do not lead to a later revision, start after the current one, or
  /// lead from one era to another.
  bool merge(const TargetChanges &Changes, TimePoint Now);

  /// Reports that the platform answers again after an outage: entries that are
  /// missing from the list now may reappear soon.
  void onOutageEnded(TimePoint Now) {
    KeepMissingUntil_ = Now + MissingEntryGrace_;
  }

  /// Returns whether entries are kept that are missing from the list.
  bool hasMissingEntries() const { return HasMissingEntries_; }

  /// Returns whether this node departs from what the source lists, during a
  /// grace period. Such a list is not sent to peers, because the grace period
  /// of one node must not delay changes at others.
  bool isProvisional() const {
    return HasMissingEntries_ || !Withheld_.empty() || !KeptEvacuated_.empty();
  }

  /// Returns whether the list may contain changes after revision().
  bool isAheadOfRevision() const { return ContentRevision_ > Revision_; }

  /// Replaces the evacuated failure domains, which must be sorted, as of the
  /// revision of the list. Call after apply.
  void setEvacuated(std::vector<std::string> Domains);

  /// Evacuated failure domains, sorted. Their targets get no requests.
  const std::vector<std::string> &evacuated() const { return Evacuated_; }

  /// Returns the evacuated failure domains that the source lists, sorted.
  std::vector<std::string> listedEvacuated() const;

  bool isEvacuated(std::string_view FailureDomain) const;

  /// Ends the grace periods that are over: entries that are still missing are
  /// removed, and what else the source lists takes effect. The latter only if
  /// Confirmed, which tells that the source has just confirmed the list: a node
  /// that is cut off does not know what has been written since. Returns whether
  /// anything changed.
  bool expire(TimePoint Now, bool Confirmed);

  /// Returns whether a list was ever received.
  bool isKnown() const { return Known_; }

  /// Ordered revision of the source up to which the list includes every change;
  /// 0 without a list or without revisions.
  std::uint64_t revision() const { return Revision_; }

  /// Returns all targets, including the entries that are missing from the list
  /// and kept for the grace period.
  std::vector<ListedTarget> targets() const;

  /// Returns the targets that the platform lists.
  std::vector<ListedTarget> listedTargets() const;

  /// Number of hosts with a target.
  std::size_t size() const { return ByNode_.size(); }

  /// Returns all entries that name the host of a node, the target that started
  /// last first. Only one target runs beside a node. The others are of targets
  /// before it, since addresses are reused, or of another writer. The pointers
  /// are valid until the next change.
  std::span<const ListedTarget *const> entriesAt(const HostId &Node) const;

  /// Returns the entry that most likely names the target beside a node, or
  /// null. Service is what the node itself says that its target runs, empty if
  /// unknown; an entry of that service comes first, then one that is not
  /// leaving, then the one that started last. The node refuses requests if its
  /// target is another one, so that a wrong choice costs a detour.
  const ListedTarget *find(const HostId &Node,
                           std::string_view Service = {}) const;

  /// Returns what a node says of the service of its target; empty if unknown.
  using ServiceLookup = std::function<std::string_view(const HostId &)>;

  /// Returns the targets of a service, ordered by the address of their nodes.
  /// The pointers are valid until the next change.
  std::vector<const ListedTarget *>
  ofService(std::string_view Service,
            const ServiceLookup &ServiceAt = {}) const;

private:
  struct Entry {
    ListedTarget Target_;
    bool Missing_ = false;
    /// Revision at which this node learned of the last change of the entry;
    /// never earlier than the change itself.
    std::uint64_t ChangedAt_ = 0;

    void change(ListedTarget Target, bool Missing, std::uint64_t Revision);
  };

  /// An instance that was removed.
  struct Removal {
    std::string Instance_;
    /// Revision at which this node learned of the removal.
    std::uint64_t Revision_ = 0;
    /// Last report; unset if this node never held the instance.
    std::optional<ListedTarget> Last_;
  };

  /// Sets the reports of a list or of changes. Ordered tells that they are not
  /// earlier than the current ones, EraBegan that the source lists them for the
  /// first time in its era.
  void reportAll(const std::vector<ListedTarget> &Listed, bool Ordered,
                 bool EraBegan);
  void report(const ListedTarget &Target, bool Ordered);

  /// Marks the entries that are not listed.
  void markMissing(const std::vector<ListedTarget> &Listed);

  /// Returns whether a report is the source's older copy of one of a target
  /// that this node knows to be leaving or gone, or to have started again.
  bool isOutdatedCopy(const ListedTarget &Target) const;

  /// Returns whether a withheld report is unchanged; otherwise forgets it.
  bool isStillWithheld(const ListedTarget &Target);

  /// Sets the revision of the list and of its newest possible content. Returns
  /// whether that begins a new era.
  bool advanceTo(std::uint64_t Revision, std::uint64_t ContentRevision,
                 TimePoint Now);
  template <class Predicate> bool removeIf(Predicate Remove);
  /// Remembers removals that peers have to learn.
  void rememberRemoved(const std::vector<std::string> &Instances);
  void rebuildIndex();

  std::map<std::string, Entry, std::less<>> Entries_;
  /// Removed instances, oldest first.
  std::deque<Removal> Removals_;
  /// Reports that do not take effect before the grace period of the era ends,
  /// by instance: see isOutdatedCopy.
  std::map<std::string, ListedTarget, std::less<>> Withheld_;
  /// Highest revision whose removals are no longer remembered.
  std::uint64_t ForgottenUpTo_ = 0;
  std::uint64_t Revision_ = 0;
  /// Latest revision whose changes the list may contain; never before
  /// Revision_.
  std::uint64_t ContentRevision_ = 0;
  /// Entries by node, the target that started last first.
  std::map<HostId, std::vector<const ListedTarget *>> ByNode_;
  std::vector<std::string> Evacuated_;
  /// Evacuations of the era before that the source does not list.
  std::vector<std::string> KeptEvacuated_;
  bool Known_ = false;
  bool HasMissingEntries_ = false;
  std::optional<TimePoint> KeepMissingUntil_;
  /// End of the grace period of the era.
  std::optional<TimePoint> WithholdUntil_;
};

} // namespace marigold::membership
