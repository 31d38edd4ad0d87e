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
    Bootstrap_.onSummary(peer(Number), FailureDomain, Summary, Now_);
  }

  template <class Wanted>
  std::optional<Wanted> find(const BootstrapActions &From) {
    for (const BootstrapAction &Each : From)
      if (auto *Found = std::get_if<Wanted>(&Each))
        return *Found;
    return std::nullopt;
  }

  // Ticks every 50 ms until an action of type Wanted appears or Limit has
  // passed.
  template <class Wanted> std::optional<Wanted> wait(Duration Limit) {
    for (TimePoint End = Now_ + Limit; Now_ <= End; Now_ += 50ms)
      if (auto Found = find<Wanted>(Bootstrap_.tick(Now_)))
        return Found;
    return std::nullopt;
  }

  TimePoint Start_{1h};
  TimePoint Now_ = Start_;
  VersionStore Store_;
  Bootstrap Bootstrap_{
      Store_, {peer(1), peer(2), peer(3), peer(4)}, {}, Random(1), Start_};
};

} // namespace

// Guards against load on a single peer when all nodes that start at the same
// time pull from it.
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

// Guards against probe traffic quadratic in the size of the fleet when all
// nodes start at the same time.
TEST_CASE_FIXTURE(
    BootstrapFixture,
    "bootstrap that knows a large fleet probes few peers per round") {
  constexpr std::uint32_t Holder = 2500;
  for (std::uint32_t Number = 5; Number <= 3000; ++Number)
    Bootstrap_.addPeer(peer(Number));
  answer(Holder, "quito", 9);
  for (int Round = 0; Round < 20; ++Round, Now_ += 250ms) {
    auto Actions = Bootstrap_.tick(Now_);
    std::size_t Probed = 0;
    bool HolderProbed = false;
    for (const BootstrapAction &Each : Actions)
      if (const auto *Probe = std::get_if<ProbePeer>(&Each)) {
        ++Probed;
        HolderProbed |= Probe->Peer_ == peer(Holder);
      }
    CHECK(Probed <= 4 + BootstrapOptions().ExtraPeersPerRound_);
    CHECK((Probed == 0 || HolderProbed));
  }
}

TEST_CASE_FIXTURE(BootstrapFixture,
                  "bootstrap takes the highest version of three answers") {
  CHECK(Bootstrap_.tick(Now_).size() == 4);
  answer(1, "quito", 5);
  answer(2, "quito", 7);
  CHECK_FALSE(find<PullVersion>(Bootstrap_.tick(Now_)));
  answer(3, "ambato", 6);
  std::optional<PullVersion> Pull = find<PullVersion>(Bootstrap_.tick(Now_));
  REQUIRE(Pull);
  CHECK(Pull->Peer_ == peer(2));
  REQUIRE(Store_.offer(snapshot(7), Now_));
  Bootstrap_.onPulled(peer(2), true, Now_);
  std::optional<BootstrapDone> Done =
      find<BootstrapDone>(Bootstrap_.tick(Now_));
  REQUIRE(Done);
  CHECK_FALSE(Done->SourceOnly_);
}

// Guards against a start with an outdated version: three answers from one
// failure domain may all come from the wrong side of a partition.
TEST_CASE_FIXTURE(
    BootstrapFixture,
    "bootstrap waits for a second failure domain or the grace period") {
  for (std::uint32_t Number : {1, 2, 3})
    answer(Number, "quito", 5);
  CHECK_FALSE(wait<PullVersion>(1900ms));
  CHECK(wait<PullVersion>(200ms));
}

// Guards against a restarted node that adopts a version below that of its peers
// because the source is stale.
TEST_CASE_FIXTURE(BootstrapFixture,
                  "bootstrap never takes a lower version from the source") {
  answer(1, "quito", 9);
  Bootstrap_.onSourceText(snapshot(4), Now_);
  for (int Round = 0; Round < 10; ++Round) {
    std::optional<PullVersion> Pull = wait<PullVersion>(3s);
    REQUIRE(Pull);
    answer(1, "quito", 9);
    Bootstrap_.onPulled(Pull->Peer_, false, Now_);
    CHECK_FALSE(Store_.current());
  }
  // The peer no longer answers, so only the source is left.
  REQUIRE(wait<BootstrapDone>(10s));
  CHECK(Store_.version() == ConfigVersion{1, 4});
}

TEST_CASE_FIXTURE(BootstrapFixture,
                  "bootstrap takes a higher version from the source") {
  for (std::uint32_t Number : {1, 2, 3})
    answer(Number, Number == 1 ? "quito" : "ambato", 3);
  Bootstrap_.onSourceText(snapshot(8), Now_);
  std::optional<PullVersion> Pull = wait<PullVersion>(1s);
  REQUIRE(Pull);
  REQUIRE(Store_.offer(snapshot(3), Now_));
  Bootstrap_.onPulled(Pull->Peer_, true, Now_);
  std::optional<BootstrapDone> Done = wait<BootstrapDone>(1s);
  REQUIRE(Done);
  CHECK_FALSE(Done->SourceOnly_);
  CHECK(Store_.version() == ConfigVersion{1, 8});
}

// Guards against a burst of reads when a whole fleet starts: the source must
// see them spread evenly over the window.
TEST_CASE("bootstrap without versions spreads reads over the window") {
  std::array<int, 10> Reads{};
  for (std::uint64_t Seed = 0; Seed < 500; ++Seed) {
    TimePoint Now{1h};
    VersionStore Store;
    Bootstrap Starting(Store, {}, {}, Random(Seed), Now);
    for (int Tick = 0; Tick < 200; ++Tick, Now += 50ms)
      for (const BootstrapAction &Action : Starting.tick(Now))
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
  Bootstrap_.onSourceText(nullptr, Now_);
  answer(2, "quito", 3);
  CHECK_FALSE(wait<ReadSource>(3s));
}

TEST_CASE_FIXTURE(BootstrapFixture,
                  "bootstrap from the source alone is reported as such") {
  REQUIRE(wait<ReadSource>(11s));
  Bootstrap_.onSourceText(snapshot(2), Now_);
  std::optional<BootstrapDone> Done = wait<BootstrapDone>(1s);
  REQUIRE(Done);
  CHECK(Done->SourceOnly_);
}

// Guards against overload of a source that is down or recovering: failed reads
// must be repeated with a growing delay.
TEST_CASE_FIXTURE(BootstrapFixture, "bootstrap backs off while the source is "
                                    "down") {
  int Reads = 0;
  while (Now_ < Start_ + 300s) {
    if (!wait<ReadSource>(60s))
      break;
    ++Reads;
    Bootstrap_.onSourceText(nullptr, Now_);
  }
  CHECK(Reads > 8);
  CHECK(Reads < 60);
}

} // namespace marigold::distribution
