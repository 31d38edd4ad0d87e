#include "Hosts.h"

#include "../TestSeed.h"

#include <algorithm>
#include <map>
#include <unordered_map>

namespace marigold::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Code = ErrorCode;

PoolSettings settings() {
  PoolSettings Result;
  Result.Own_ = makeLocation();
  Result.Subset_ = 4;
  return Result;
}

struct PoolFixture {
  TimePoint Now_{seconds(1000)};
  Random Rng_{1};
  Pool Pool_{settings(), std::move(makeStrategy("two-choices").value())};
  std::vector<HostRecord> Hosts_;

  void fill(std::uint32_t Count) {
    for (std::uint32_t Number = 0; Number < Count; ++Number)
      Hosts_.push_back(makeHost(Number, "a"));
    Pool_.setHosts(Hosts_, Now_);
  }
  Result<HostId> choose(const std::vector<HostId> &Excluded = {}) {
    return Pool_.choose({Excluded}, Now_, Rng_);
  }
  /// Starts and ends calls; returns the number of calls of each host.
  std::map<std::uint32_t, unsigned> run(int Calls) {
    std::map<std::uint32_t, unsigned> Counts;
    for (int Call = 0; Call < Calls; ++Call) {
      HostId Id = choose().value();
      ++Counts[Id.Ipv4_];
      end(Id, std::nullopt);
    }
    return Counts;
  }
  void end(HostId Id, std::optional<Code> Error, bool ServerError = false) {
    Pool_.onResult(Id, {Error, ServerError, milliseconds(5), std::nullopt},
                   Now_);
  }
  void fail(HostId Id, int Times, Code Error = Code::NodeLost) {
    for (int Call = 0; Call < Times; ++Call)
      end(Id, Error);
  }
  std::size_t ejected() {
    auto Views = Pool_.view(Now_);
    return static_cast<std::size_t>(
        std::count_if(Views.begin(), Views.end(),
                      [](const HostView &View) { return View.Ejected_; }));
  }
  HostView view(std::uint32_t Number) {
    for (const HostView &View : Pool_.view(Now_))
      if (View.Id_.Ipv4_ == Number)
        return View;
    FAIL("host not in the pool");
    return {};
  }
  void change(std::uint32_t Number, HostState State) {
    Hosts_[Number].State_ = State;
    ++Hosts_[Number].Sequence_;
    Pool_.updateHost(Hosts_[Number], Now_);
  }
};

} // namespace

TEST_CASE_FIXTURE(PoolFixture, "pool without hosts has no target") {
  CHECK(choose().error().Code_ == Code::NoTarget);
}

TEST_CASE_FIXTURE(PoolFixture, "pool uses its subset, then other hosts") {
  fill(10);
  CHECK(run(1000).size() == 4);
  CHECK(Pool_.members().size() == 4);
  std::vector<HostId> Excluded = Pool_.members();
  HostId Other = choose(Excluded).value();
  CHECK(std::find(Excluded.begin(), Excluded.end(), Other) == Excluded.end());
}

TEST_CASE_FIXTURE(PoolFixture, "pool never takes a host that cannot run") {
  fill(6);
  HostState Unusable[]{HostState::Starting, HostState::Draining,
                       HostState::Dead, HostState::Gone, HostState::Suspect};
  for (std::uint32_t Number = 0; Number < 5; ++Number)
    change(Number, Unusable[Number]);
  CHECK(run(100).size() == 1);
  change(5, HostState::Dead);
  // Only the suspect host remains.
  CHECK(choose().value().Ipv4_ == 4);
  CHECK_FALSE(Pool_.hasUsableHost(Now_));
  change(4, HostState::Gone);
  CHECK(choose().error().Code_ == Code::NoTarget);
}

TEST_CASE_FIXTURE(PoolFixture, "pool ignores an older record") {
  fill(1);
  change(0, HostState::Draining);
  HostRecord Old = Hosts_[0];
  Old.Sequence_ = 0;
  Old.State_ = HostState::Ready;
  Pool_.updateHost(Old, Now_);
  CHECK_FALSE(choose());
}

// Guards against calls to a draining host until gossip delivers its new state,
// which arrives later than the refusal.
TEST_CASE_FIXTURE(PoolFixture, "draining refusal takes the host out at once") {
  fill(4);
  end({2, 7400}, Code::Draining);
  CHECK(run(200).count(2) == 0);
  CHECK_FALSE(choose({{0, 7400}, {1, 7400}, {3, 7400}}));
  Now_ += seconds(31);
  run(1);
  CHECK(run(200).count(2) == 1);
}

// Guards against a restarted host that stays ejected for the failures of its
// previous process, or that gets its full share of calls at once.
TEST_CASE_FIXTURE(PoolFixture, "restarted host starts slowly and clean") {
  fill(4);
  fail({1, 7400}, 5);
  CHECK(view(1).Ejected_);
  ++Hosts_[1].Incarnation_;
  Pool_.updateHost(Hosts_[1], Now_);
  CHECK_FALSE(view(1).Ejected_);
  unsigned Fresh = run(1000)[1];
  CHECK(Fresh > 0);
  CHECK(Fresh < 100);
  Now_ += seconds(10);
  CHECK(run(1000)[1] > 150);
}

TEST_CASE_FIXTURE(PoolFixture, "failures in a row eject, longer each time") {
  fill(4);
  Duration Previous{};
  for (int Round = 0; Round < 3; ++Round) {
    fail({1, 7400}, 4);
    CHECK(run(50).count(1) <= 1);
    fail({1, 7400}, 5);
    REQUIRE(view(1).Ejected_);
    CHECK(run(100).count(1) == 0);
    TimePoint Start = Now_;
    while (view(1).Ejected_)
      Now_ += milliseconds(50);
    CHECK(Now_ - Start > Previous);
    CHECK(Now_ - Start <= milliseconds(5050) * (1 << Round));
    Previous = Now_ - Start;
  }
}

TEST_CASE_FIXTURE(PoolFixture,
                  "connection failures never eject the last host") {
  fill(4);
  for (std::uint32_t Number = 0; Number < 4; ++Number)
    fail({Number, 7400}, 20);
  CHECK(ejected() == 3);
  CHECK(choose());
}

// Guards against a fault shared by all hosts, such as a failed dependency, that
// concentrates the load on a few of them.
TEST_CASE_FIXTURE(PoolFixture, "bad answers eject at most half of the hosts") {
  fill(4);
  for (int Call = 0; Call < 20; ++Call)
    for (std::uint32_t Number = 0; Number < 4; ++Number)
      end({Number, 7400}, std::nullopt, true);
  CHECK(ejected() == 2);
}

// Guards against overload that ejects hosts and thereby increases the load on
// the others.
TEST_CASE_FIXTURE(PoolFixture, "refusals under load eject no host") {
  fill(4);
  for (Code Refusal :
       {Code::QueueFull, Code::Shed, Code::HeldBack, Code::Cancelled,
        Code::DeadlineBeforeRun, Code::NodeMemory})
    fail({0, 7400}, 20, Refusal);
  CHECK(ejected() == 0);
}

// Guards against a host without memory that attracts calls, because it refuses
// them at once and so always looks idle.
TEST_CASE_FIXTURE(PoolFixture, "host that refuses for memory is spared") {
  fill(2);
  unsigned Refused = 0;
  for (int Call = 0; Call < 100; ++Call) {
    Now_ += milliseconds(5);
    HostId Id = choose().value();
    bool Full = Id.Ipv4_ == 1;
    Refused += Full ? 1 : 0;
    LoadReport Report{Full ? 0U : 5U, 0, 10};
    if (Full)
      Pool_.onResult(Id, {Code::NodeMemory, false, {}, Report}, Now_);
    else
      Pool_.onResult(Id, {{}, false, milliseconds(5), Report}, Now_);
  }
  CHECK(Refused < 10);
}

// Guards against a slow host that attracts calls by reporting itself idle.
TEST_CASE_FIXTURE(PoolFixture, "slow host that reports itself idle is spared") {
  fill(4);
  unsigned Slow = 0;
  for (int Call = 0; Call < 1000; ++Call) {
    Now_ += milliseconds(5);
    HostId Id = choose().value();
    bool IsSlow = Id.Ipv4_ == 2;
    Slow += IsSlow ? 1 : 0;
    LoadReport Report{IsSlow ? 0U : 7U, 0, 10};
    Pool_.onResult(Id, {{}, false, milliseconds(IsSlow ? 40 : 5), Report},
                   Now_);
  }
  CHECK(Slow > 0);
  CHECK(Slow < 50);
}

// Guards against the ejection of most hosts because of a shared fault.
TEST_CASE_FIXTURE(PoolFixture, "low success ratio ejects at most a third") {
  fill(7);
  auto Window = [&](auto Bad) {
    for (int Call = 0; Call < 20; ++Call)
      for (std::uint32_t Number = 0; Number < 7; ++Number)
        end({Number, 7400}, std::nullopt, Bad(Number) && Call % 2 == 0);
    Now_ += seconds(11);
    end({6, 7400}, std::nullopt);
  };
  SUBCASE("one host of seven") {
    Window([](std::uint32_t Number) { return Number == 3; });
    CHECK(ejected() == 1);
    CHECK(view(3).Ejected_);
  }
  SUBCASE("three hosts of seven") {
    Window([](std::uint32_t Number) { return Number < 3; });
    CHECK(ejected() == 2);
  }
  SUBCASE("all hosts alike") {
    Window([](std::uint32_t) { return true; });
    CHECK(ejected() == 0);
  }
}

TEST_CASE_FIXTURE(PoolFixture, "late result of a removed host is ignored") {
  fill(2);
  HostId Id = choose().value();
  CHECK(Pool_.startCall(Id, Now_));
  CHECK(view(Id.Ipv4_).Outstanding_ == 2);
  Pool_.setHosts({}, Now_);
  end(Id, std::nullopt);
  CHECK_FALSE(Pool_.startCall(Id, Now_));
  CHECK(Pool_.size() == 0);
}

// Guards against a usable host that is not found, an ejected or suspect host
// that is chosen although a better one exists, and outstanding calls that are
// miscounted.
TEST_CASE("pool finds a usable host in any order of events") {
  forEachSeed(150, [](Random &Rng) {
    TimePoint Now{seconds(1000)};
    const char *Names[]{"random", "round-robin", "two-choices",
                        "two-choices-local"};
    Pool Hosts(settings(),
               std::move(makeStrategy(Names[Rng.below(4)]).value()));
    std::vector<HostRecord> Records;
    for (std::uint32_t Number = 0; Number < 9; ++Number)
      Records.push_back(makeHost(Number, Number % 2 ? "a" : "b",
                                 Number % 3 ? "west" : "east"));
    Hosts.setHosts(Records, Now);
    std::vector<HostId> Outstanding;
    const Code Errors[]{Code::NodeLost, Code::TargetDown, Code::QueueFull,
                        Code::DeadlineExceeded, Code::ConnectionFailed};
    for (int Step = 0; Step < 500; ++Step) {
      Now += Rng.upTo(milliseconds(400));
      HostRecord &Changed = Records[Rng.below(Records.size())];
      if (Rng.chance(0.2)) {
        ++Changed.Sequence_;
        Changed.State_ =
            Rng.chance(0.6) ? HostState::Ready
                            : static_cast<HostState>(Rng.below(HostStateCount));
        if (Rng.chance(0.5))
          Hosts.updateHost(Changed, Now);
        else
          Hosts.setHosts(Records, Now);
      }
      std::vector<HostId> Excluded;
      while (Rng.chance(0.3))
        Excluded.push_back(Records[Rng.below(Records.size())].Id_);
      bool Usable = false;
      bool Possible = false;
      std::unordered_map<HostId, HostView, HostIdHash> Views;
      for (const HostView &View : Hosts.view(Now)) {
        Views[View.Id_] = View;
        if (std::find(Excluded.begin(), Excluded.end(), View.Id_) !=
            Excluded.end())
          continue;
        bool Ready = View.State_ == HostState::Ready;
        Usable = Usable || (Ready && !View.Ejected_);
        Possible = Possible || Ready || View.State_ == HostState::Suspect;
      }
      auto Chosen = Hosts.choose({Excluded}, Now, Rng);
      REQUIRE(Chosen.has_value() == Possible);
      if (Chosen) {
        HostView View = Views.at(Chosen.value());
        REQUIRE((View.State_ == HostState::Ready ||
                 View.State_ == HostState::Suspect));
        REQUIRE(std::find(Excluded.begin(), Excluded.end(), View.Id_) ==
                Excluded.end());
        if (Usable)
          REQUIRE((View.State_ == HostState::Ready && !View.Ejected_));
        Outstanding.push_back(View.Id_);
      }
      while (!Outstanding.empty() && Rng.chance(0.5)) {
        std::size_t Ended = Rng.below(Outstanding.size());
        CallSample Sample;
        if (Rng.chance(0.4))
          Sample.Error_ = Errors[Rng.below(5)];
        Hosts.onResult(Outstanding[Ended], Sample, Now);
        Outstanding.erase(Outstanding.begin() +
                          static_cast<std::ptrdiff_t>(Ended));
      }
      std::uint32_t Sum = 0;
      for (const HostView &View : Hosts.view(Now))
        Sum += View.Outstanding_;
      REQUIRE(Sum == Outstanding.size());
      REQUIRE(Hosts.size() == Records.size());
    }
  });
}

} // namespace marigold::routing
