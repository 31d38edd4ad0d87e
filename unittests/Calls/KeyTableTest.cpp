#include "Calls/KeyTable.h"

#include "../TestSeed.h"
#include "Support/Digest.h"

#include <algorithm>
#include <map>
#include <memory>

namespace marigold::calls {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;
using Code = ErrorCode;

constexpr std::uint64_t Mesh = 77;
constexpr std::uint64_t Booking = 4711;
const HostId Self{0x0a000001, 7400};

struct KeyTableFixture {
  TimePoint Now_{seconds(1000)};
  KeyTableSettings Settings_{minutes(15), 4096, 5};
  KeyTable Table_{Self, 5, Mesh, Settings_, Now_};

  std::string issue() {
    auto Key = Table_.issue(Now_);
    REQUIRE(Key);
    return Key.value();
  }
  Claim claim(const std::string &Key, std::uint64_t Fingerprint = Booking) {
    return Table_.claim(Key, Fingerprint, Now_);
  }
  Code refusal(const std::string &Key) {
    Claim Result = claim(Key);
    REQUIRE(Result.Action_ == ClaimAction::Refuse);
    return Result.Reason_;
  }
  std::uint64_t run(const std::string &Key) {
    Claim Result = claim(Key);
    REQUIRE(Result.Action_ == ClaimAction::Run);
    return Result.Number_;
  }
  static StoredAnswer answer(std::size_t Size) {
    return {200, {{"a", "b"}}, std::string(Size, 'x')};
  }
};

} // namespace

TEST_CASE("key text returns the same key") {
  RequestKey Key{Self, ~0ULL, 3, std::chrono::milliseconds(12)};
  auto Parsed = parseKey(formatKey(Key, Mesh), Mesh);
  REQUIRE(Parsed);
  CHECK(Parsed.value() == Key);
}

// Guards against a corrupted key, or one of another mesh, that is accepted as
// the key of another node or request.
TEST_CASE("key text with any changed character is KeyMalformed") {
  std::string Text =
      formatKey({Self, 5, 3, std::chrono::milliseconds(12)}, Mesh);
  for (std::size_t Index = 0; Index < Text.size(); ++Index)
    for (char Other : {'0', 'f', '-', 'F', ' ', '\0'}) {
      std::string Changed = Text;
      Changed[Index] = Other;
      if (Changed != Text)
        CHECK(parseKey(Changed, Mesh).error().Code_ == Code::KeyMalformed);
    }
  for (const std::string &Bad :
       {std::string(), Text + "0", Text + "-", Text.substr(1),
        std::string(500, '-'), "mk1-----" + Text})
    CHECK(parseKey(Bad, Mesh).error().Code_ == Code::KeyMalformed);
  CHECK_FALSE(parseKey(Text, Mesh + 1));
}

TEST_CASE_FIXTURE(KeyTableFixture, "claim of a fresh key returns Run once") {
  std::string Key = issue();
  run(Key);
  CHECK(refusal(Key) == Code::KeyInProgress);
}

TEST_CASE_FIXTURE(KeyTableFixture, "claim of a completed key replays it") {
  std::string Key = issue();
  Table_.complete(run(Key), answer(10), Now_);
  Claim Result = claim(Key);
  REQUIRE(Result.Action_ == ClaimAction::Replay);
  CHECK(Result.Answer_->Body_ == answer(10).Body_);
}

TEST_CASE_FIXTURE(KeyTableFixture, "claim of a released key is refused") {
  std::string Key = issue();
  std::uint64_t Number = run(Key);
  Table_.release(Number, Now_);
  Table_.complete(Number, answer(1), Now_);
  CHECK(refusal(Key) == Code::KeyReleased);
}

TEST_CASE_FIXTURE(KeyTableFixture, "claim of an abandoned key is unknown") {
  std::string Key = issue();
  std::uint64_t Number = run(Key);
  Table_.abandon(Number, Code::DeadlineExceeded, Now_);
  Table_.release(Number, Now_);
  CHECK(refusal(Key) == Code::DeadlineExceeded);
  std::string Other = issue();
  Table_.abandon(run(Other), Code::QueueFull, Now_);
  CHECK(refusal(Other) == Code::TargetLost);
}

// Guards against a client that reuses a key for a second booking and receives
// the confirmation of the first one.
TEST_CASE_FIXTURE(KeyTableFixture, "claim of another request is refused") {
  std::string Key = issue();
  Table_.complete(run(Key), answer(1), Now_);
  Claim Result = claim(Key, Booking + 1);
  CHECK(Result.Action_ == ClaimAction::Refuse);
  CHECK(Result.Reason_ == Code::MalformedRequest);
}

TEST_CASE_FIXTURE(KeyTableFixture, "claim of an expired key never runs") {
  std::string Unused = issue();
  std::string Done = issue();
  std::string Running = issue();
  Table_.complete(run(Done), answer(1), Now_);
  std::uint64_t Number = run(Running);
  Now_ += Settings_.Lifetime_;
  CHECK(refusal(Unused) == Code::KeyExpired);
  CHECK(refusal(Done) == Code::KeyExpired);
  CHECK(refusal(Running) == Code::KeyInProgress);
  Table_.complete(Number, answer(1), Now_);
  CHECK(claim(Running).Action_ == ClaimAction::Replay);
  CHECK(Table_.size() == 1);
}

// Guards against a node that runs the request of a key that it did not issue in
// its current incarnation.
TEST_CASE_FIXTURE(KeyTableFixture, "claim of a key of another owner fails") {
  KeyTable Restarted(Self, 6, Mesh, Settings_, Now_);
  KeyTable Elsewhere({Self.Ipv4_ + 1, 7400}, 5, Mesh, Settings_, Now_);
  std::string Key = issue();
  CHECK(Restarted.claim(Key, Booking, Now_).Reason_ == Code::KeyOwnerRestarted);
  CHECK(Elsewhere.claim(Key, Booking, Now_).Reason_ ==
        Code::KeyOwnerUnreachable);
  KeyTable SameButEmpty(Self, 5, Mesh, Settings_, Now_);
  CHECK(SameButEmpty.claim(Key, Booking, Now_).Reason_ == Code::KeyMalformed);
}

TEST_CASE_FIXTURE(KeyTableFixture, "answers are dropped oldest first") {
  std::vector<std::string> Keys;
  for (int Index = 0; Index < 5; ++Index) {
    Keys.push_back(issue());
    Table_.complete(run(Keys.back()), answer(800), Now_);
  }
  CHECK(Table_.answerBytes() <= Settings_.AnswerBytes_);
  CHECK(refusal(Keys[0]) == Code::KeyAnswerTooLarge);
  for (int Index = 1; Index < 5; ++Index)
    CHECK(claim(Keys[Index]).Action_ == ClaimAction::Replay);
  Now_ += Settings_.Lifetime_;
  Table_.expire(Now_);
  CHECK(Table_.answerBytes() == 0);
  std::string Large = issue();
  Table_.complete(run(Large), answer(2000), Now_);
  CHECK(refusal(Large) == Code::KeyAnswerTooLarge);
}

// Guards against a full table that drops the record of a key that can still be
// claimed or has run.
TEST_CASE_FIXTURE(KeyTableFixture, "full table drops released records only") {
  std::string Released = issue();
  for (int Index = 0; Index < 4; ++Index)
    issue();
  CHECK(Table_.issue(Now_).error().Code_ == Code::KeyTableFull);
  Table_.release(run(Released), Now_);
  issue();
  CHECK(refusal(Released) == Code::KeyExpired);
  CHECK(Table_.size() == Settings_.Records_);
}

// Guards against a key that runs twice, or that runs although NotRun is
// reported for it before or after, with restarts, moves to other nodes, delayed
// duplicates, expiry and a full table.
TEST_CASE("key runs at most once in any order of events") {
  struct TrackedRequest {
    std::string Key_;
    unsigned Runs_ = 0;
    bool ReportedNotRun_ = false;
  };
  forEachSeed(200, [](Random &Rng) {
    KeyTableSettings Settings{seconds(60), 600, 8};
    TimePoint Now{seconds(1000)};
    std::vector<std::unique_ptr<KeyTable>> Nodes(2);
    std::vector<std::uint64_t> Incarnations{1, 1};
    auto Start = [&](std::size_t Node) {
      Nodes[Node] = std::make_unique<KeyTable>(
          HostId{Self.Ipv4_ + static_cast<std::uint32_t>(Node), 7400},
          Incarnations[Node]++, Mesh, Settings, Now);
    };
    Start(0);
    Start(1);
    std::vector<TrackedRequest> Requests;
    std::vector<std::pair<std::size_t, std::uint64_t>> Running;
    for (int Step = 0; Step < 400; ++Step) {
      Now += Rng.upTo(seconds(4));
      std::size_t Node = Rng.below(2);
      if (Rng.chance(0.02)) {
        Start(Node);
        std::erase_if(Running, [&](auto &Run) { return Run.first == Node; });
      }
      auto Key = Nodes[Node]->issue(Now);
      if (Key)
        Requests.push_back({Key.value(), 0, false});
      if (Requests.empty())
        continue;
      // Sends mostly recent keys and sometimes a duplicate of a very old one to
      // any node, as after a service instance moved to another host.
      std::size_t Recent = Rng.chance(0.8) ? 6 : Requests.size();
      std::size_t Index =
          Requests.size() - 1 - Rng.below(std::min(Recent, Requests.size()));
      TrackedRequest &Request = Requests[Index];
      std::size_t Receiver = Rng.below(2);
      Claim Result = Nodes[Receiver]->claim(Request.Key_, Index, Now);
      if (Result.Action_ == ClaimAction::Run) {
        REQUIRE_FALSE(Request.ReportedNotRun_);
        if (Rng.chance(0.3)) {
          Nodes[Receiver]->release(Result.Number_, Now);
          Request.ReportedNotRun_ = true;
        } else {
          REQUIRE(++Request.Runs_ == 1);
          Running.emplace_back(Receiver, Result.Number_);
        }
      } else if (Result.Action_ == ClaimAction::Replay) {
        REQUIRE(Request.Runs_ == 1);
      } else if (errorOutcome(Result.Reason_) == Outcome::NotRun) {
        REQUIRE(Request.Runs_ == 0);
        Request.ReportedNotRun_ = true;
      }
      if (!Running.empty() && Rng.chance(0.5)) {
        std::size_t Ended = Rng.below(Running.size());
        auto [Owner, Number] = Running[Ended];
        if (Rng.chance(0.7))
          Nodes[Owner]->complete(Number,
                                 KeyTableFixture::answer(Rng.below(200)), Now);
        else
          Nodes[Owner]->abandon(Number, Code::TargetLost, Now);
        Running.erase(Running.begin() + static_cast<std::ptrdiff_t>(Ended));
      }
      for (auto &Table : Nodes) {
        REQUIRE(Table->size() <= Settings.Records_);
        REQUIRE(Table->answerBytes() <= Settings.AnswerBytes_);
      }
    }
  });
}

} // namespace marigold::calls
