#include "Calls/Retry.h"

#include "../TestSeed.h"

#include <array>
#include <limits>

namespace marigold::calls {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Code = ErrorCode;

struct RetryFixture {
  TimePoint Now_{seconds(1000)};
  RetryPolicy Policy_;
  RetryBudget Budget_{{}, Now_};

  RetryDecision decide(const AttemptState &State,
                       Duration Remaining = seconds(1)) {
    return Policy_.next(State, Deadline::after(Now_, Remaining), Budget_, Now_);
  }
};

} // namespace

// Guards against a level that has no time left to answer after the level below
// has run into its deadline.
TEST_CASE("deadline shrinks along a chain of 12 levels and never turns back") {
  TimePoint Now{seconds(5)};
  Duration Remaining = seconds(1);
  for (int Level = 0; Level < 12; ++Level) {
    Deadline Limit = Deadline::after(Now, Remaining);
    Duration Next = Limit.forNextLevel(Now);
    CHECK(Next <= Remaining - DeadlineMargin);
    Remaining = Next;
  }
  CHECK(Remaining > milliseconds(700));
}

// Guards against a remaining time from a peer or caller that overflows the
// clock.
TEST_CASE("deadline of an extreme remaining time saturates") {
  TimePoint Now{seconds(5)};
  CHECK(Deadline::after(Now, Duration::max()).at() == TimePoint::max());
  CHECK(Deadline::after(Now, Duration::min()).passed(Now));
  CHECK(Deadline::after(Now, DeadlineMargin).forNextLevel(Now) ==
        Duration::zero());
  CHECK(Deadline::after(Now, seconds(9)).limitedTo(Now, seconds(2)).at() ==
        Now + seconds(2));
}

TEST_CASE_FIXTURE(RetryFixture, "retry policy decides by the last attempt") {
  struct Row {
    const char *Failure_;
    AttemptState State_;
    bool Retry_;
    Code Final_;
  };
  auto State = [](Code Reason) {
    AttemptState Result;
    Result.Reason_ = Reason;
    return Result;
  };
  auto With = [](AttemptState Base, auto Member, auto Value) {
    Base.*Member = Value;
    return Base;
  };
  using S = AttemptState;
  const std::vector<Row> Rows{
      {"a refused call that is not offered to another host",
       State(Code::QueueFull), true, Code::AttemptsExhausted},
      {"a call that one node has no memory for and another one would have",
       State(Code::NodeMemory), true, Code::AttemptsExhausted},
      {"retries at each level of a chain", State(Code::AttemptsExhausted),
       false, Code::AttemptsExhausted},
      {"a held-back request that reaches another target", State(Code::HeldBack),
       false, Code::HeldBack},
      {"shed work that comes back", State(Code::Shed), false, Code::Shed},
      {"a retry without a host", State(Code::NoTarget), false, Code::NoTarget},
      {"a request that no host accepts", State(Code::BodyTooLarge), false,
       Code::BodyTooLarge},
      {"a second run of a booking", State(Code::NodeLost), false,
       Code::NodeLost},
      {"a lost read that is not repeated",
       With(State(Code::NodeLost), &S::Repeatable_, true), true,
       Code::NodeLost},
      {"a booking that is refused after an earlier loss",
       With(State(Code::QueueFull), &S::MayHaveRun_, true), false,
       Code::QueueFull},
      {"a keyed request sent to a host that does not own it",
       With(State(Code::QueueFull), &S::Keyed_, true), false, Code::QueueFull},
      {"two answers to one request",
       With(With(State(Code::NodeLost), &S::Repeatable_, true),
            &S::AnswerStarted_, true),
       false, Code::NodeLost},
      {"a request that crashes a third target",
       With(With(State(Code::TargetLost), &S::Repeatable_, true),
            &S::UnknownAttempts_, 2U),
       false, Code::TargetLost},
      {"attempts without end", With(State(Code::QueueFull), &S::Attempts_, 3U),
       false, Code::AttemptsExhausted},
      {"a retry for nobody", State(Code::DeadlineBeforeRun), false,
       Code::DeadlineBeforeRun}};
  for (const Row &Case : Rows) {
    CAPTURE(Case.Failure_);
    Budget_ = RetryBudget({}, Now_);
    RetryDecision Decision = decide(Case.State_);
    CHECK(Decision.Retry_ == Case.Retry_);
    CHECK(Decision.Final_ == Case.Final_);
    CHECK_FALSE(Decision.DeniedByBudget_);
  }
}

TEST_CASE_FIXTURE(RetryFixture, "retry past the deadline costs no token") {
  AttemptState State;
  State.Reason_ = Code::QueueFull;
  CHECK_FALSE(decide(State, milliseconds(1)).Retry_);
  CHECK(Budget_.available(Now_));
}

TEST_CASE_FIXTURE(RetryFixture, "retry without budget is denied") {
  AttemptState State;
  State.Reason_ = Code::QueueFull;
  CHECK(decide(State).Retry_);
  RetryDecision Decision = decide(State);
  CHECK_FALSE(Decision.Retry_);
  CHECK(Decision.DeniedByBudget_);
  CHECK(Decision.Final_ == Code::AttemptsExhausted);
}

// Guards against a budget that is exceeded after a burst or an idle period, or
// by a clock that was read before the lock was taken.
TEST_CASE("retry budget is kept in random orders of calls and retries") {
  forEachSeed(50, [](Random &Rng) {
    RetryBudgetSettings Settings;
    TimePoint Start{seconds(100)};
    TimePoint Now = Start;
    RetryBudget Budget(Settings, Now);
    std::uint64_t Calls = 0;
    std::uint64_t Retries = 0;
    for (int Step = 0; Step < 2000; ++Step) {
      Now += Rng.upTo(milliseconds(Rng.chance(0.01) ? 60000 : 20));
      TimePoint Read = Now - Rng.upTo(milliseconds(5));
      if (Rng.chance(0.5)) {
        Budget.onCall(Read);
        ++Calls;
      } else if (Budget.take(Read)) {
        ++Retries;
      }
      double Allowed = 1 + 0.1 * static_cast<double>(Calls) +
                       Settings.MinPerSecond_ *
                           std::chrono::duration<double>(Now - Start).count();
      REQUIRE(static_cast<double>(Retries) <= Allowed + 1e-6);
    }
  });
}

// Guards against retries that multiply along a call chain; three attempts at
// each level would turn one call into 3^11.
TEST_CASE("chain of 12 levels keeps the budget when the deepest refuses all") {
  constexpr std::size_t Levels = 12;
  constexpr std::uint64_t Requests = 20000;
  TimePoint Start{seconds(100)};
  RetryPolicy Policy;
  std::vector<RetryBudget> Budgets(Levels, RetryBudget({}, Start));
  std::array<std::uint64_t, Levels> First{};
  std::array<std::uint64_t, Levels> Sent{};
  TimePoint Now = Start;
  // Calls the target of Level + 1 from the node of Level. A target that cannot
  // reach its dependency reports the failure to its caller.
  auto Call = [&](auto &Self, std::size_t Level, Deadline Limit) -> Code {
    Budgets[Level].onCall(Now);
    ++First[Level];
    AttemptState State;
    for (State.Attempts_ = 1;; ++State.Attempts_) {
      ++Sent[Level];
      State.Reason_ = Level + 1 == Levels
                          ? Code::QueueFull
                          : Self(Self, Level + 1,
                                 Deadline::after(Now, Limit.forNextLevel(Now)));
      RetryDecision Decision = Policy.next(State, Limit, Budgets[Level], Now);
      if (!Decision.Retry_)
        return Decision.Final_;
    }
  };
  for (std::uint64_t Request = 0; Request < Requests; ++Request) {
    Now += milliseconds(5);
    CHECK(Call(Call, 0, Deadline::after(Now, seconds(1))) ==
          Code::AttemptsExhausted);
  }
  for (std::size_t Level = 0; Level + 1 < Levels; ++Level)
    CHECK(Sent[Level] == Requests);
  // 10 % of the calls, and one token per 10 s of the 100 s.
  CHECK(First[Levels - 1] == Requests);
  CHECK(Sent[Levels - 1] <= Requests + Requests / 10 + 11);
}

} // namespace marigold::calls
