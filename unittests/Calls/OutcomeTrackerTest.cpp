#include "Calls/OutcomeTracker.h"

#include "../TestSeed.h"

#include <string>
#include <vector>

namespace marigold::calls {
namespace {

using Code = ErrorCode;
using Event = void (*)(OutcomeTracker &);

const Event Chosen = [](OutcomeTracker &Tracker) {
  (void)Tracker.beginAttempt();
};
const Event NoConnection = [](OutcomeTracker &Tracker) {
  Tracker.connectFailed();
};
const Event Sent = [](OutcomeTracker &Tracker) { Tracker.sentFirstByte(); };
const Event Full = [](OutcomeTracker &Tracker) {
  Tracker.refused(Code::QueueFull);
};
const Event TargetLost = [](OutcomeTracker &Tracker) {
  Tracker.refused(Code::TargetLost);
};
const Event NoSuchCode = [](OutcomeTracker &Tracker) {
  Tracker.refusedByNumber(9);
};
const Event HeldBack = [](OutcomeTracker &Tracker) {
  Tracker.refused(Code::HeldBack);
};
const Event BadKey = [](OutcomeTracker &Tracker) {
  Tracker.refused(Code::KeyMalformed);
};
const Event FirstByte = [](OutcomeTracker &Tracker) {
  Tracker.firstAnswerByte();
};
const Event Complete = [](OutcomeTracker &Tracker) {
  Tracker.answerComplete();
};
const Event Malformed = [](OutcomeTracker &Tracker) {
  Tracker.answerInvalid(Code::MalformedAnswer);
};
const Event Lost = [](OutcomeTracker &Tracker) { Tracker.connectionLost(); };
const Event DeadlineOver = [](OutcomeTracker &Tracker) {
  Tracker.deadlinePassed();
};
const Event Cancel = [](OutcomeTracker &Tracker) { Tracker.cancelled(); };

struct Row {
  const char *Failure_;
  std::vector<Event> Events_;
  Verdict Expected_;
};

constexpr CallSide AtCaller = CallSide::CallerNode;
constexpr CallSide AtTarget = CallSide::TargetNode;

Verdict ok() { return {Outcome::Ok, std::nullopt}; }
Verdict notRun(Code Reason) { return {Outcome::NotRun, Reason}; }
Verdict unknown(Code Reason) { return {Outcome::Unknown, Reason}; }

void checkRows(CallSide Side, bool Keyed, const std::vector<Row> &Rows) {
  for (const Row &Case : Rows) {
    CAPTURE(Case.Failure_);
    OutcomeTracker Tracker(Side, Keyed);
    for (Event Next : Case.Events_)
      Next(Tracker);
    Verdict Actual = Tracker.verdict();
    CHECK(Actual == Case.Expected_);
    CHECK(
        (!Actual.Reason_ || errorOutcome(*Actual.Reason_) == Actual.Outcome_));
  }
}

} // namespace

TEST_CASE("outcome at the caller's node follows from the events") {
  checkRows(AtCaller, false,
            {{"a loss after sending reported as not run",
              {Chosen, Sent, Lost},
              unknown(Code::NodeLost)},
             {"an unsent call reported as unknown",
              {Chosen, Lost},
              notRun(Code::TargetDown)},
             {"a refusal by the target's node not believed",
              {Chosen, Sent, Full},
              notRun(Code::QueueFull)},
             {"a late refusal after an answer began believed",
              {Chosen, Sent, FirstByte, Full},
              unknown(Code::MalformedAnswer)},
             {"a code of a later version taken for a refusal",
              {Chosen, Sent, NoSuchCode},
              unknown(Code::MalformedAnswer)},
             {"a loss behind the target's node hidden",
              {Chosen, Sent, TargetLost},
              unknown(Code::TargetLost)},
             {"an incomplete answer taken for a complete one",
              {Chosen, Sent, FirstByte, Lost},
              unknown(Code::NodeLost)},
             {"a malformed answer",
              {Chosen, Sent, Malformed},
              unknown(Code::MalformedAnswer)},
             {"a second answer after the end",
              {Chosen, Sent, FirstByte, Complete, Lost, DeadlineOver},
              ok()},
             {"an answer to a request that was not sent",
              {Chosen, FirstByte, Complete, DeadlineOver},
              notRun(Code::DeadlineBeforeRun)},
             {"an earlier possible run forgotten by a later refusal",
              {Chosen, Sent, Lost, Chosen, Sent, Full},
              unknown(Code::NodeLost)},
             {"an earlier possible run forgotten by a later deadline",
              {Chosen, Sent, Lost, Chosen, DeadlineOver},
              unknown(Code::NodeLost)},
             {"a success after a loss not reported",
              {Chosen, Sent, Lost, Chosen, Sent, Complete},
              ok()},
             {"a refused first attempt that taints the second",
              {Chosen, Sent, Full, Chosen, NoConnection},
              notRun(Code::TargetDown)},
             {"a held-back request", {HeldBack}, notRun(Code::HeldBack)},
             {"a deadline while running",
              {Chosen, Sent, DeadlineOver},
              unknown(Code::DeadlineExceeded)},
             {"a caller that left before the run",
              {Chosen, Cancel},
              notRun(Code::CancelledBeforeRun)},
             {"a caller that left during the run",
              {Chosen, Sent, Cancel},
              unknown(Code::Cancelled)},
             {"a call without any event", {}, notRun(Code::NoTarget)}});
}

// Guards against NotRun for a keyed request of which an earlier attempt may
// have run through another node.
TEST_CASE("outcome of a keyed request needs a statement of the owner") {
  checkRows(AtCaller, true,
            {{"owner not reached reported as not run",
              {Chosen, NoConnection},
              unknown(Code::KeyOwnerUnreachable)},
             {"local deadline reported as not run",
              {DeadlineOver},
              unknown(Code::KeyOwnerUnreachable)},
             {"the owner's refusal not believed",
              {Chosen, Sent, Full},
              notRun(Code::QueueFull)},
             {"a foreign key", {BadKey}, notRun(Code::KeyMalformed)}});
}

TEST_CASE("outcome at the target's node does not believe the target") {
  checkRows(AtTarget, false,
            {{"a target's process lost",
              {Chosen, Sent, Lost},
              unknown(Code::TargetLost)},
             {"a refusal by the node itself", {Full}, notRun(Code::QueueFull)},
             {"a refusal by the target taken for a statement",
              {Chosen, Sent, Full},
              unknown(Code::MalformedAnswer)},
             {"a target that is down",
              {Chosen, NoConnection},
              notRun(Code::TargetDown)}});
}

// Guards against a caller that receives parts of two answers.
TEST_CASE("outcome tracker forbids an attempt after a part of an answer") {
  OutcomeTracker Tracker(AtCaller);
  REQUIRE(Tracker.beginAttempt());
  CHECK_FALSE(Tracker.beginAttempt());
  Tracker.sentFirstByte();
  Tracker.firstAnswerByte();
  Tracker.connectionLost();
  CHECK_FALSE(Tracker.beginAttempt());
}

// Guards against NotRun for a request that may have run. A simple model tracks
// which attempts sent data and which of these were refused, and decides whether
// NotRun is allowed.
TEST_CASE("outcome is never not-run after a byte left in any event order") {
  const std::vector<Event> Events{
      Chosen,     NoConnection, Sent,      Full,     TargetLost,
      NoSuchCode, HeldBack,     FirstByte, Complete, Malformed,
      Lost,       DeadlineOver, Cancel};
  forEachSeed(2000, [&](Random &Rng) {
    OutcomeTracker Tracker(Rng.chance(0.5) ? AtCaller : AtTarget,
                           Rng.chance(0.5));
    bool InAttempt = false;
    bool Bytes = false;
    bool Answer = false;
    bool MayRun = false;
    for (int Step = 0; Step < 12; ++Step) {
      Event Next = Events[Rng.below(Events.size())];
      bool Refusal = Next == Full || Next == HeldBack;
      bool WasEnded = Tracker.ended();
      Next(Tracker);
      if (WasEnded)
        CHECK(Tracker.ended());
      if (WasEnded)
        continue;
      if (Next == Chosen && !InAttempt)
        InAttempt = true, Bytes = Answer = false;
      if (InAttempt && Next == Sent)
        Bytes = true;
      if (InAttempt && Bytes && Next == FirstByte)
        Answer = true;
      // The attempt ended. Data that was sent may have caused a run unless the
      // attempt was refused before an answer began.
      if (InAttempt && !Tracker.inAttempt()) {
        MayRun = MayRun || (Bytes && (!Refusal || Answer));
        InAttempt = false;
      }
      if (MayRun || (InAttempt && Bytes))
        CHECK(Tracker.verdict().Outcome_ != Outcome::NotRun);
    }
  });
}

namespace {

/// End of one attempt, and whether the request may have run in it.
struct AttemptEnd {
  const char *Name_;
  std::vector<Event> Events_;
  bool MayHaveRun_;
};

const std::vector<AttemptEnd> &attemptEnds() {
  static const std::vector<AttemptEnd> Ends{
      {"no connection", {NoConnection}, false},
      {"lost before sending", {Lost}, false},
      {"refused as full", {Sent, Full}, false},
      {"refused as held back", {Sent, HeldBack}, false},
      {"lost after sending", {Sent, Lost}, true},
      {"target lost", {Sent, TargetLost}, true},
      {"unknown refusal", {Sent, NoSuchCode}, true},
      {"malformed answer", {Sent, Malformed}, true},
  };
  return Ends;
}

/// Code with which a hedge ends without an answer, and whether the request may
/// have run in it.
struct HedgeEnd {
  Code Code_;
  bool MayHaveRun_;
};

const std::vector<HedgeEnd> &hedgeEnds() {
  static const std::vector<HedgeEnd> Ends{
      {Code::QueueFull, false},       {Code::TargetRefused, false},
      {Code::TargetDown, false},      {Code::Draining, false},
      {Code::NodeLost, true},         {Code::TargetLost, true},
      {Code::MalformedAnswer, true},  {Code::DeadlineExceeded, true},
      {Code::AttemptAbandoned, true}, {Code::AnswerTooLarge, true},
  };
  return Ends;
}

} // namespace

// Guards against telling a caller that its request has not run because the
// last of its attempts did not.
TEST_CASE("outcome of two attempts is not run only if neither may have run") {
  for (const AttemptEnd &First : attemptEnds())
    for (const AttemptEnd &Second : attemptEnds())
      for (Event Last : {Event(), Event(DeadlineOver), Event(Cancel)}) {
        CAPTURE(First.Name_);
        CAPTURE(Second.Name_);
        OutcomeTracker Tracker(AtCaller);
        for (const AttemptEnd *Attempt : {&First, &Second}) {
          REQUIRE(Tracker.beginAttempt());
          for (Event Next : Attempt->Events_)
            Next(Tracker);
        }
        if (Last)
          Last(Tracker);
        bool MayHaveRun = First.MayHaveRun_ || Second.MayHaveRun_;
        CHECK((Tracker.verdict().Outcome_ == Outcome::Unknown) == MayHaveRun);
        CHECK(Tracker.mayHaveRun() == MayHaveRun);
      }
}

// Guards against forgetting a hedge, which runs beside an attempt, when that
// attempt or the call ends: before the hedge, after it, or while it is pending.
TEST_CASE("outcome of an attempt with a hedge covers both") {
  for (const AttemptEnd &First : attemptEnds())
    for (const HedgeEnd &Hedge : hedgeEnds())
      for (bool HedgeFirst : {true, false}) {
        CAPTURE(First.Name_);
        CAPTURE(errorText(Hedge.Code_));
        CAPTURE(HedgeFirst);
        OutcomeTracker Tracker(AtCaller);
        REQUIRE(Tracker.beginAttempt());
        Tracker.hedgeSent();
        CHECK(Tracker.verdict().Outcome_ == Outcome::Unknown);
        if (HedgeFirst)
          Tracker.hedgeFailed(Hedge.Code_);
        for (Event Next : First.Events_)
          Next(Tracker);
        if (!HedgeFirst) {
          CHECK(Tracker.verdict().Outcome_ == Outcome::Unknown);
          Tracker.hedgeFailed(Hedge.Code_);
        }
        Verdict Actual = Tracker.verdict();
        CHECK((Actual.Outcome_ == Outcome::Unknown) ==
              (First.MayHaveRun_ || Hedge.MayHaveRun_));
        REQUIRE(Actual.Reason_);
        CHECK(errorOutcome(*Actual.Reason_) == Actual.Outcome_);
      }
  for (const AttemptEnd &First : attemptEnds())
    for (Event Last : {DeadlineOver, Cancel}) {
      CAPTURE(First.Name_);
      OutcomeTracker Tracker(AtCaller);
      REQUIRE(Tracker.beginAttempt());
      Tracker.hedgeSent();
      for (Event Next : First.Events_)
        Next(Tracker);
      Last(Tracker);
      CHECK(Tracker.verdict().Outcome_ == Outcome::Unknown);
    }
}

} // namespace marigold::calls
