#include "Transport/MemoryAccount.h"

#include <doctest/doctest.h>

#include <array>
#include <map>
#include <random>
#include <set>

namespace marigold::transport {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint Start{std::chrono::hours(1)};

SheddableMemory body(std::uint64_t Bytes, std::uint64_t Moved,
                     Duration Since = {}, Duration LastProgress = {}) {
  return {Bytes, Moved, Start + Since, Start + LastProgress};
}

} // namespace

TEST_CASE("ShedPolicy: stalled bodies, the largest gives way") {
  std::array<SheddableMemory, 4> Holders{
      body(100, 1), body(900, 899), body(500, 400),
      body(5000, 5000, {}, milliseconds(1900))};
  CHECK(chooseHolderToShed(Holders, Start + seconds(2)) == 1);
}

TEST_CASE("ShedPolicy: none stalled, the newest request is kept") {
  std::array<SheddableMemory, 2> Holders{
      body(1000, 1000, {}, milliseconds(900)),
      body(1000, 1000, milliseconds(890), milliseconds(900))};
  CHECK(chooseHolderToShed(Holders, Start + milliseconds(900)) == 0);
}

TEST_CASE("ShedPolicy: nothing to shed, nobody is chosen") {
  std::array<SheddableMemory, 2> Holders{};
  CHECK_FALSE(chooseHolderToShed(Holders, Start));
}

TEST_CASE(
    "ShedPolicy: all connections taken, silent ones go before idle ones") {
  std::array<UnusedConnection, 4> Connections{
      UnusedConnection{UnusedState::InUse, Start},
      UnusedConnection{UnusedState::Idle, Start},
      UnusedConnection{UnusedState::Silent, Start + seconds(2)},
      UnusedConnection{UnusedState::Silent, Start + seconds(1)}};
  CHECK(chooseConnectionToClose(Connections) == 3);
  CHECK(chooseConnectionToClose(std::span(Connections).first(2)) == 1);
  CHECK_FALSE(chooseConnectionToClose(std::span(Connections).first(1)));
}

// Replays bodies that stop short of their end: an ordinary request finds no
// room unless the account makes them give way.
TEST_CASE("MemoryAccount: full of stalled bodies, an ordinary request fits") {
  MemoryAccount Account(1000);
  int Shed = 0;
  for (int Number = 0; Number < 10; ++Number) {
    auto Holder = Account.open(
        0, [&] { ++Shed; }, Start);
    REQUIRE(Holder);
    REQUIRE(Account.resize(*Holder, 0, body(100, 99), Start));
  }
  TimePoint Now = Start + seconds(2);
  auto Ordinary = Account.open(
      10, [] {}, Now);
  REQUIRE(Ordinary);
  CHECK(Account.resize(*Ordinary, 10, {50, 50, Now, Now}, Now));
  CHECK(Shed == 1);
  CHECK(Account.held() == 960);
}

TEST_CASE("MemoryAccount: full of requests at their targets, none gives way") {
  MemoryAccount Account(100);
  bool Shed = false;
  auto AtTarget = Account.open(
      100, [&] { Shed = true; }, Start);
  REQUIRE(AtTarget);
  CHECK_FALSE(Account.open(
      1, [] {}, Start));
  auto Holder = Account.open(
      0, [] {}, Start);
  CHECK_FALSE(Account.resize(*Holder, 0, body(1, 1), Start));
  CHECK_FALSE(Shed);
}

// Replays nine uploads of 15 MB at the node of one target with 260 MB, half of
// which is for clients: what they need exceeds it.
TEST_CASE("MemoryAccount: bodies from other nodes leave room for connections") {
  constexpr std::uint64_t Bound = 130'000'000;
  constexpr std::uint64_t Body = 15'000'000;
  auto Account = std::make_shared<MemoryAccount>(Bound);
  std::vector<MemoryReservationPtr> Bodies;
  for (int Number = 0; Number < 9; ++Number)
    if (auto Memory = reserveMemory(Account, MemoryUse::Calls, Body, Start))
      Bodies.push_back(std::move(Memory.value()));
  CHECK(Bodies.size() == 7);
  CHECK(Account->held() == 7 * Body);
  for (int Number = 0; Number < 500; ++Number)
    CHECK(Account->open(
        16'384, [] {}, Start));
  CHECK(reserveMemory(Account, MemoryUse::Answers, Body, Start));
  Bodies.clear();
  CHECK(reserveMemory(Account, MemoryUse::Calls, Body, Start));
}

TEST_CASE("MemoryAccount: stalled clients give way to a reservation that fits, "
          "to another one nobody does") {
  auto Account = std::make_shared<MemoryAccount>(1000);
  int Shed = 0;
  for (int Number = 0; Number < 10; ++Number) {
    auto Holder = Account->open(
        10, [&] { ++Shed; }, Start);
    REQUIRE(Account->resize(*Holder, 10, body(90, 89), Start));
  }
  TimePoint Now = Start + seconds(2);
  CHECK_FALSE(reserveMemory(Account, MemoryUse::Calls, 800, Now));
  CHECK(Shed == 0);
  auto Fits = reserveMemory(Account, MemoryUse::Calls, 100, Now);
  CHECK(Fits);
  CHECK(Shed == 3);
  CHECK(Account->held() == 830);
  REQUIRE(Fits.value()->resize(200, Now));
  CHECK(Account->reserved(MemoryUse::Calls) == 200);
  CHECK_FALSE(Fits.value()->resize(2000, Now));
  REQUIRE(Fits.value()->resize(1, Now));
  CHECK(Account->reserved(MemoryUse::Calls) == 1);
}

TEST_CASE("MemoryAccount: a shared body counts until its last owner is gone") {
  auto Account = std::make_shared<MemoryAccount>(1000);
  auto Memory = reserveMemory(Account, MemoryUse::Calls, 5, Start);
  auto Body = shareBody("hello", std::move(Memory.value()));
  auto Other = Body;
  Body.reset();
  CHECK(*Other == "hello");
  CHECK(Account->held() == 5);
  Other.reset();
  CHECK(Account->held() == 0);
}

TEST_CASE("MemoryAccount: without an account and without a bound all fits") {
  CHECK(reserveMemory(nullptr, MemoryUse::Calls, 1 << 30, Start));
  auto Account = std::make_shared<MemoryAccount>(0);
  auto Memory = reserveMemory(Account, MemoryUse::Calls, 1 << 30, Start);
  CHECK(Memory);
  CHECK(Account->held() == 1 << 30);
}

TEST_CASE(
    "MemoryAccount: random events, within its bound and zero at the end") {
  for (unsigned Seed = 0; Seed < 200; ++Seed) {
    CAPTURE(Seed);
    std::mt19937 Random(Seed);
    auto Draw = [&](std::uint64_t Below) { return Random() % Below; };
    constexpr std::uint64_t Bound = 10'000;
    MemoryAccount Account(Bound);
    // What each holder was last granted; the sum is what the account counts.
    std::map<MemoryAccount::Id, std::array<std::uint64_t, 2>> Granted;
    std::set<MemoryAccount::Id> Told;
    std::map<MemoryUse, std::uint64_t> Reserved;
    MemoryAccount::Id Next = 1;
    TimePoint Now = Start;
    for (int Step = 0; Step < 500; ++Step) {
      Now += milliseconds(Draw(400));
      if (Draw(4) == 0) {
        auto Use = Draw(2) == 0 ? MemoryUse::Calls : MemoryUse::Answers;
        std::uint64_t Bytes = Draw(2000);
        if (Draw(2) == 0) {
          if (Account.reserve(Use, Bytes, Now)) {
            Reserved[Use] += Bytes;
            REQUIRE(Account.held() <= reservationLimit(Bound, Use));
          }
        } else {
          Bytes = std::min(Bytes, Reserved[Use]);
          Account.release(Use, Bytes);
          Reserved[Use] -= Bytes;
        }
        REQUIRE(Account.reserved(Use) == Reserved[Use]);
      }
      if (Granted.empty() || Draw(4) == 0) {
        std::uint64_t Kept = Draw(500);
        auto Opened = Account.open(
            Kept,
            [&, Holder = Next] {
              Told.insert(Holder);
              Granted[Holder][1] = 0;
            },
            Now);
        if (Opened) {
          REQUIRE(*Opened == Next++);
          Granted[*Opened] = {Kept, 0};
        }
      } else {
        auto Position =
            std::next(Granted.begin(), static_cast<long>(Draw(Granted.size())));
        auto Holder = Position->first;
        if (Draw(5) == 0) {
          Account.close(Holder);
          Granted.erase(Position);
        } else {
          std::uint64_t Kept = Draw(500);
          std::uint64_t Bytes = Draw(3) == 0 ? 0 : Draw(3000);
          bool WasTold = Told.contains(Holder);
          bool Fits = Account.resize(Holder, Kept,
                                     {Bytes, Draw(Bytes + 1), Now, Now}, Now);
          if (WasTold && Bytes > 0)
            CHECK_FALSE(Fits);
          if (Fits) {
            Position->second = {Kept, Bytes};
            Told.erase(Holder);
          }
        }
      }
      std::uint64_t Sum =
          Reserved[MemoryUse::Calls] + Reserved[MemoryUse::Answers];
      for (const auto &[Holder, Bytes] : Granted)
        Sum += Bytes[0] + Bytes[1];
      REQUIRE(Account.held() == Sum);
      REQUIRE(Sum <= Bound);
    }
    for (const auto &[Holder, Bytes] : Granted)
      Account.close(Holder);
    for (const auto &[Use, Bytes] : Reserved)
      Account.release(Use, Bytes);
    CHECK(Account.held() == 0);
  }
}

} // namespace marigold::transport
