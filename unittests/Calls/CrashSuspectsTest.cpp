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
