#include "../TestSeed.h"

#include "Membership/TargetDirectory.h"

#include <doctest/doctest.h>

#include <array>

namespace marigold::membership {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct DirectoryFixture {
  TimePoint Now_{seconds(1000)};
  TargetDirectory Directory_;

  static ListedTarget target(const std::string &Instance, std::uint32_t Ip,
                             std::int64_t StartedAt = 1,
                             std::uint64_t Sequence = 1) {
    ListedTarget Target;
    Target.Instance_ = Instance;
    Target.Node_ = {Ip, 7400};
    Target.Service_ = "desk";
    Target.Slots_ = 9;
    Target.StartedAt_ = milliseconds(StartedAt);
    Target.Sequence_ = Sequence;
    return Target;
  }

  std::vector<std::string> instances(std::string_view Service = "desk") {
    std::vector<std::string> Names;
    for (const ListedTarget *Target : Directory_.ofService(Service))
      Names.push_back(Target->Instance_);
    return Names;
  }
};

using Names = std::vector<std::string>;

} // namespace

// Guards against requests to a target that was removed from the list.
TEST_CASE_FIXTURE(
    DirectoryFixture,
    "directory without an outage drops a missing target at once") {
  Directory_.apply({target("a", 1), target("b", 2)}, Now_);
  Directory_.apply({target("b", 2)}, Now_);
  CHECK(instances() == Names{"b"});
  CHECK(Directory_.find({1, 7400}) == nullptr);
}

// Guards against an empty pool of targets when entries expire while the
// platform's store is down.
TEST_CASE_FIXTURE(
    DirectoryFixture,
    "directory after an outage keeps missing targets for a grace period") {
  Directory_.apply({target("a", 1), target("b", 2)}, Now_);
  Now_ += seconds(5);
  Directory_.onOutageEnded(Now_);
  Directory_.apply({target("b", 2)}, Now_);
  CHECK(instances() == Names{"a", "b"});
  CHECK_FALSE(
      Directory_.expire(Now_ + TargetDirectory::MissingEntryGrace_ / 2, true));
  CHECK(Directory_.expire(Now_ + TargetDirectory::MissingEntryGrace_, true));
  CHECK(instances() == Names{"b"});
}

TEST_CASE_FIXTURE(DirectoryFixture,
                  "directory after an outage keeps a target that came back") {
  Directory_.apply({target("a", 1)}, Now_);
  Directory_.onOutageEnded(Now_);
  Directory_.apply({}, Now_);
  Now_ += seconds(1);
  Directory_.apply({target("a", 1)}, Now_);
  CHECK_FALSE(
      Directory_.expire(Now_ + TargetDirectory::MissingEntryGrace_, true));
  CHECK(instances() == Names{"a"});
}

// Guards against new requests to a target that left during the outage.
TEST_CASE_FIXTURE(DirectoryFixture,
                  "directory after an outage drops a leaving target at once") {
  ListedTarget Leaving = target("a", 1);
  Leaving.Leaving_ = true;
  Directory_.apply({Leaving}, Now_);
  Directory_.onOutageEnded(Now_);
  Directory_.apply({}, Now_);
  CHECK(instances().empty());
}

// Guards against requests to the wrong service when an address is reused.
TEST_CASE_FIXTURE(
    DirectoryFixture,
    "directory returns the newer of two targets with one address") {
  ListedTarget Newer = target("new", 1, 20);
  Newer.Service_ = "board";
  Directory_.apply({target("old", 1, 10), Newer}, Now_);
  REQUIRE(Directory_.find({1, 7400}) != nullptr);
  CHECK(Directory_.find({1, 7400})->Instance_ == "new");
  CHECK(instances().empty());
  CHECK(instances("board") == Names{"new"});
}

// Guards against an outdated report that arrives late and cancels a drain.
TEST_CASE_FIXTURE(DirectoryFixture, "directory ignores an older report") {
  ListedTarget Leaving = target("a", 1, 5, 7);
  Leaving.Leaving_ = true;
  Directory_.apply({Leaving}, Now_);
  Directory_.apply({target("a", 1, 5, 6)}, Now_);
  REQUIRE(Directory_.find({1, 7400}) != nullptr);
  CHECK(Directory_.find({1, 7400})->Leaving_);
  Directory_.apply({target("a", 1, 6, 1)}, Now_);
  CHECK_FALSE(Directory_.find({1, 7400})->Leaving_);
}

// Guards against requests to a target that leaves: it has started again under
// its name after the clock of its host had jumped back, and the reports of its
// earlier run hide the present ones.
TEST_CASE_FIXTURE(DirectoryFixture,
                  "directory orders reports by revision, not by start time") {
  Directory_.apply({target("a", 1, 2400, 9)}, Now_, 10, 10);
  TargetDirectory Peer;
  REQUIRE(Peer.merge(Directory_.changesSince(0), Now_));
  ListedTarget Leaving = target("a", 1, 1000, 3);
  Leaving.Leaving_ = true;
  Directory_.apply({Leaving}, Now_, 14, 14);
  REQUIRE(Directory_.find({1, 7400}) != nullptr);
  CHECK(Directory_.find({1, 7400})->Leaving_);
  REQUIRE(Peer.merge(Directory_.changesSince(Peer.revision()), Now_));
  CHECK(Peer.targets() == Directory_.targets());
}

// Guards against an earlier report that displaces the current one because its
// start time is later: the list is assembled from two reads, and the current
// entry may come from a later revision.
TEST_CASE_FIXTURE(DirectoryFixture,
                  "directory with content after a list keeps later reports") {
  ListedTarget Leaving = target("a", 1, 5, 7);
  Leaving.Leaving_ = true;
  Directory_.apply({Leaving}, Now_, 10, 14);
  Directory_.apply({target("a", 1, 5, 6)}, Now_, 12, 12);
  CHECK(Directory_.find({1, 7400})->Leaving_);
}

// Guards against a peer that misses a change because the two nodes count
// revisions differently.
TEST_CASE_FIXTURE(DirectoryFixture,
                  "directory merges the changes of a peer since its revision") {
  Directory_.apply({target("a", 1), target("b", 2)}, Now_, 10);
  TargetDirectory Peer;
  REQUIRE(Peer.merge(Directory_.changesSince(0), Now_));
  ListedTarget Leaving = target("a", 1, 1, 2);
  Leaving.Leaving_ = true;
  Directory_.apply({Leaving, target("c", 3)}, Now_, 14);
  TargetChanges Changes = Directory_.changesSince(Peer.revision());
  CHECK(Changes.Base_ == 10);
  CHECK(Changes.Changed_.size() == 2);
  REQUIRE(Peer.merge(Changes, Now_));
  CHECK(Peer.targets() == Directory_.targets());
  CHECK(Peer.revision() == 14);
  CHECK(Directory_.changesSince(14).Revision_ == 0);
}

// Guards against a removed target that a late answer restores.
TEST_CASE_FIXTURE(DirectoryFixture,
                  "directory ignores changes that lead to no later revision") {
  Directory_.apply({target("a", 1)}, Now_, 10);
  TargetChanges Late = Directory_.changesSince(0);
  Directory_.apply({}, Now_, 12);
  CHECK_FALSE(Directory_.merge(Late, Now_));
  Directory_.apply({target("a", 1)}, Now_, 10);
  CHECK(instances().empty());
}

// Guards against a list that lacks the changes between two revisions.
TEST_CASE_FIXTURE(DirectoryFixture,
                  "directory refuses changes that start after its revision") {
  Directory_.apply({target("a", 1)}, Now_, 10);
  TargetChanges Ahead;
  Ahead.Base_ = 12;
  Ahead.Revision_ = 14;
  Ahead.Changed_ = {target("b", 2)};
  CHECK_FALSE(Directory_.merge(Ahead, Now_));
  CHECK(instances() == Names{"a"});
  CHECK(Directory_.revision() == 10);
}

// Guards against a removed target that a peer keeps because its removal is no
// longer remembered or was never known.
TEST_CASE_FIXTURE(
    DirectoryFixture,
    "directory that no longer remembers removals sends the whole list") {
  Directory_.apply({target("a", 1)}, Now_, 10);
  CHECK(Directory_.changesSince(9).Base_ == 0);
  CHECK(Directory_.changesSince(10).Revision_ == 0);
  TargetDirectory Peer;
  REQUIRE(Peer.merge(Directory_.changesSince(0), Now_));
  std::uint64_t Revision = 10;
  for (std::size_t Round = 0; Round <= TargetDirectory::RemovalsKept_;
       ++Round) {
    Directory_.apply({target("x" + std::to_string(Round), 2)}, Now_,
                     ++Revision);
  }
  TargetChanges Changes = Directory_.changesSince(Peer.revision());
  CHECK(Changes.Base_ == 0);
  REQUIRE(Peer.merge(Changes, Now_));
  CHECK(Peer.targets() == Directory_.targets());
}

// Guards against a removal that stays unknown to all other nodes for the grace
// period of one node.
TEST_CASE_FIXTURE(
    DirectoryFixture,
    "directory reports missing entries until their grace period ends") {
  Directory_.apply({target("a", 1)}, Now_, 10);
  Directory_.onOutageEnded(Now_);
  Directory_.apply({}, Now_, 11);
  CHECK(Directory_.hasMissingEntries());
  CHECK(Directory_.expire(Now_ + TargetDirectory::MissingEntryGrace_, true));
  CHECK_FALSE(Directory_.hasMissingEntries());
  CHECK(Directory_.changesSince(10).Removed_ == Names{"a"});
}

// Guards against a drain that a peer never learns of. A reader that assembles
// its list from two reads may hold a change that is later than the revision of
// the list; if it dates the change by that revision, it later tells a peer with
// the same revision that nothing has changed.
TEST_CASE_FIXTURE(
    DirectoryFixture,
    "directory with content after its revision passes on every change") {
  Directory_.apply({target("a", 1), target("b", 2)}, Now_, 10, 10);
  TargetDirectory Peer;
  REQUIRE(Peer.merge(Directory_.changesSince(0), Now_));
  ListedTarget Leaving = target("a", 1, 1, 2);
  Leaving.Leaving_ = true;
  Directory_.apply({Leaving}, Now_, 10, 12);
  CHECK(Directory_.isAheadOfRevision());
  Directory_.apply({Leaving}, Now_, 12, 12);
  CHECK_FALSE(Directory_.isAheadOfRevision());
  REQUIRE(Peer.merge(Directory_.changesSince(Peer.revision()), Now_));
  CHECK(Peer.targets() == Directory_.targets());
}

// Guards against peers that receive an incomplete list from a node whose first
// list had no revision yet.
TEST_CASE_FIXTURE(
    DirectoryFixture,
    "directory whose first list has no revision sends the whole list") {
  TargetDirectory Peer;
  Peer.apply({target("a", 1), target("b", 2)}, Now_, 10, 10);
  Directory_.apply({target("b", 2), target("c", 3)}, Now_, 0, 12);
  Directory_.apply({target("b", 2), target("c", 3)}, Now_, 12, 12);
  REQUIRE(Peer.merge(Directory_.changesSince(10), Now_));
  CHECK(Peer.targets() == Directory_.targets());
}

// Guards against an entry that is kept for ever because the reader resumes from
// a state in which the platform seems to list it.
TEST_CASE_FIXTURE(DirectoryFixture,
                  "directory does not count a missing entry as listed") {
  Directory_.apply({target("a", 1), target("b", 2)}, Now_, 10, 10);
  Directory_.onOutageEnded(Now_);
  Directory_.apply({target("b", 2)}, Now_, 11, 11);
  CHECK(Directory_.targets().size() == 2);
  REQUIRE(Directory_.listedTargets().size() == 1);
  CHECK(Directory_.listedTargets()[0].Instance_ == "b");
}

namespace {

/// The platform's store: the current entries, and its revision.
struct FakeList {
  std::map<std::string, ListedTarget> Entries_;
  std::uint64_t Revision_ = 1;
  /// All removals: the revision and the instance.
  std::vector<std::pair<std::uint64_t, std::string>> Removals_;

  std::vector<ListedTarget> targets() const {
    std::vector<ListedTarget> Targets;
    for (const auto &[Instance, Target] : Entries_)
      Targets.push_back(Target);
    return Targets;
  }

  /// Instances removed after a revision.
  Names removedSince(std::uint64_t Revision) const {
    Names Removed;
    for (const auto &[RemovedAt, Name] : Removals_)
      if (RemovedAt > Revision)
        Removed.push_back(Name);
    return Removed;
  }

  /// Changes one entry: a start under the same name, a report or a removal. The
  /// clocks of hosts jump by up to Jump_ in either direction.
  void change(Random &Rng) {
    ++Revision_;
    std::string Name(1, static_cast<char>('a' + Rng.below(6)));
    auto Known = Entries_.find(Name);
    if (Known != Entries_.end() && Rng.chance(0.2)) {
      Entries_.erase(Known);
      Removals_.emplace_back(Revision_, Name);
      return;
    }
    bool Starts = Known == Entries_.end() || Rng.chance(0.3);
    ListedTarget Target =
        Starts ? DirectoryFixture::target(
                     Name, static_cast<std::uint32_t>(Name[0]),
                     static_cast<std::int64_t>(1 + Rng.below(Jump_)))
               : Known->second;
    Target.Sequence_ += 1;
    Target.Leaving_ = !Starts && Rng.chance(0.4);
    Entries_[Name] = Target;
  }

  static constexpr std::uint64_t Jump_ = 5000;
};

} // namespace

// Guards against a target that a peer keeps for good: it was added and removed
// between two lists of the node that passes the changes on.
TEST_CASE_FIXTURE(DirectoryFixture,
                  "directory passes on the removal of a target it never held") {
  for (bool Known : {true, false}) {
    CAPTURE(Known);
    TargetDirectory Reader;
    TargetDirectory Other;
    TargetDirectory Peer;
    for (TargetDirectory *Node : {&Reader, &Other})
      Node->apply({target("a", 1)}, Now_, 10, 10);
    REQUIRE(Peer.merge(Other.changesSince(0), Now_));
    Other.apply({target("a", 1), target("x", 2)}, Now_, 12, 12);
    REQUIRE(Peer.merge(Other.changesSince(Peer.revision()), Now_));
    CHECK(Peer.targets().size() == 2);
    std::optional<std::vector<std::string>> Removed;
    if (Known)
      Removed = {"x"};
    Reader.apply({target("a", 1)}, Now_, 14, 14, Removed);
    TargetChanges Changes = Reader.changesSince(Peer.revision());
    CHECK(Changes.Base_ == (Known ? 12U : 0U));
    REQUIRE(Peer.merge(Changes, Now_));
    CHECK(Peer.targets() == Reader.targets());
    // The peer passes it on as well.
    REQUIRE(Other.merge(Peer.changesSince(Other.revision()), Now_));
    CHECK(Other.targets() == Reader.targets());
  }
}

// Guards against nodes that do not end on the state of the store. Plays random
// changes, reads by several nodes and exchanges between them, with clocks that
// jump under targets that start again under their names.
TEST_CASE_FIXTURE(
    DirectoryFixture,
    "directories end on the list of the store whatever the clocks") {
  forEachSeed(2000, [&](Random &Rng) {
    FakeList Store;
    std::array<TargetDirectory, 3> Nodes;
    auto Read = [&](TargetDirectory &Node, const FakeList &Seen) {
      std::optional<std::vector<std::string>> Removed;
      if (Node.isKnown() && Rng.chance(0.8))
        Removed = Seen.removedSince(Node.revision());
      Node.apply(Seen.targets(), Now_, Seen.Revision_, Seen.Revision_, Removed);
    };
    FakeList Earlier = Store;
    for (int Step = 0; Step < 60; ++Step) {
      TargetDirectory &Node = Nodes[Rng.below(Nodes.size())];
      switch (Rng.below(6)) {
      case 0:
        Read(Node, Store);
        break;
      case 1:
        Read(Node, Earlier);
        break;
      case 2:
        Node.merge(Nodes[Rng.below(Nodes.size())].changesSince(
                       Rng.chance(0.1) ? 0 : Node.revision()),
                   Now_);
        break;
      case 3:
        Earlier = Store;
        break;
      default:
        Store.change(Rng);
      }
      if (Node.revision() == Store.Revision_)
        REQUIRE(Node.targets() == Store.targets());
    }
    Read(Nodes[0], Store);
    for (TargetDirectory &Node : Nodes)
      if (Node.revision() < Store.Revision_)
        REQUIRE(Node.merge(Nodes[0].changesSince(Node.revision()), Now_));
    for (const TargetDirectory &Node : Nodes)
      REQUIRE(Node.targets() == Store.targets());
  });
}

// Guards against a peer that lags behind and brings back an evacuation that has
// ended.
TEST_CASE_FIXTURE(DirectoryFixture,
                  "changes of an earlier revision keep the evacuations") {
  Directory_.apply({target("a", 1)}, Now_, 20);
  Directory_.setEvacuated({"east"});
  TargetChanges Earlier = Directory_.changesSince(0);
  Directory_.apply({target("a", 1)}, Now_, 21);
  Directory_.setEvacuated({});
  CHECK_FALSE(Directory_.merge(Earlier, Now_));
  CHECK_FALSE(Directory_.isEvacuated("east"));
}

TEST_CASE_FIXTURE(DirectoryFixture, "changes carry the evacuations") {
  Directory_.apply({target("a", 1)}, Now_, 20);
  Directory_.setEvacuated({"east", "north"});
  TargetDirectory Peer;
  CHECK(Peer.merge(Directory_.changesSince(0), Now_));
  CHECK(Peer.isEvacuated("north"));
  CHECK_FALSE(Peer.isEvacuated("west"));
}

// Guards against a host that is out of use because of an entry of another
// writer: what the host itself says of its service comes first.
TEST_CASE_FIXTURE(DirectoryFixture,
                  "directory prefers entries of the stated service") {
  ListedTarget Other = target("x", 1, 9);
  Other.Service_ = "board";
  ListedTarget Leaving = target("y", 1, 5);
  Leaving.Leaving_ = true;
  Directory_.apply({target("a", 1, 3), Other, Leaving, target("b", 2)}, Now_);
  CHECK(Directory_.size() == 2);
  CHECK(Directory_.entriesAt({1, 7400}).size() == 3);
  CHECK(Directory_.entriesAt({3, 7400}).empty());
  CHECK(Directory_.find({1, 7400})->Instance_ == "x");
  CHECK(Directory_.find({1, 7400}, "desk")->Instance_ == "a");
  CHECK(Directory_.find({1, 7400}, "board")->Instance_ == "x");
  CHECK(Directory_.find({2, 7400}, "board")->Instance_ == "b");
  auto Stated = [](const HostId &Node) -> std::string_view {
    return Node.Ipv4_ == 1 ? "desk" : "";
  };
  CHECK(Directory_.ofService("desk", Stated).size() == 2);
  CHECK(Directory_.ofService("board", Stated).empty());
  CHECK(instances() == Names{"b"});
}

} // namespace marigold::membership
