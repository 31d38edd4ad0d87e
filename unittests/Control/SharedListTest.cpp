#include "ControlHarness.h"

#include "Support/SourceRevision.h"

#include <doctest/doctest.h>

namespace marigold::node {
namespace {

using namespace std::chrono_literals;

/// Twelve nodes in two failure domains on a platform that lists targets. Uses
/// the settings of deploy/settings.conf.
struct SharedListFixture : ControlHarness {
  SharedListFixture() : ControlHarness(7) {
    Configure_ = [](NodeSettings &Settings) {
      Settings.SourceTakeover_ = "at-once";
      Settings.SourceStaleAfter_ = 1200ms;
      Settings.SourceHeartbeat_ = 300ms;
      Settings.SourceGap_ = 50ms;
      Settings.HostsGap_ = 50ms;
      Settings.SourceRetryLimit_ = 500ms;
      Settings.BootstrapGrace_ = 300ms;
      Settings.RestartSpread_ = 0ms;
      Settings.Seeds_.clear();
    };
    source().Targets_.emplace();
    for (unsigned Number = 1; Number <= Count_; ++Number)
      source().Targets_->push_back(target(Number));
    source().Revision_ = 20;
    source().Index_ = 10;
    source().Text_ = textWithSlots(10);
    for (unsigned Number = 1; Number <= Count_; ++Number)
      add(Number, Number % 2 == 0 ? "even" : "odd");
    run(20s);
    REQUIRE(allHaveRevision(10));
    REQUIRE(allKnowRevision(20));
  }

  static ListedTarget target(unsigned Number) {
    ListedTarget Target;
    Target.Instance_ = "i-" + std::to_string(Number);
    Target.Node_ = idOf(Number);
    Target.Service_ = "desk";
    Target.FailureDomain_ = Number % 2 == 0 ? "even" : "odd";
    Target.Slots_ = 9;
    return Target;
  }

  /// Removes the target of a node from the list.
  void removeTarget(unsigned Number) {
    std::erase_if(*source().Targets_, [&](const ListedTarget &Target) {
      return Target.Node_ == idOf(Number);
    });
    ++source().Revision_;
  }

  /// Replaces the evacuated failure domains.
  void evacuate(std::vector<std::string> Domains) {
    source().Evacuated_ = std::move(Domains);
    ++source().Revision_;
  }

  /// Nodes that know that their own target is evacuated.
  std::set<unsigned> evacuatedNodes() {
    std::set<unsigned> Found;
    for (unsigned Number = 1; Number <= Count_; ++Number)
      if (node(Number).Core_->ownTarget().Evacuated_)
        Found.insert(Number);
    return Found;
  }

  bool allKnowRevision(std::uint64_t Revision) {
    for (unsigned Number = 1; Number <= Count_; ++Number)
      if (node(Number).Running_ &&
          node(Number).Core_->knownSourceState().Revision_ != Revision)
        return false;
    return true;
  }

  std::set<unsigned> readers() {
    std::set<unsigned> Found;
    for (unsigned Number = 1; Number <= Count_; ++Number)
      if (node(Number).Core_->isReader(now()))
        Found.insert(Number);
    return Found;
  }

  unsigned nonReader() {
    std::set<unsigned> Readers = readers();
    unsigned Number = 1;
    while (Readers.contains(Number))
      ++Number;
    return Number;
  }

  static constexpr unsigned Count_ = 12;
  /// Time within which a node must know that a target was removed.
  static constexpr Duration PropagationLimit_ = 2s;
};

} // namespace

// Guards against a starting node that fetches and compiles the configuration
// twice, which delays its readiness for callers.
TEST_CASE_FIXTURE(SharedListFixture,
                  "starting node fetches the configuration once") {
  CHECK(source().TextFetches_ <= Count_);
}

// Guards against a number of source calls that grows with the number of nodes
// and changes.
TEST_CASE_FIXTURE(SharedListFixture,
                  "change of the list reaches all by few calls of the source") {
  REQUIRE(readers().size() == 4);
  source().Calls_ = 0;
  removeTarget(nonReader());
  run(1s);
  CHECK(allKnowRevision(21));
  CHECK(source().Calls_ <= 2 * readers().size());
}

// Guards against new work for a removed target because its own node does not
// learn of the removal.
TEST_CASE_FIXTURE(SharedListFixture,
                  "node learns within the bound that its target is gone") {
  unsigned Number = nonReader();
  REQUIRE_FALSE(node(Number).Core_->ownTarget().Unlisted_);
  removeTarget(Number);
  run(PropagationLimit_);
  CHECK(node(Number).Core_->ownTarget().Unlisted_);
}

// Guards against exceeding the time limit when all readers fail before they
// have read a change.
TEST_CASE_FIXTURE(SharedListFixture,
                  "nodes whose readers all die read within the bound") {
  unsigned Number = nonReader();
  for (unsigned Reader : readers())
    setPaused(Reader, true);
  removeTarget(Number);
  source().Index_ = 11;
  source().Text_ = textWithSlots(11);
  run(PropagationLimit_);
  CHECK(node(Number).Core_->ownTarget().Unlisted_);
  CHECK(allKnowRevision(21));
  CHECK(allHaveRevision(11));
}

// Guards against readers that confirm data to other nodes although they can no
// longer reach the source.
TEST_CASE_FIXTURE(SharedListFixture,
                  "nodes whose readers lost the source read within the bound") {
  unsigned Number = nonReader();
  source().UnreachableNodes_ = readers();
  removeTarget(Number);
  run(PropagationLimit_);
  CHECK(node(Number).Core_->ownTarget().Unlisted_);
}

// Guards against a node that relies on the adverts of its peers but does not
// fetch the changed list from them when it cannot reach the source itself.
TEST_CASE_FIXTURE(SharedListFixture,
                  "node without the source learns the list from peers") {
  unsigned Number = nonReader();
  source().UnreachableNodes_ = {Number};
  removeTarget(Number);
  run(PropagationLimit_);
  CHECK(node(Number).Core_->ownTarget().Unlisted_);
}

// Guards against a node that treats the silence of unreachable peers as a sign
// that nothing has changed.
TEST_CASE_FIXTURE(SharedListFixture,
                  "node without peers reads within the bound") {
  unsigned Number = nonReader();
  partition({Number});
  removeTarget(Number);
  run(PropagationLimit_);
  CHECK(node(Number).Core_->ownTarget().Unlisted_);
}

// Guards against a node that treats data from before a suspension as recent,
// because the monotonic clock does not advance during a suspension.
TEST_CASE_FIXTURE(SharedListFixture,
                  "node that was suspended does not trust what it knew") {
  unsigned Number = nonReader();
  partition({Number});
  ControlEffects Out;
  node(Number).Core_->onSuspended(5s, now(), Out);
  CHECK(Out.Pauses_ == std::vector<Duration>{5s});
  CHECK_FALSE(node(Number).Core_->isTrusted(now()));
  removeTarget(Number);
  run(150ms);
  // The node has read the list immediately. The source may have had an outage
  // during the suspension, so the missing entry is kept for the grace period.
  CHECK(node(Number).Core_->directory().hasMissingEntries());
  run(membership::TargetDirectory::MissingEntryGrace_);
  CHECK(node(Number).Core_->ownTarget().Unlisted_);
}

// Guards against delaying a removal by the grace period of an outage that ended
// long ago, at a node that read during that outage and not since.
TEST_CASE_FIXTURE(SharedListFixture,
                  "removal long after an outage counts at once") {
  source().Down_ = true;
  run(5s);
  source().Down_ = false;
  run(15s);
  unsigned Number = nonReader();
  removeTarget(Number);
  run(PropagationLimit_);
  CHECK(node(Number).Core_->ownTarget().Unlisted_);
  CHECK(allKnowRevision(21));
}

// Guards against an empty set of targets after an outage of the source in which
// entries lapsed because targets could not report.
TEST_CASE_FIXTURE(SharedListFixture,
                  "entry that lapsed in an outage is kept for a grace") {
  unsigned Number = nonReader();
  source().Down_ = true;
  run(5s);
  removeTarget(Number);
  source().Down_ = false;
  run(1500ms);
  for (unsigned Each = 1; Each <= Count_; ++Each)
    CHECK(node(Each).Core_->directory().find(idOf(Number)) != nullptr);
  run(6s);
  CHECK(node(Number).Core_->ownTarget().Unlisted_);
  CHECK(allKnowRevision(21));
}

// Guards against a target that has left being used again by a node that starts
// while the source is down and asks a peer that never learned of the removal.
TEST_CASE_FIXTURE(SharedListFixture,
                  "restarted node does not list a target that has left") {
  unsigned Stale = nonReader();
  unsigned Removed = Stale + 1;
  while (readers().contains(Removed))
    ++Removed;
  unsigned Restarted = Removed + 1;
  while (readers().contains(Restarted))
    ++Restarted;
  REQUIRE(Restarted <= Count_);
  partition({Stale});
  source().UnreachableNodes_ = {Stale};
  removeTarget(Removed);
  run(PropagationLimit_);
  REQUIRE(node(Stale).Core_->directory().find(idOf(Removed)) != nullptr);
  source().Down_ = true;
  partition({});
  restart(Restarted);
  run(PropagationLimit_);
  CHECK(node(Restarted).Core_->directory().isKnown());
  CHECK(node(Restarted).Core_->directory().find(idOf(Removed)) == nullptr);
  CHECK(node(Stale).Core_->directory().find(idOf(Removed)) == nullptr);
}

// Guards against a fleet that stands still when the source returns from an
// older copy, whose revisions are below those of before, and against nodes that
// do not read the source and stay in the era before.
TEST_CASE_FIXTURE(SharedListFixture,
                  "source that returned from a copy is followed by all nodes") {
  source().Revision_ = orderedRevision(1, 900);
  run(3s);
  REQUIRE(allKnowRevision(orderedRevision(1, 900)));
  unsigned CutOff = nonReader();
  source().UnreachableNodes_ = {CutOff};
  source().Revision_ = orderedRevision(2, 40);
  run(PropagationLimit_);
  CHECK(allKnowRevision(orderedRevision(2, 40)));
  unsigned Removed = CutOff + 1;
  while (readers().contains(Removed))
    ++Removed;
  removeTarget(Removed);
  run(PropagationLimit_);
  CHECK(node(Removed).Core_->ownTarget().Unlisted_);
  CHECK(allKnowRevision(orderedRevision(2, 41)));
}

// Guards against a target that is given up because the copy lacks its entry,
// which it writes again within two seconds.
TEST_CASE_FIXTURE(SharedListFixture,
                  "target that the copy lacks is kept until it reports again") {
  source().Revision_ = orderedRevision(1, 900);
  run(3s);
  unsigned Number = nonReader();
  removeTarget(Number);
  source().Revision_ = orderedRevision(2, 40);
  for (int Step = 0; Step < 18; ++Step) {
    run(100ms);
    for (unsigned Each = 1; Each <= Count_; ++Each)
      REQUIRE(node(Each).Core_->directory().find(idOf(Number)) != nullptr);
  }
  source().Targets_->push_back(target(Number));
  ++source().Revision_;
  run(PropagationLimit_);
  CHECK(allKnowRevision(orderedRevision(2, 41)));
  CHECK_FALSE(node(Number).Core_->ownTarget().Unlisted_);
}

// Guards against requests to the targets of an evacuated failure domain, from
// callers' nodes and at the targets' own nodes.
TEST_CASE_FIXTURE(SharedListFixture,
                  "evacuation reaches every node within the bound") {
  evacuate({"even"});
  run(PropagationLimit_);
  CHECK(allKnowRevision(21));
  CHECK(evacuatedNodes() == std::set<unsigned>{2, 4, 6, 8, 10, 12});
  for (const HostRecord &Record : node(1).Core_->targetsOf("desk"))
    CHECK((Record.State_ == HostState::Draining) ==
          (Record.FailureDomain_ == "even"));
}

TEST_CASE_FIXTURE(SharedListFixture,
                  "end of an evacuation reaches every node") {
  evacuate({"even"});
  run(PropagationLimit_);
  evacuate({});
  run(PropagationLimit_);
  CHECK(evacuatedNodes().empty());
  for (const HostRecord &Record : node(1).Core_->targetsOf("desk"))
    CHECK(Record.State_ == HostState::Ready);
}

TEST_CASE_FIXTURE(SharedListFixture,
                  "evacuation of every failure domain leaves no target") {
  evacuate({"even", "odd"});
  run(PropagationLimit_);
  CHECK(evacuatedNodes().size() == Count_);
}

// Guards against a node whose settings name another failure domain than the
// list does for its target, which callers' nodes go by.
TEST_CASE_FIXTURE(SharedListFixture,
                  "evacuation goes by the listed failure domain") {
  source().Targets_->front().FailureDomain_ = "third";
  evacuate({"third"});
  run(PropagationLimit_);
  CHECK(evacuatedNodes() == std::set<unsigned>{1});
}

// Guards against an evacuation that is known only to the readers that have
// died.
TEST_CASE_FIXTURE(SharedListFixture,
                  "evacuation reaches nodes whose readers die before its "
                  "spread") {
  std::set<unsigned> Readers = readers();
  evacuate({"odd"});
  for (unsigned Reader : Readers)
    setPaused(Reader, true);
  run(PropagationLimit_);
  for (unsigned Number = 1; Number <= Count_; Number += 2)
    if (!Readers.contains(Number))
      CHECK(evacuatedNodes().contains(Number));
}

// Guards against an outage of the source that ends an evacuation.
TEST_CASE_FIXTURE(SharedListFixture,
                  "evacuation stays while the source is away") {
  evacuate({"odd"});
  run(PropagationLimit_);
  for (unsigned Number = 1; Number <= Count_; ++Number)
    source().UnreachableNodes_.insert(Number);
  run(10s);
  CHECK(evacuatedNodes() == std::set<unsigned>{1, 3, 5, 7, 9, 11});
}

} // namespace marigold::node
