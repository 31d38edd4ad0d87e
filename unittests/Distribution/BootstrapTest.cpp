#include "Distribution/Bootstrap.h"
#include "Mesh/InMemoryMesh.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <set>

namespace marigold::distribution {

using namespace std::chrono_literals;

namespace {

struct BootstrapFixture {
  HostId peer(std::uint32_t Number) { return {Number, 7400}; }

  config::SnapshotPointer snapshot(std::uint64_t Revision) {
    return config::buildSnapshot(testing::makeModel(1, 1), {1, Revision});
  }

  void answer(std::uint32_t Number, const char *FailureDomain,
              std::uint64_t Revision) {
    NodeSummary Summary;
    if (Revision != 0)
      Summary.Version_ = {1, Revision};
    Boot_.onSummary(peer(Number), FailureDomain, Summary, Now_);
  }

  template <class Wanted>
  std::optional<Wanted> find(const BootstrapActions &From) {
    for (const BootstrapAction &Each : From)
      if (auto *Found = std::get_if<Wanted>(&Each))
        return *Found;
    return std::nullopt;
  }

  // Ticks until Wanted appears or Limit has passed.
  template <class Wanted> std::optional<Wanted> wait(Duration Limit) {
    for (TimePoint End = Now_ + Limit; Now_ <= End; Now_ += 50ms)
      if (auto Found = find<Wanted>(Boot_.tick(Now_)))
        return Found;
    return std::nullopt;
  }

  TimePoint Start_{1h};
  TimePoint Now_ = Start_;
  VersionStore Store_;
  Bootstrap Boot_{
      Store_, {peer(1), peer(2), peer(3), peer(4)}, {}, Random(1), Start_};
};

} // namespace

// Guards against a herd of starting nodes that all pull from one holder.
TEST_CASE_FIXTURE(BootstrapFixture,
                  "bootstrap pulls from any holder of the highest version") {
  std::set<HostId> Chosen;
  for (std::uint64_t Seed = 1; Seed <= 40; ++Seed) {
    Bootstrap Starting(Store_, {peer(1), peer(2), peer(3), peer(4)}, {},
                       Random(Seed), Start_);
    for (std::uint32_t Number = 1; Number <= 4; ++Number) {
      NodeSummary Summary;
      Summary.Version_ = {1, Number == 4 ? 6U : 7U};
      Starting.onSummary(peer(Number), Number < 3 ? "quito" : "ambato", Summary,
                         Now_);
    }
    auto Pull = find<PullVersion>(Starting.tick(Now_));
    REQUIRE(Pull);
    Chosen.insert(Pull->Peer_);
  }
  CHECK(Chosen == std::set<HostId>{peer(1), peer(2), peer(3)});
}

// Guards against questions that grow with the square of the fleet when all
// nodes start at once.
TEST_CASE_FIXTURE(BootstrapFixture,
                  "bootstrap that knows a large fleet asks few peers a round") {
  constexpr std::uint32_t Holder = 2500;
  for (std::uint32_t Number = 5; Number <= 3000; ++Number)
    Boot_.addPeer(peer(Number));
  answer(Holder, "quito", 9);
  for (int Round = 0; Round < 20; ++Round, Now_ += 250ms) {
    auto Actions = Boot_.tick(Now_);
    std::size_t Asked = 0;
    bool HolderAsked = false;
    for (const BootstrapAction &Each : Actions)
      if (const auto *Ask = std::get_if<ProbePeer>(&Each)) {
        ++Asked;
        HolderAsked |= Ask->Peer_ == peer(Holder);
      }
    CHECK(Asked <= 4 + BootstrapOptions().AskedBesidesSeeds_);
    CHECK((Asked == 0 || HolderAsked));
  }
}

TEST_CASE_FIXTURE(BootstrapFixture,
                  "bootstrap takes the highest version of three answers") {
  CHECK(Boot_.tick(Now_).size() == 4);
  answer(1, "quito", 5);
  answer(2, "quito", 7);
  CHECK_FALSE(find<PullVersion>(Boot_.tick(Now_)));
  answer(3, "ambato", 6);
  std::optional<PullVersion> Pull = find<PullVersion>(Boot_.tick(Now_));
  REQUIRE(Pull);
  CHECK(Pull->Peer_ == peer(2));
  REQUIRE(Store_.offer(snapshot(7), Now_));
  Boot_.onPulled(peer(2), true, Now_);
  std::optional<BootstrapDone> Done = find<BootstrapDone>(Boot_.tick(Now_));
  REQUIRE(Done);
  CHECK_FALSE(Done->SourceOnly_);
}

// Three answers from one failure domain may all be on the wrong side of a
// partition.
TEST_CASE_FIXTURE(BootstrapFixture,
                  "bootstrap waits for a second failure domain or the grace") {
  for (std::uint32_t Number : {1, 2, 3})
    answer(Number, "quito", 5);
  CHECK_FALSE(wait<PullVersion>(1900ms));
  CHECK(wait<PullVersion>(200ms));
}

// G1: a restarted node with a stale source must not start below its peers.
TEST_CASE_FIXTURE(BootstrapFixture,
                  "bootstrap never takes a lower version from the source") {
  answer(1, "quito", 9);
  Boot_.onSourceText(snapshot(4), Now_);
  for (int Round = 0; Round < 10; ++Round) {
    std::optional<PullVersion> Pull = wait<PullVersion>(3s);
    REQUIRE(Pull);
    answer(1, "quito", 9);
    Boot_.onPulled(Pull->Peer_, false, Now_);
    CHECK_FALSE(Store_.current());
  }
  // The peer is gone for good: now only the source is left.
  REQUIRE(wait<BootstrapDone>(10s));
  CHECK(Store_.version() == ConfigVersion{1, 4});
}

TEST_CASE_FIXTURE(BootstrapFixture,
                  "bootstrap takes a higher version from the source") {
  for (std::uint32_t Number : {1, 2, 3})
    answer(Number, Number == 1 ? "quito" : "ambato", 3);
  Boot_.onSourceText(snapshot(8), Now_);
  std::optional<PullVersion> Pull = wait<PullVersion>(1s);
  REQUIRE(Pull);
  REQUIRE(Store_.offer(snapshot(3), Now_));
  Boot_.onPulled(Pull->Peer_, true, Now_);
  std::optional<BootstrapDone> Done = wait<BootstrapDone>(1s);
  REQUIRE(Done);
  CHECK_FALSE(Done->SourceOnly_);
  CHECK(Store_.version() == ConfigVersion{1, 8});
}

// F1: reads of the source by a whole fleet that starts are spread evenly.
TEST_CASE("bootstrap without versions spreads reads over the window") {
  std::array<int, 10> Reads{};
  for (std::uint64_t Seed = 0; Seed < 500; ++Seed) {
    TimePoint Now{1h};
    VersionStore Store;
    Bootstrap Boot(Store, {}, {}, Random(Seed), Now);
    for (int Tick = 0; Tick < 200; ++Tick, Now += 50ms)
      for (const BootstrapAction &Action : Boot.tick(Now))
        if (std::holds_alternative<ReadSource>(Action))
          ++Reads[static_cast<std::size_t>(Tick) / 20];
  }
  for (int Count : Reads) {
    CHECK(Count >= 25);
    CHECK(Count <= 80);
  }
}

TEST_CASE_FIXTURE(BootstrapFixture,
                  "bootstrap stops reading as soon as a peer has a version") {
  for (std::uint32_t Number : {1, 2, 3, 4})
    answer(Number, "quito", 0);
  std::optional<ReadSource> Read = wait<ReadSource>(10s);
  REQUIRE(Read);
  Boot_.onSourceText(nullptr, Now_);
  answer(2, "quito", 3);
  CHECK_FALSE(wait<ReadSource>(3s));
}

TEST_CASE_FIXTURE(BootstrapFixture,
                  "bootstrap from the source alone is reported as such") {
  REQUIRE(wait<ReadSource>(11s));
  Boot_.onSourceText(snapshot(2), Now_);
  std::optional<BootstrapDone> Done = wait<BootstrapDone>(1s);
  REQUIRE(Done);
  CHECK(Done->SourceOnly_);
}

// F2 and F1: failed reads are repeated with a growing delay.
TEST_CASE_FIXTURE(BootstrapFixture, "bootstrap backs off while the source is "
                                    "down") {
  int Reads = 0;
  while (Now_ < Start_ + 300s) {
    if (!wait<ReadSource>(60s))
      break;
    ++Reads;
    Boot_.onSourceText(nullptr, Now_);
  }
  CHECK(Reads > 8);
  CHECK(Reads < 60);
}

} // namespace marigold::distribution
