#include "Calls/OutcomeTracker.h"

#include "../TestSeed.h"

#include <string>
#include <vector>

namespace marigold::calls {
namespace {

using Code = ErrorCode;
using Event = void (*)(OutcomeTracker &);

const Event Chosen = [](OutcomeTracker &It) { (void)It.beginAttempt(); };
const Event NoConnection = [](OutcomeTracker &It) { It.connectFailed(); };
const Event Sent = [](OutcomeTracker &It) { It.sentFirstByte(); };
const Event Full = [](OutcomeTracker &It) { It.refused(Code::QueueFull); };
const Event LostBelow = [](OutcomeTracker &It) {
  It.refused(Code::TargetLost);
};
const Event NoSuchCode = [](OutcomeTracker &It) { It.refusedByNumber(9); };
const Event HeldBack = [](OutcomeTracker &It) { It.refused(Code::HeldBack); };
const Event BadKey = [](OutcomeTracker &It) { It.refused(Code::KeyMalformed); };
const Event FirstByte = [](OutcomeTracker &It) { It.firstAnswerByte(); };
const Event Complete = [](OutcomeTracker &It) { It.answerComplete(); };
const Event Garbage = [](OutcomeTracker &It) {
  It.answerInvalid(Code::MalformedAnswer);
};
const Event Lost = [](OutcomeTracker &It) { It.connectionLost(); };
const Event Late = [](OutcomeTracker &It) { It.deadlinePassed(); };
const Event Cancel = [](OutcomeTracker &It) { It.cancelled(); };

struct Row {
  const char *Guards_;
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
    CAPTURE(Case.Guards_);
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
              {Chosen, Sent, LostBelow},
              unknown(Code::TargetLost)},
             {"an incomplete answer taken for a complete one",
              {Chosen, Sent, FirstByte, Lost},
              unknown(Code::NodeLost)},
             {"a malformed answer",
              {Chosen, Sent, Garbage},
              unknown(Code::MalformedAnswer)},
             {"a second answer after the end",
              {Chosen, Sent, FirstByte, Complete, Lost, Late},
              ok()},
             {"an answer to a request that was not sent",
              {Chosen, FirstByte, Complete, Late},
              notRun(Code::DeadlineBeforeRun)},
             {"an earlier possible run forgotten by a later refusal",
              {Chosen, Sent, Lost, Chosen, Sent, Full},
              unknown(Code::NodeLost)},
             {"an earlier possible run forgotten by a later deadline",
              {Chosen, Sent, Lost, Chosen, Late},
              unknown(Code::NodeLost)},
             {"a success after a loss not reported",
              {Chosen, Sent, Lost, Chosen, Sent, Complete},
              ok()},
             {"a refused first attempt that taints the second",
              {Chosen, Sent, Full, Chosen, NoConnection},
              notRun(Code::TargetDown)},
             {"a held-back request", {HeldBack}, notRun(Code::HeldBack)},
             {"a deadline while running",
              {Chosen, Sent, Late},
              unknown(Code::DeadlineExceeded)},
             {"a caller that left before the run",
              {Chosen, Cancel},
              notRun(Code::CancelledBeforeRun)},
             {"a caller that left during the run",
              {Chosen, Sent, Cancel},
              unknown(Code::Cancelled)},
             {"a call without any event", {}, notRun(Code::NoTarget)}});
}

// An earlier attempt of the key may have run through another node.
TEST_CASE("outcome of a keyed request needs a statement of the owner") {
  checkRows(AtCaller, true,
            {{"owner not reached reported as not run",
              {Chosen, NoConnection},
              unknown(Code::KeyOwnerUnreachable)},
             {"local deadline reported as not run",
              {Late},
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

TEST_CASE("outcome tracker forbids an attempt after a part of an answer") {
  OutcomeTracker Tracker(AtCaller);
  REQUIRE(Tracker.beginAttempt());
  CHECK_FALSE(Tracker.beginAttempt());
  Tracker.sentFirstByte();
  Tracker.firstAnswerByte();
  Tracker.connectionLost();
  CHECK_FALSE(Tracker.beginAttempt());
}

// Guards G5: an oracle that knows only which attempts sent bytes and which of
// them were refused decides whether not-run may be said.
TEST_CASE("outcome is never not-run after a byte left in any event order") {
  const std::vector<Event> Events{
      Chosen,    NoConnection, Sent,    Full, LostBelow, NoSuchCode, HeldBack,
      FirstByte, Complete,     Garbage, Lost, Late,      Cancel};
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
      // The attempt ended; only a plain refusal takes back its bytes.
      if (InAttempt && !Tracker.inAttempt()) {
        MayRun = MayRun || (Bytes && (!Refusal || Answer));
        InAttempt = false;
      }
      if (MayRun || (InAttempt && Bytes))
        CHECK(Tracker.verdict().Outcome_ != Outcome::NotRun);
    }
  });
}

} // namespace marigold::calls
