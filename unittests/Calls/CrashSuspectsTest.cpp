#include "Calls/CrashSuspects.h"

#include "../TestSeed.h"

#include <algorithm>
#include <vector>

namespace marigold::calls {
namespace {

using std::chrono::seconds;

struct CrashSuspectsFixture {
  CrashSuspectsSettings Settings_;
  CrashSuspects Table_{Settings_};
  TimePoint Now_{seconds(1000)};

  bool crash(std::uint64_t Id, std::vector<std::uint64_t> Suspects) {
    return Table_.onCrash(Id, Suspects, Now_);
  }
};

} // namespace

TEST_CASE_FIXTURE(CrashSuspectsFixture, "two crashes hold a request back") {
  CHECK(crash(1, {10, 10, 11}));
  CHECK(Table_.admit(10, Now_));
  CHECK(crash(2, {10}));
  CHECK_FALSE(Table_.admit(10, Now_));
  CHECK(Table_.admit(11, Now_));
  CHECK(Table_.isHeldBack(10, Now_ + Settings_.HoldTime_ - seconds(1)));
  CHECK_FALSE(Table_.isHeldBack(10, Now_ + Settings_.HoldTime_));
}

// Guards against a crash that is counted repeatedly because several notices of
// it arrive.
TEST_CASE_FIXTURE(CrashSuspectsFixture, "repeated notice counts once") {
  CHECK(crash(1, {10}));
  CHECK_FALSE(crash(1, {10}));
  CHECK_FALSE(Table_.isHeldBack(10, Now_));
}

// Guards against holding back a harmless request that was in progress together
// with the one that crashes targets.
TEST_CASE_FIXTURE(CrashSuspectsFixture, "one completion clears a request") {
  crash(1, {10, 11});
  Table_.onCompleted(10);
  crash(2, {10, 11});
  CHECK_FALSE(Table_.isHeldBack(10, Now_));
  CHECK(Table_.isHeldBack(11, Now_));
  Table_.onCompleted(11);
  CHECK_FALSE(Table_.isHeldBack(11, Now_));
}

// Guards against a node that passes on a request which the other nodes of its
// service hold back, because it has started after the crashes, and against one
// that then holds back harmless requests. Plays random crashes and completions
// at one node and informs another one, which has heard of some crashes itself.
TEST_CASE_FIXTURE(CrashSuspectsFixture,
                  "informed node holds the same requests back") {
  forEachSeed(500, [&](Random &Rng) {
    CrashSuspects Known(Settings_);
    CrashSuspects Started(Settings_);
    // The same without being informed.
    CrashSuspects Alone(Settings_);
    constexpr std::uint64_t Requests = 12;
    for (std::uint64_t Crash = 1; Crash <= 12; ++Crash) {
      std::vector<std::uint64_t> Running;
      for (std::uint64_t Request = 0; Request < Requests; ++Request)
        if (Rng.chance(0.3))
          Running.push_back(Request);
      Known.onCrash(Crash, Running, Now_);
      if (Crash > 10 && Rng.chance(0.5)) {
        Started.onCrash(Crash, Running, Now_);
        Alone.onCrash(Crash, Running, Now_);
      }
      for (std::uint64_t Request = 0; Request < Requests; ++Request)
        if (Rng.chance(0.2))
          Known.onCompleted(Request);
      Now_ += Rng.upTo(seconds(10));
    }
    for (const CrashRecord &Crash : Known.heldBack(Now_))
      Started.onCrash(Crash.Id_, Crash.Fingerprints_, Now_);
    for (std::uint64_t Request = 0; Request < Requests; ++Request)
      if (Known.isHeldBack(Request, Now_))
        CHECK(Started.isHeldBack(Request, Now_));
      else
        CHECK(Started.isHeldBack(Request, Now_) ==
              Alone.isHeldBack(Request, Now_));
  });
}

// Guards against notices without end about very many requests.
TEST_CASE_FIXTURE(CrashSuspectsFixture, "held back requests are limited") {
  std::vector<std::uint64_t> Running;
  for (std::uint64_t Request = 0; Request < 1000; ++Request)
    Running.push_back(Request);
  crash(1, Running);
  CHECK(Table_.heldBack(Now_).empty());
  crash(2, Running);
  auto Crashes = Table_.heldBack(Now_);
  REQUIRE(Crashes.size() == 2);
  CHECK(Crashes[0].Fingerprints_.size() == 64);
  CHECK(Table_.heldBack(Now_ + Settings_.HoldTime_).empty());
}

// Guards against several concurrent runs of a request that crashes targets, and
// against a request that is held back forever.
TEST_CASE_FIXTURE(CrashSuspectsFixture, "one trial runs after the hold") {
  crash(1, {10});
  crash(2, {10});
  Now_ += Settings_.HoldTime_;
  CHECK(Table_.admit(10, Now_));
  CHECK_FALSE(Table_.admit(10, Now_));
  Table_.onNotRun(10);
  CHECK(Table_.admit(10, Now_));
  SUBCASE("a crash of the trial holds it again") {
    crash(3, {10});
    CHECK(Table_.isHeldBack(10, Now_ + Settings_.HoldTime_ - seconds(1)));
  }
  SUBCASE("a lost trial does not hold the request for ever") {
    CHECK(Table_.admit(10, Now_ + Settings_.HoldTime_));
  }
  SUBCASE("a completed trial clears it") {
    Table_.onCompleted(10);
    CHECK(Table_.admit(10, Now_));
    CHECK(Table_.admit(10, Now_));
  }
}

TEST_CASE_FIXTURE(CrashSuspectsFixture, "suspects are forgotten") {
  crash(1, {10});
  Now_ += Settings_.Retention_;
  crash(2, {10});
  CHECK_FALSE(Table_.isHeldBack(10, Now_));
}

// Guards against a table that grows without bound and against harmless requests
// that are held back.
TEST_CASE("crash suspects stay bounded and innocent ones free") {
  forEachSeed(20, [](Random &Rng) {
    CrashSuspectsSettings Settings;
    Settings.MaxFingerprints_ = 64;
    Settings.MaxCrashIds_ = 16;
    CrashSuspects Table(Settings);
    TimePoint Now{seconds(1000)};
    // Fingerprint 0 crashes every target. The others complete before each crash
    // and must therefore never be held back.
    for (std::uint64_t Crash = 0; Crash < 500; ++Crash) {
      Now += Rng.upTo(seconds(20));
      std::vector<std::uint64_t> Suspects{0};
      for (int Index = 0; Index < 20; ++Index) {
        Suspects.push_back(1 + Rng.below(200));
        Table.onCompleted(Suspects.back());
      }
      Table.onCrash(Crash, Suspects, Now);
      REQUIRE(Table.size() <= Settings.MaxFingerprints_);
      REQUIRE((Crash == 0 || Table.isHeldBack(0, Now)));
      for (std::uint64_t Other = 1; Other <= 200; ++Other) {
        bool Fresh = Table.isHeldBack(Other, Now);
        bool RanNow = std::find(Suspects.begin(), Suspects.end(), Other) !=
                      Suspects.end();
        REQUIRE((!RanNow || !Fresh));
      }
    }
  });
}

} // namespace marigold::calls
