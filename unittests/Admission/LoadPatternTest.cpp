#include "LoadSimulation.h"

#include "../TestSeed.h"

namespace marigold::admission {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A target with 9 slots. Lookups take 160 ms and have an objective of 500 ms;
/// 9 slots serve 56 of them per second.
struct LoadPatternFixture {
  AdmissionSettings Settings_{.Slots_ = 9, .Queue_ = 18, .Adaptive_ = false};
  LoadKind Lookup_{0, milliseconds(160), milliseconds(500), milliseconds(1500),
                   Priority::Background};
  LoadKind Booking_{0, milliseconds(210), milliseconds(600), milliseconds(2000),
                    Priority::Normal};
  LoadKind Check_{0, milliseconds(40), milliseconds(150), milliseconds(500),
                  Priority::Normal};

  std::vector<LoadResult> simulate(const std::vector<LoadKind> &Kinds) {
    return LoadSimulation(Settings_, testSeed(11)).run(Kinds, seconds(60));
  }
};

} // namespace

TEST_CASE_FIXTURE(LoadPatternFixture,
                  "load below the slots is served in time") {
  Lookup_.Rate_ = 40;
  LoadResult Lookups = simulate({Lookup_})[0];
  CHECK(Lookups.Timely_ >= Lookups.Offered_ * 98 / 100);
}

// Guards against a queue so long that every answer is late. At twice its
// capacity the target must still serve about its capacity, nearly all of it
// within the objective, and refuse the rest early.
TEST_CASE_FIXTURE(LoadPatternFixture,
                  "lasting overload is refused early and the rest is in time") {
  Lookup_.Rate_ = 112;
  LoadResult Lookups = simulate({Lookup_})[0];
  CHECK(Lookups.Timely_ >= Lookups.Offered_ * 42 / 100);
  CHECK(Lookups.Late_ <= Lookups.Timely_ / 10);
  CHECK(Lookups.LongestWaitToRefusal_ <= Lookup_.Objective_);
}

// Guards against running requests of callers that return, whose objective has
// passed, in place of requests that could be answered in time. Returning
// callers must not change how many answers are in time under a lasting
// overload.
TEST_CASE_FIXTURE(LoadPatternFixture,
                  "callers that return leave new requests in time") {
  for (double Rate : {84.0, 112.0, 168.0}) {
    CAPTURE(Rate);
    Lookup_.Rate_ = Rate;
    Lookup_.Returns_ = false;
    LoadResult Alone = simulate({Lookup_})[0];
    Lookup_.Returns_ = true;
    LoadResult Lookups = simulate({Lookup_})[0];
    CHECK(Lookups.Timely_ >= Alone.Timely_ * 95 / 100);
    CHECK(Lookups.Late_ <= Lookups.Timely_ / 10);
  }
}

// Guards against refusing callers that return after a burst, when slots are
// free again: a late answer is better than none then.
TEST_CASE_FIXTURE(LoadPatternFixture,
                  "callers that return after a burst are served late") {
  Lookup_.Returns_ = true;
  Lookup_.Rate_ = 40;
  LoadSimulation Simulation(Settings_, testSeed(11));
  Simulation.Slowdown_ = [](Duration Since) {
    return Since > seconds(20) && Since < seconds(21) ? 4.0 : 1.0;
  };
  LoadResult Lookups = Simulation.run({Lookup_}, seconds(60))[0];
  CHECK(Lookups.Refused_ <= Lookups.Offered_ * 2 / 100);
}

// Guards against short calls that wait behind long requests. They are made by
// requests that already run, whose work is wasted if such a call is refused.
TEST_CASE_FIXTURE(LoadPatternFixture,
                  "short calls pass long requests of the same priority") {
  // Together they use 84 % of the slots.
  Booking_.Rate_ = 15;
  Check_.Rate_ = 110;
  auto Results = simulate({Booking_, Check_});
  CHECK(Results[1].Refused_ <= Results[1].Offered_ * 3 / 100);
  CHECK(Results[1].Timely_ >= Results[1].Offered_ * 95 / 100);
}

// Guards against short calls that are refused because long requests fill the
// queue or because their run time is estimated from that of long requests.
// Bookings alone demand 1.7 times the slots.
TEST_CASE_FIXTURE(LoadPatternFixture,
                  "overload of long requests leaves short calls in time") {
  Booking_.Rate_ = 70;
  Check_.Rate_ = 60;
  auto Results = simulate({Booking_, Check_});
  CHECK(Results[1].Timely_ >= Results[1].Offered_ * 95 / 100);
  // Bookings of 210 ms that fit in 60 s into the slots left over by checks,
  // 9 - 60 * 0.04 = 6.6.
  int Rest = 60 * 66 * 10 / 21;
  CHECK(Results[0].Timely_ + Results[0].Late_ >= Rest * 85 / 100);
}

// Guards against requests of a higher priority that are served worse than those
// of a lower one at the same target.
TEST_CASE_FIXTURE(LoadPatternFixture,
                  "overload of lookups leaves bookings in time") {
  Booking_.Rate_ = 12;
  Lookup_.Rate_ = 100;
  auto Results = simulate({Booking_, Lookup_});
  CHECK(Results[0].Timely_ >= Results[0].Offered_ * 95 / 100);
}

// Guards against a target that stays idle, or whose queue fills with requests
// that are refused later, while its runs take five times as long.
TEST_CASE_FIXTURE(LoadPatternFixture, "slow target keeps its slots in use") {
  Lookup_.Rate_ = 40;
  LoadSimulation Simulation(Settings_, testSeed(11));
  Simulation.Slowdown_ = [](Duration Since) {
    return Since > seconds(20) && Since < seconds(40) ? 5.0 : 1.0;
  };
  LoadResult Lookups = Simulation.run({Lookup_}, seconds(60))[0];
  int Served = Lookups.Timely_ + Lookups.Late_;
  // 40 s at 40 per second, and 20 s at the 11 per second that the slow target
  // can serve.
  CHECK(Served >= (40 * 40 + 20 * 11) * 85 / 100);
  CHECK(Lookups.LongestWaitToRefusal_ <= Lookup_.Limit_);
}

} // namespace marigold::admission
