#include "../TestSeed.h"

#include "Membership/TargetDirectory.h"
#include "Support/SourceRevision.h"

#include <doctest/doctest.h>

#include <array>
#include <set>

namespace marigold::membership {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

ListedTarget ready(std::uint64_t Sequence, std::int64_t StartedAt = 1) {
  ListedTarget Target;
  Target.Instance_ = "x";
  Target.Node_ = {1, 7400};
  Target.Service_ = "desk";
  Target.Slots_ = 9;
  Target.StartedAt_ = milliseconds(StartedAt);
  Target.Sequence_ = Sequence;
  return Target;
}

ListedTarget leaving(std::uint64_t Sequence, std::int64_t StartedAt = 1) {
  ListedTarget Target = ready(Sequence, StartedAt);
  Target.Leaving_ = true;
  return Target;
}

using Listed = std::optional<ListedTarget>;

/// How a node learns what the source lists.
enum class Way { OwnRead, Peer };

/// What the source lists of one target in turn, and whether the target must be
/// in use at the end of each step.
struct EraCase {
  const char *Name_;
  /// Before the return: the last report, or that it was removed.
  Listed Held_;
  bool Removed_;
  /// In the copy.
  Listed Copy_;
  bool InUseInCopy_;
  /// What is written afterwards; if it is not, the copy stays.
  bool Written_;
  Listed After_;
  bool InUseAfter_;
  /// When all grace periods have ended.
  bool InUseInTheEnd_;
};

const std::vector<EraCase> Cases = {
    {"copy has an older report of a ready target",
     ready(5),
     false,
     ready(3),
     true,
     false,
     {},
     true,
     true},
    {"copy has a leaving target as ready, and it reports again", leaving(5),
     false, ready(3), false, true, leaving(6), false, false},
    {"copy has a leaving target as ready, and it is never heard from",
     leaving(5),
     false,
     ready(3),
     false,
     false,
     {},
     false,
     true},
    {"copy has a leaving target as ready until its entry lapses",
     leaving(5),
     false,
     ready(3),
     false,
     true,
     {},
     false,
     false},
    {"copy has a removed target, whose entry lapses",
     ready(5),
     true,
     ready(5),
     false,
     true,
     {},
     false,
     false},
    {"copy has a removed target, which reports again", ready(5), true, ready(4),
     false, true, ready(6), true, true},
    {"copy has a removed target, which has started again", leaving(5), true,
     ready(3), false, true, ready(1, 2), true, true},
    {"copy lacks a ready target, which reports again",
     ready(5),
     false,
     {},
     true,
     true,
     ready(6),
     true,
     true},
    {"copy lacks a ready target, which has gone",
     ready(5),
     false,
     {},
     true,
     false,
     {},
     true,
     false},
    {"copy lacks a leaving target",
     leaving(5),
     false,
     {},
     false,
     false,
     {},
     false,
     false},
    {"copy has a target that this node has not known",
     {},
     false,
     ready(1),
     true,
     false,
     {},
     true,
     true},
    {"copy has a target as leaving",
     ready(5),
     false,
     leaving(3),
     false,
     false,
     {},
     false,
     false},
    {"target started again while the copy has its last start", leaving(5),
     false, ready(3), false, true, ready(1, 2), true, true},
};

struct SourceEraFixture {
  TimePoint Now_{seconds(1000)};
  TargetDirectory Directory_;
  std::uint64_t Bare_ = 500;
  std::uint32_t Era_ = 1;

  /// Another target, so that no list is empty.
  static ListedTarget other() {
    ListedTarget Target = ready(1);
    Target.Instance_ = "other";
    Target.Node_ = {2, 7400};
    return Target;
  }

  void list(const Listed &Target, Way By) {
    std::vector<ListedTarget> All{other()};
    if (Target)
      All.push_back(*Target);
    std::uint64_t Revision = orderedRevision(Era_, ++Bare_);
    if (By == Way::OwnRead) {
      Directory_.apply(All, Now_, Revision, Revision, std::nullopt);
      return;
    }
    // A peer that has started since, so that it knows nothing of before.
    TargetDirectory Peer;
    Peer.apply(All, Now_, Revision, Revision, std::nullopt);
    REQUIRE(Directory_.merge(Peer.changesSince(Directory_.revision()), Now_));
  }

  bool inUse() const {
    for (const ListedTarget &Target : Directory_.targets())
      if (Target.Instance_ == "x")
        return !Target.Leaving_;
    return false;
  }

  void wait(Duration Time) {
    for (TimePoint End = Now_ + Time; Now_ < End; Now_ += milliseconds(50))
      Directory_.expire(Now_, true);
  }
};

} // namespace

// Guards against requests to a target that has left, and against giving up
// targets that live, while the source shows an older copy.
TEST_CASE_FIXTURE(SourceEraFixture,
                  "target in an older copy of the source is used as known") {
  for (const EraCase &Each : Cases)
    for (Way By : {Way::OwnRead, Way::Peer}) {
      CAPTURE(Each.Name_);
      CAPTURE(static_cast<int>(By));
      Directory_ = {};
      Bare_ = 500;
      Era_ = 1;
      list(Each.Held_, By);
      if (Each.Removed_)
        list({}, By);
      ++Era_;
      Bare_ = 100;
      list(Each.Copy_, By);
      CHECK(inUse() == Each.InUseInCopy_);
      wait(seconds(2));
      CHECK(inUse() == Each.InUseInCopy_);
      if (Each.Written_)
        list(Each.After_, By);
      CHECK(inUse() == Each.InUseAfter_);
      wait(TargetDirectory::CopyGrace_);
      CHECK(inUse() == Each.InUseInTheEnd_);
      CHECK_FALSE(Directory_.isProvisional());
    }
}

// Guards against a node that still has the lists of an earlier era on their way
// and takes them after one of the new era.
TEST_CASE_FIXTURE(SourceEraFixture,
                  "list of an earlier era does not replace one of a later") {
  list(ready(5), Way::OwnRead);
  TargetDirectory Late = Directory_;
  ++Era_;
  Bare_ = 100;
  list(leaving(6), Way::OwnRead);
  std::uint64_t Known = Directory_.revision();
  Directory_.apply({ready(5)}, Now_, orderedRevision(1, 900));
  CHECK_FALSE(Directory_.merge(Late.changesSince(0), Now_));
  CHECK(Directory_.revision() == Known);
  CHECK_FALSE(inUse());
  // Two returns while the other node could reach nobody.
  ++Era_;
  ++Era_;
  Bare_ = 50;
  list(leaving(7), Way::OwnRead);
  CHECK(Directory_.changesSince(Late.revision()).Base_ == 0);
  REQUIRE(Late.merge(Directory_.changesSince(Late.revision()), Now_));
  CHECK(Late.targets() == Directory_.targets());
}

// Guards against changes that are counted from a revision of another era, in
// which the same number stood for something else.
TEST_CASE_FIXTURE(SourceEraFixture,
                  "changes from one era to another are not merged") {
  list(ready(5), Way::OwnRead);
  TargetChanges Changes;
  Changes.Base_ = Directory_.revision();
  Changes.Revision_ = orderedRevision(2, 100);
  CHECK_FALSE(Directory_.merge(Changes, Now_));
}

// Guards against requests to an evacuated failure domain whose evacuation the
// copy lacks, and against one that never ends.
TEST_CASE_FIXTURE(SourceEraFixture,
                  "evacuation that the copy lacks goes on for a grace") {
  list(ready(5), Way::OwnRead);
  Directory_.setEvacuated({"east", "west"});
  ++Era_;
  list(ready(5), Way::OwnRead);
  Directory_.setEvacuated({"north"});
  CHECK(Directory_.evacuated() ==
        std::vector<std::string>{"east", "north", "west"});
  CHECK(Directory_.isProvisional());
  // A node that continues to read from here must not take them for listed.
  CHECK(Directory_.listedEvacuated() == std::vector<std::string>{"north"});
  list(ready(5), Way::OwnRead);
  Directory_.setEvacuated({"east", "north"});
  wait(TargetDirectory::MissingEntryGrace_ + milliseconds(100));
  CHECK(Directory_.evacuated() == std::vector<std::string>{"east", "north"});
  CHECK_FALSE(Directory_.isProvisional());
}

namespace {

/// A source that returns from older copies, with targets that write again what
/// was lost of their reports, and entries that lapse when nobody does.
struct ReturningSource {
  struct State {
    std::map<std::string, ListedTarget> Entries_;
    std::uint64_t Revision_ = 1;
  };
  State Now_;
  State Copy_;
  std::uint32_t Era_ = 1;
  /// Targets as they are, whatever the source has of them.
  std::map<std::string, ListedTarget> Real_;
  std::int64_t Starts_ = 0;

  std::uint64_t revision() const {
    return orderedRevision(Era_, Now_.Revision_);
  }

  /// Whether the start of a target that reported this is still running.
  bool isAlive(const ListedTarget &Target) const {
    auto Real = Real_.find(Target.Instance_);
    return Real != Real_.end() && Real->second.StartedAt_ == Target.StartedAt_;
  }

  std::vector<ListedTarget> targets() const {
    std::vector<ListedTarget> Targets;
    for (const auto &[Instance, Target] : Now_.Entries_)
      Targets.push_back(Target);
    return Targets;
  }

  /// A target starts, reports, begins to leave or is removed. Leaving is final.
  void change(Random &Rng) {
    std::string Name(1, static_cast<char>('a' + Rng.below(5)));
    auto Known = Real_.find(Name);
    if (Known == Real_.end()) {
      ListedTarget Target = ready(1, ++Starts_);
      Target.Instance_ = Name;
      Target.Node_ = {static_cast<std::uint32_t>(Name[0]), 7400};
      Real_[Name] = Target;
    } else if (Known->second.Leaving_ && Rng.chance(0.5)) {
      Real_.erase(Known);
    } else {
      Known->second.Leaving_ = Known->second.Leaving_ || Rng.chance(0.4);
      ++Known->second.Sequence_;
    }
    write(Name);
  }

  void write(const std::string &Name) {
    ++Now_.Revision_;
    auto Known = Real_.find(Name);
    if (Known == Real_.end())
      Now_.Entries_.erase(Name);
    else
      Now_.Entries_[Name] = Known->second;
  }

  void returnFromCopy() {
    Now_ = Copy_;
    ++Era_;
  }

  /// Writes one thing again that the copy lacks. Returns whether there was one.
  bool writeAgain() {
    std::set<std::string> Names;
    for (const auto &[Name, Target] : Real_)
      Names.insert(Name);
    for (const auto &[Name, Target] : Now_.Entries_)
      Names.insert(Name);
    for (const std::string &Name : Names) {
      auto Real = Real_.find(Name);
      auto Entry = Now_.Entries_.find(Name);
      bool Same = Real != Real_.end() && Entry != Now_.Entries_.end() &&
                  Real->second == Entry->second;
      if (Same)
        continue;
      if (Real != Real_.end())
        ++Real->second.Sequence_;
      write(Name);
      return true;
    }
    return false;
  }
};

using Start = std::pair<std::string, milliseconds>;

/// A node and the starts of targets that it knew to be leaving or gone.
struct ModelNode {
  TargetDirectory Directory_;
  std::set<Start> Left_;

  /// Notes what the node knows. Before: the targets that it knew before. One
  /// that is alive and was only missing from a copy may be used again.
  void note(const std::vector<ListedTarget> &Before,
            const ReturningSource &Source) {
    std::set<Start> Current;
    for (const ListedTarget &Target : Directory_.targets()) {
      Current.insert({Target.Instance_, Target.StartedAt_});
      if (Target.Leaving_)
        Left_.insert({Target.Instance_, Target.StartedAt_});
      else
        REQUIRE_FALSE(Left_.contains({Target.Instance_, Target.StartedAt_}));
    }
    for (const ListedTarget &Target : Before)
      if (!Current.contains({Target.Instance_, Target.StartedAt_}) &&
          !Source.isAlive(Target))
        Left_.insert({Target.Instance_, Target.StartedAt_});
  }
};

} // namespace

// Plays random changes, returns from copies, reads and exchanges between nodes.
// No node may use a target again that it knew to be leaving or gone, and all
// end on the list of the source.
TEST_CASE_FIXTURE(SourceEraFixture,
                  "directories follow a source that returns from copies") {
  forEachSeed(2000, [&](Random &Rng) {
    ReturningSource Source;
    std::array<ModelNode, 3> Nodes;
    Now_ = TimePoint(seconds(1000));
    TimePoint QuietUntil = Now_;
    auto Each = [&](ModelNode &Node, auto Do) {
      std::vector<ListedTarget> Before = Node.Directory_.targets();
      Do(Node.Directory_);
      Node.note(Before, Source);
    };
    auto Read = [&](TargetDirectory &Directory) {
      Directory.apply(Source.targets(), Now_, Source.revision(),
                      Source.revision(), std::nullopt);
    };
    for (int Step = 0; Step < 120; ++Step) {
      Now_ += milliseconds(Rng.below(200));
      ModelNode &Node = Nodes[Rng.below(Nodes.size())];
      const TargetDirectory &Other = Nodes[Rng.below(Nodes.size())].Directory_;
      switch (Rng.below(8)) {
      case 0:
      case 1:
        Each(Node, Read);
        break;
      case 2:
        if (!Other.isProvisional())
          Each(Node, [&](TargetDirectory &Directory) {
            Directory.merge(Other.changesSince(Directory.revision()), Now_);
          });
        break;
      case 3:
        Each(Node,
             [&](TargetDirectory &Directory) { Directory.expire(Now_, true); });
        break;
      case 4:
        if (Rng.chance(0.3))
          Source.Copy_ = Source.Now_;
        break;
      case 5:
        // What a return has lost is written again before the next one.
        if (Rng.chance(0.3) && Now_ >= QuietUntil) {
          Source.returnFromCopy();
          QuietUntil = Now_ + seconds(2);
        }
        break;
      default:
        if (Now_ < QuietUntil)
          Source.writeAgain();
        else
          Source.change(Rng);
      }
      if (Now_ >= QuietUntil)
        while (Source.writeAgain())
          ;
    }
    while (Source.writeAgain())
      ;
    Now_ += TargetDirectory::CopyGrace_;
    Each(Nodes[0], Read);
    for (ModelNode &Node : Nodes) {
      if (Node.Directory_.revision() < Source.revision())
        Each(Node, [&](TargetDirectory &Directory) {
          REQUIRE(Directory.merge(
              Nodes[0].Directory_.changesSince(Directory.revision()), Now_));
        });
      // A list of a new era begins its grace period.
      Now_ += TargetDirectory::CopyGrace_;
      Each(Node,
           [&](TargetDirectory &Directory) { Directory.expire(Now_, true); });
      REQUIRE(Node.Directory_.targets() == Source.targets());
    }
  });
}

} // namespace marigold::membership
