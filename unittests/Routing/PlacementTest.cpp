#include "Hosts.h"
#include "PlacementReplay.h"

#include "Routing/OfferPlan.h"

#include "../TestSeed.h"

#include <array>
#include <map>

namespace marigold::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct PlacementFixture {
  TimePoint Now_{seconds(1000)};

  static Pool makePool(Placement Value, std::uint32_t Count = 4) {
    PoolSettings Settings;
    Settings.Own_ = makeLocation();
    Settings.Placement_ = Value;
    Pool Made(Settings, std::move(makeStrategy("two-choices").value()));
    std::vector<HostRecord> Hosts;
    for (std::uint32_t Number = 0; Number < Count; ++Number)
      Hosts.push_back(makeHost(Number, "a"));
    Made.setHosts(Hosts, TimePoint(seconds(1000)));
    return Made;
  }
  void answer(Pool &Hosts, std::uint32_t Host, Duration Time, Duration Wait,
              std::uint32_t Slowdown, std::uint32_t Kind = 1) const {
    LoadReport Load{1, 0, 10};
    Load.ExpectedWait_ =
        std::chrono::duration_cast<std::chrono::microseconds>(Wait);
    Load.Slowdown_ = Slowdown;
    Hosts.startCall({Host, 7400}, Now_);
    Hosts.onResult({Host, 7400}, {std::nullopt, false, Time, Load, Kind, Time},
                   Now_);
  }
  /// Makes choices without ends in between; returns the calls of each host.
  std::map<std::uint32_t, unsigned> choose(Pool &Hosts, int Calls,
                                           std::uint64_t Seed = 1) const {
    Random Rng(Seed);
    std::map<std::uint32_t, unsigned> Counts;
    for (int Call = 0; Call < Calls; ++Call) {
      HostId Id = Hosts.choose({{}, 1}, Now_, Rng).value();
      ++Counts[Id.Ipv4_];
      Hosts.onResult(Id, {ErrorCode::Cancelled, false, {}, {}}, Now_);
    }
    return Counts;
  }
};

} // namespace

TEST_CASE_FIXTURE(PlacementFixture, "no slowdown reported, present costs") {
  Pool Reported = makePool(Placement::Reported);
  Pool Off = makePool(Placement::Off);
  Random Times(testSeed(1));
  for (int Round = 0; Round < 200; ++Round) {
    Duration Time = milliseconds(5 + Times.below(300));
    Duration Wait = milliseconds(Times.below(500));
    auto Host = static_cast<std::uint32_t>(Times.below(4));
    Now_ += milliseconds(Times.below(50));
    for (Pool *Hosts : {&Reported, &Off})
      answer(*Hosts, Host, Time, Wait, 0);
    std::uint64_t Seed = Times.next();
    REQUIRE(choose(Reported, 3, Seed) == choose(Off, 3, Seed));
  }
  CHECK(Reported.offerBound({}, seconds(1), Now_) == Duration::zero());
}

TEST_CASE_FIXTURE(PlacementFixture, "reported wait, host is avoided") {
  Pool Hosts = makePool(Placement::Reported, 2);
  answer(Hosts, 0, milliseconds(100), milliseconds(400), 100);
  answer(Hosts, 1, milliseconds(100), {}, 100);
  CHECK(choose(Hosts, 5).count(0) == 0);
}

TEST_CASE_FIXTURE(PlacementFixture, "stale wait, host is tried again") {
  Pool Hosts = makePool(Placement::Reported, 2);
  answer(Hosts, 0, milliseconds(100), milliseconds(400), 100);
  answer(Hosts, 1, milliseconds(100), {}, 100);
  Now_ += seconds(10);
  CHECK(choose(Hosts, 200)[0] > 50);
}

TEST_CASE_FIXTURE(PlacementFixture, "slow moment of a host, it is avoided") {
  Pool Hosts = makePool(Placement::Reported, 2);
  answer(Hosts, 0, milliseconds(100), {}, 300);
  answer(Hosts, 1, milliseconds(100), {}, 100);
  CHECK(choose(Hosts, 5).count(0) == 0);
}

// Guards against a herd: work sent since the report counts.
TEST_CASE_FIXTURE(PlacementFixture, "equal reports, sent work spreads calls") {
  Pool Hosts = makePool(Placement::Reported, 4);
  for (std::uint32_t Host = 0; Host < 4; ++Host)
    answer(Hosts, Host, milliseconds(100), milliseconds(Host), 100);
  auto Counts = choose(Hosts, 40);
  for (std::uint32_t Host = 0; Host < 4; ++Host)
    CHECK(Counts[Host] >= 5);
}

TEST_CASE_FIXTURE(PlacementFixture,
                  "declined offer is no failure of the host") {
  Pool Hosts = makePool(Placement::Reported, 2);
  for (std::uint32_t Host : {0, 1})
    answer(Hosts, Host, milliseconds(100), {}, 100);
  LoadReport Load{10, 0, 10};
  Load.Slowdown_ = 100;
  for (int Call = 0; Call < 50; ++Call)
    Hosts.onResult({0, 7400}, {ErrorCode::TargetBusy, false, {}, Load}, Now_);
  for (const HostView &View : Hosts.view(Now_))
    CHECK_FALSE(View.Ejected_);
  Now_ += seconds(2);
  CHECK(choose(Hosts, 100)[0] > 20);
}

TEST_CASE_FIXTURE(PlacementFixture, "offer is bounded while a host is left") {
  Pool Hosts = makePool(Placement::Reported, 2);
  answer(Hosts, 0, milliseconds(100), {}, 100);
  HostId Both[]{{0, 7400}, {1, 7400}};
  CHECK(Hosts.offerBound(std::span(Both, 1), seconds(1), Now_) >
        Duration::zero());
  CHECK(Hosts.offerBound(Both, seconds(1), Now_) == Duration::zero());
}

TEST_CASE("two hosts decline, the better one gets the request unbounded") {
  OfferPlan Plan;
  CHECK(Plan.bound(milliseconds(50), 100) == milliseconds(50));
  Plan.onDeclined({1, 7400}, milliseconds(80));
  CHECK_FALSE(Plan.best());
  CHECK(Plan.bound(milliseconds(50), 100) == milliseconds(80));
  Plan.onDeclined({2, 7400}, milliseconds(90));
  CHECK(Plan.best() == HostId{1, 7400});
  CHECK(Plan.bound(milliseconds(50), 100) == Duration::zero());
}

TEST_CASE("large body, it is offered once") {
  OfferPlan Plan;
  std::size_t Large = OfferPlan::LargeBody_ + 1;
  CHECK(Plan.bound(milliseconds(50), Large) == milliseconds(50));
  Plan.onDeclined({1, 7400}, milliseconds(80));
  CHECK(Plan.bound(milliseconds(50), Large) == Duration::zero());
  CHECK_FALSE(Plan.best());
}

TEST_CASE("uneven hosts, placement by time and offers cut late answers") {
  std::array<ReplayMode, 3> Modes{
      {{false, false}, {true, false}, {true, true}}};
  std::array<ReplayResult, 3> Sums;
  for (std::uint64_t Seed = 1; Seed <= 8; ++Seed)
    for (std::size_t Mode = 0; Mode < Modes.size(); ++Mode) {
      ReplayResult One = replayPlacement(Modes[Mode], Seed);
      Sums[Mode].BusiestToMean_ += One.BusiestToMean_ / 8;
      Sums[Mode].P99_ += One.P99_ / 8;
      Sums[Mode].Mean_ += One.Mean_ / 8;
      Sums[Mode].ShareLate_ += One.ShareLate_ / 8;
      Sums[Mode].Declined_ += One.Declined_;
    }
  for (const ReplayResult &Each : Sums)
    MESSAGE("busiest/mean "
            << Each.BusiestToMean_ << ", mean " << Each.Mean_ / milliseconds(1)
            << " ms, p99 " << Each.P99_ / milliseconds(1) << " ms, late "
            << Each.ShareLate_ << ", declined " << Each.Declined_);
  const auto &[Present, ByTime, Offers] = Sums;
  CHECK(ByTime.ShareLate_ < Present.ShareLate_);
  CHECK(ByTime.P99_ < Present.P99_);
  CHECK(ByTime.Mean_ < Present.Mean_);
  // Offers shorten the wait; the tail consists of long runs on slow hosts,
  // which they do not move.
  CHECK(Offers.Mean_ < ByTime.Mean_);
  CHECK(Offers.BusiestToMean_ < ByTime.BusiestToMean_);
  CHECK(Offers.ShareLate_ < Present.ShareLate_);
  CHECK(Offers.P99_ < Present.P99_);
  CHECK(Offers.Declined_ > 0);
}

} // namespace marigold::routing
