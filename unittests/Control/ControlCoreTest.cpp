#include "ControlHarness.h"

#include "Support/Archive.h"

#include <doctest/doctest.h>

#include <cstdlib>

namespace marigold::node {
namespace {

std::uint64_t testSeed() {
  const char *Text = std::getenv("MARIGOLD_TEST_SEED");
  return Text ? std::strtoull(Text, nullptr, 10) : 1;
}

/// Six nodes in three failure domains, all with configuration revision 10.
struct ControlFixture : ControlHarness {
  ControlFixture() : ControlHarness(testSeed()) {
    INFO("MARIGOLD_TEST_SEED=" << testSeed());
    publish(10, textWithSlots(10));
    for (unsigned Number = 1; Number <= 6; ++Number)
      add(Number, "domain-" + std::to_string(Number % 3));
    run(std::chrono::seconds(25));
    REQUIRE(allHaveRevision(10));
  }

  void publish(std::uint64_t Index, std::string Text) {
    source().Index_ = Index;
    source().Text_ = std::move(Text);
  }
};

/// Time within which a published text must reach every node.
constexpr Duration PropagationLimit = std::chrono::seconds(3);

} // namespace

TEST_CASE_FIXTURE(ControlFixture,
                  "control of a new text reaches every node within 3 s") {
  publish(11, textWithSlots(11));
  run(PropagationLimit);
  CHECK(allHaveRevision(11));
}

// Guards against a number of source reads that grows with the number of nodes.
TEST_CASE_FIXTURE(ControlFixture,
                  "control of a new text needs few fetches of the text") {
  source().TextFetches_ = 0;
  publish(11, textWithSlots(11));
  run(PropagationLimit);
  CHECK(source().TextFetches_ <= 3);
}

// Guards against a node that adopts an invalid text, and against one that
// reports another reason or refuses the next valid text.
TEST_CASE_FIXTURE(ControlFixture,
                  "control of a bad text is refused by all with one reason") {
  publish(11, "epoch: 1\nmesh: test\nservices:\n  desk:\n    slot: 3\n");
  run(std::chrono::seconds(5));
  CHECK(allHaveRevision(10));
  for (unsigned Number = 1; Number <= 6; ++Number) {
    auto Refused = node(Number).Core_->versions().lastRefusal();
    REQUIRE(Refused);
    CHECK(Refused->Version_.Revision_ == 11);
    CHECK(Refused->Code_ == static_cast<std::uint16_t>(ErrorCode::UnknownKey));
  }
  publish(12, textWithSlots(12));
  run(PropagationLimit);
  CHECK(allHaveRevision(12));
}

// Guards against a restarted node that adopts an older version from a stale
// source although its peers hold a newer one.
TEST_CASE_FIXTURE(ControlFixture,
                  "control of a restarted node ignores a stale source") {
  publish(11, textWithSlots(11));
  run(PropagationLimit);
  publish(10, textWithSlots(10));
  restart(4);
  run(std::chrono::seconds(15));
  CHECK(node(4).Core_->versions().version() == ConfigVersion{1, 11});
  REQUIRE(node(4).Adopted_.size() == 1);
  CHECK_FALSE(node(4).Core_->startedFromSourceOnly());
  CHECK(allHaveRevision(11));
}

// Guards against a rollback when the source loses its history and restarts at a
// lower index. Nodes may adopt such a text only if its epoch is higher.
TEST_CASE_FIXTURE(ControlFixture,
                  "control of a source without its history needs a higher "
                  "epoch") {
  publish(2, textWithSlots(20));
  run(std::chrono::seconds(20));
  CHECK(allHaveRevision(10));
  publish(3, textWithSlots(21, 2));
  run(std::chrono::seconds(20));
  for (unsigned Number = 1; Number <= 6; ++Number)
    CHECK(node(Number).Core_->versions().version() == ConfigVersion{2, 3});
}

// Guards against dropping the configuration when the source is unreachable, and
// against missing a text that is published after the outage.
TEST_CASE_FIXTURE(ControlFixture,
                  "control during a source outage keeps the last version") {
  source().Down_ = true;
  run(std::chrono::seconds(60));
  CHECK(allHaveRevision(10));
  CHECK(node(1).Core_->sourceAge(now()) > std::chrono::seconds(50));
  source().Down_ = false;
  publish(11, textWithSlots(11));
  run(std::chrono::seconds(45));
  CHECK(allHaveRevision(11));
}

// Guards against nodes that keep an old version or treat each other as dead
// after a network partition has healed.
TEST_CASE_FIXTURE(ControlFixture,
                  "control after a partition ends in the highest version") {
  partition({1, 4});
  run(std::chrono::seconds(30));
  publish(11, textWithSlots(11));
  run(std::chrono::seconds(30));
  partition({});
  run(std::chrono::seconds(30));
  CHECK(allHaveRevision(11));
  CHECK(node(1).Core_->hosts().liveCount() == 6);
}

// Guards against routing calls by an outdated host table after a pause of the
// process. The table may be used again once a peer has answered.
TEST_CASE_FIXTURE(ControlFixture,
                  "control after a pause distrusts its view until an answer") {
  setPaused(5, true);
  publish(11, textWithSlots(11));
  run(std::chrono::seconds(10));
  CHECK(node(5).Core_->versions().version().Revision_ == 10);
  setPaused(5, false);
  ControlEffects Out;
  node(5).Core_->tick(now(), Out);
  CHECK(Out.Pauses_.size() == 1);
  CHECK_FALSE(node(5).Core_->isTrusted(now()));
  run(std::chrono::seconds(3));
  CHECK(node(5).Core_->isTrusted(now()));
  CHECK(allHaveRevision(11));
}

// Guards against missed updates when all readers of the source fail at the same
// time and another node has to take over.
TEST_CASE_FIXTURE(ControlFixture,
                  "control without its readers still learns a new text") {
  for (unsigned Number : {1U, 2U, 3U})
    setPaused(Number, true);
  run(std::chrono::seconds(20));
  publish(11, textWithSlots(11));
  run(std::chrono::seconds(30));
  CHECK(allHaveRevision(11));
}

// Guards against nodes that wait for each other when all restart at the same
// time and none of them holds a version.
TEST_CASE_FIXTURE(ControlFixture,
                  "control after a restart of all nodes converges again") {
  publish(11, textWithSlots(11));
  run(PropagationLimit);
  source().Calls_ = 0;
  for (unsigned Number = 1; Number <= 6; ++Number)
    restart(Number);
  run(std::chrono::seconds(25));
  CHECK(allHaveRevision(11));
}

// Guards against partial state changes by truncated and malformed datagrams.
TEST_CASE_FIXTURE(ControlFixture, "control of a malformed datagram changes "
                                  "nothing") {
  ControlEffects Out;
  std::string Whole = encodeMessage(Advert{
      idOf(2), NodeSummary{{1, 99}, 1, std::chrono::milliseconds(0), 0, {}}});
  auto Generation = node(1).Core_->hostsGeneration();
  for (std::size_t Size = 0; Size < Whole.size(); ++Size)
    CHECK_FALSE(node(1).Core_->onDatagram(
        std::string_view(Whole).substr(0, Size), now(), Out));
  CHECK_FALSE(node(1).Core_->onDatagram("\xff", now(), Out));
  CHECK(Out.Syncs_.empty());
  CHECK(Out.Datagrams_.empty());
  CHECK(node(1).Core_->hostsGeneration() == Generation);
}

} // namespace marigold::node
