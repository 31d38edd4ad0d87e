#include "Admission/AdmissionControl.h"

#include "../TestSeed.h"

#include <algorithm>
#include <map>

namespace marigold::admission {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Code = ErrorCode;

struct AdmissionFixture {
  TimePoint Now_{seconds(1000)};
  AdmissionControl Control_{{.Slots_ = 2, .Queue_ = 2, .Adaptive_ = false}};

  Submission submit(std::uint64_t Id, Priority Value = Priority::Normal,
                    Duration Remaining = seconds(1)) {
    return Control_.submit({Id, Value, Now_ + Remaining}, Now_);
  }
  AdmissionActions finish(std::uint64_t Id, Duration Latency = {}) {
    return Control_.finish(Id, {.Latency_ = Latency}, Now_);
  }
  /// Submits two requests that run (1, 2) and two that are queued (3, 4).
  void fill(Priority Queued) {
    submit(1);
    submit(2);
    REQUIRE(submit(3, Queued).Admission_ == Admission::Queue);
    REQUIRE(submit(4, Queued).Admission_ == Admission::Queue);
  }
};

/// Adds complete windows of samples; Limited tells whether the limit was
/// reached.
void feedWindows(AdaptiveLimit &Limit, TimePoint &Now, int Windows,
                 Duration Latency, bool Failed = false, bool Limited = true) {
  for (int Sample = 0; Sample < Windows * 20; ++Sample) {
    Now += milliseconds(10);
    Limit.onSample(Latency, Failed, Limited ? Limit.limit() : 0, Now);
  }
}

} // namespace

TEST_CASE_FIXTURE(AdmissionFixture, "requests run, queue, then are refused") {
  CHECK(submit(1).Admission_ == Admission::Run);
  CHECK(submit(2).Admission_ == Admission::Run);
  CHECK(submit(3).Admission_ == Admission::Queue);
  CHECK(submit(4).Admission_ == Admission::Queue);
  Submission Fifth = submit(5);
  CHECK(Fifth.Admission_ == Admission::Refuse);
  CHECK(Fifth.Reason_ == Code::QueueFull);
  CHECK(Control_.load(Now_) == LoadReport{2, 2, 2});
}

// Guards against a slot that is released twice, so that more requests run than
// there are slots.
TEST_CASE_FIXTURE(AdmissionFixture, "finish of an unknown ticket is ignored") {
  fill(Priority::Normal);
  CHECK(finish(1).Start_ == std::vector<std::uint64_t>{3});
  CHECK(finish(1).Start_.empty());
  CHECK(finish(99).Start_.empty());
  CHECK(Control_.running() == 2);
}

TEST_CASE_FIXTURE(AdmissionFixture, "queue starts the important ones first") {
  submit(1);
  submit(2);
  submit(3, Priority::Background);
  submit(4, Priority::Critical);
  CHECK(finish(1).Start_ == std::vector<std::uint64_t>{4});
  CHECK(finish(2).Start_ == std::vector<std::uint64_t>{3});
}

TEST_CASE_FIXTURE(AdmissionFixture, "important arrival displaces the latest "
                                    "of the least important") {
  fill(Priority::Background);
  Submission Result = submit(5, Priority::Critical);
  CHECK(Result.Admission_ == Admission::Queue);
  CHECK(Result.Displaced_ == RefusedTicket{4, Code::Shed});
  CHECK(submit(6, Priority::Background).Reason_ == Code::QueueFull);
  CHECK(submit(7, Priority::Normal).Displaced_ == RefusedTicket{3, Code::Shed});
  CHECK(submit(8, Priority::Background).Reason_ == Code::Shed);
  CHECK(submit(9, Priority::Critical).Displaced_ ==
        RefusedTicket{7, Code::Shed});
  CHECK_FALSE(submit(10, Priority::Critical).Displaced_);
}

// Guards against runs that miss their deadline and take slots from requests
// that could meet theirs.
TEST_CASE_FIXTURE(AdmissionFixture, "deadline that cannot be met is refused") {
  submit(1);
  submit(2);
  finish(1, milliseconds(100));
  submit(3);
  CHECK(submit(4, Priority::Normal, milliseconds(120)).Reason_ ==
        Code::HopelessWait);
  CHECK(submit(5, Priority::Normal, milliseconds(160)).Admission_ ==
        Admission::Queue);
  CHECK(submit(6, Priority::Normal, Duration::zero()).Reason_ ==
        Code::DeadlineBeforeRun);
}

TEST_CASE_FIXTURE(AdmissionFixture, "queued work past its deadline leaves") {
  submit(1);
  submit(2);
  submit(3, Priority::Normal, milliseconds(10));
  submit(4, Priority::Normal, milliseconds(20));
  CHECK(Control_.nextExpiry() == Now_ + milliseconds(10));
  Now_ += milliseconds(10);
  CHECK(Control_.expire(Now_).Refuse_ ==
        std::vector<RefusedTicket>{{3, Code::DeadlineBeforeRun}});
  Now_ += milliseconds(10);
  AdmissionActions Actions = finish(1);
  CHECK(Actions.Start_.empty());
  CHECK(Actions.Refuse_ ==
        std::vector<RefusedTicket>{{4, Code::DeadlineBeforeRun}});
}

TEST_CASE_FIXTURE(AdmissionFixture, "cancelled work leaves only the queue") {
  fill(Priority::Normal);
  CHECK(Control_.cancel(3, Now_).Refuse_ ==
        std::vector<RefusedTicket>{{3, Code::CancelledBeforeRun}});
  CHECK(Control_.cancel(1, Now_).Refuse_.empty());
  CHECK(Control_.running() == 2);
}

TEST_CASE_FIXTURE(AdmissionFixture, "drain refuses the queue, not the runs") {
  fill(Priority::Critical);
  CHECK(Control_.beginDrain(Now_).Refuse_ ==
        std::vector<RefusedTicket>{{3, Code::Draining}, {4, Code::Draining}});
  CHECK(submit(5).Reason_ == Code::Draining);
  CHECK(Control_.running() == 2);
  finish(1);
  CHECK(submit(6).Reason_ == Code::Draining);
}

TEST_CASE_FIXTURE(AdmissionFixture, "lost target refuses until it is back") {
  fill(Priority::Normal);
  CHECK(Control_.targetDown(Now_).Refuse_.size() == 2);
  finish(1);
  CHECK(submit(5).Reason_ == Code::TargetDown);
  Control_.targetUp();
  CHECK(submit(6).Admission_ == Admission::Run);
}

TEST_CASE_FIXTURE(AdmissionFixture, "smaller configuration sheds the queue") {
  fill(Priority::Normal);
  AdmissionActions Actions = Control_.configure(1, 1, Now_);
  CHECK(Actions.Refuse_ == std::vector<RefusedTicket>{{4, Code::Shed}});
  CHECK(finish(1).Start_.empty());
  CHECK(finish(2).Start_ == std::vector<std::uint64_t>{3});
}

TEST_CASE("adaptive limit falls with rising latency and recovers") {
  TimePoint Now{seconds(1000)};
  AdaptiveLimit Limit(100);
  feedWindows(Limit, Now, 5, milliseconds(10));
  CHECK(Limit.limit() == 100);
  feedWindows(Limit, Now, 10, milliseconds(40));
  CHECK(Limit.limit() < 20);
  CHECK(Limit.limit() >= 4);
  feedWindows(Limit, Now, 30, milliseconds(10));
  CHECK(Limit.limit() == 100);
}

// Guards against a limit that falls because of slow requests although the
// target is not overloaded.
TEST_CASE("adaptive limit ignores latency while it is not reached") {
  TimePoint Now{seconds(1000)};
  AdaptiveLimit Limit(100);
  feedWindows(Limit, Now, 5, milliseconds(10));
  feedWindows(Limit, Now, 20, milliseconds(90), false, false);
  CHECK(Limit.limit() == 100);
}

TEST_CASE("adaptive limit stays between 1 and the slots") {
  TimePoint Now{seconds(1000)};
  AdaptiveLimit Limit(8);
  feedWindows(Limit, Now, 100, milliseconds(10), true);
  CHECK(Limit.limit() == 1);
  Limit.setSlots(4);
  feedWindows(Limit, Now, 50, milliseconds(10));
  CHECK(Limit.limit() == 4);
  Limit.setSlots(0);
  CHECK(Limit.limit() == 1);
}

// Guards against permanent throttling of a target whose latency rose for good.
TEST_CASE("adaptive limit accepts a lasting change of latency") {
  TimePoint Now{seconds(1000)};
  AdaptiveLimit Limit(50);
  feedWindows(Limit, Now, 5, milliseconds(10));
  feedWindows(Limit, Now, 400, milliseconds(40));
  CHECK(Limit.limit() == 50);
}

// Guards against a baseline that drifts upwards with the latency of a long
// overload and raises the limit.
TEST_CASE("adaptive limit holds through a long overload") {
  TimePoint Now{seconds(1000)};
  AdaptiveLimit Limit(100);
  feedWindows(Limit, Now, 5, milliseconds(10));
  // Up to ten concurrent runs take 10 ms; more of them share that capacity.
  for (int Window = 0; Window < 2000; ++Window) {
    feedWindows(Limit, Now, 1, milliseconds(std::max(10U, Limit.limit())));
    REQUIRE(Limit.limit() <= (Window < 20 ? 100 : 30));
  }
}

// Guards against runs beyond the slots, tickets that are lost or end twice,
// slots that stay free while requests wait, and the outcome NotRun for a
// request that ran.
TEST_CASE("admission keeps its invariants in any order of events") {
  enum class Phase { Queued, Running, Refused, Finished };
  forEachSeed(300, [](Random &Rng) {
    std::uint32_t Slots = 1 + static_cast<std::uint32_t>(Rng.below(4));
    AdmissionControl Control(
        {.Slots_ = Slots,
         .Queue_ = static_cast<std::uint32_t>(Rng.below(6)),
         .Adaptive_ = Rng.chance(0.5)});
    TimePoint Now{seconds(1000)};
    std::map<std::uint64_t, Phase> Tickets;
    auto Refuse = [&](const RefusedTicket &Ticket) {
      REQUIRE(Tickets.at(Ticket.Id_) == Phase::Queued);
      REQUIRE(errorOutcome(Ticket.Reason_) == Outcome::NotRun);
      Tickets[Ticket.Id_] = Phase::Refused;
    };
    auto Apply = [&](const AdmissionActions &Actions) {
      for (std::uint64_t Id : Actions.Start_) {
        REQUIRE(Tickets.at(Id) == Phase::Queued);
        Tickets[Id] = Phase::Running;
      }
      for (const RefusedTicket &Ticket : Actions.Refuse_)
        Refuse(Ticket);
    };
    bool Down = false;
    for (std::uint64_t Id = 1; Id < 400; ++Id) {
      Now += Rng.upTo(milliseconds(20));
      Submission Result =
          Control.submit({Id, static_cast<Priority>(Rng.below(PriorityCount)),
                          Now + Rng.upTo(milliseconds(200))},
                         Now);
      constexpr Phase Phases[]{Phase::Running, Phase::Queued, Phase::Refused};
      Tickets[Id] = Phases[static_cast<int>(Result.Admission_)];
      if (Result.Admission_ == Admission::Refuse)
        REQUIRE(errorOutcome(Result.Reason_) == Outcome::NotRun);
      if (Result.Displaced_)
        Refuse(*Result.Displaced_);
      std::uint64_t Any = 1 + Rng.below(Id);
      if (Rng.chance(0.9)) {
        bool Ran = Tickets[Any] == Phase::Running;
        if (Ran)
          Tickets[Any] = Phase::Finished;
        Apply(
            Control.finish(Any, {Rng.upTo(milliseconds(50)), Ran, false}, Now));
      }
      if (Rng.chance(0.2))
        Apply(Control.cancel(1 + Rng.below(Id), Now));
      if (Rng.chance(0.2))
        Apply(Control.expire(Now));
      if (Rng.chance(0.02)) {
        Down = !Down;
        if (Down)
          Apply(Control.targetDown(Now));
        else
          Control.targetUp();
      }
      if (Id == 380)
        Apply(Control.beginDrain(Now));
      std::uint32_t Running = 0;
      std::uint32_t Queued = 0;
      for (auto &[Number, State] : Tickets) {
        Running += State == Phase::Running;
        Queued += State == Phase::Queued;
      }
      REQUIRE(Running <= Slots);
      REQUIRE(Running == Control.running());
      REQUIRE(Queued == Control.queued());
      REQUIRE((Queued == 0 || Running >= Control.limit()));
      REQUIRE((Queued == 0 || (!Down && Id < 380)));
    }
  });
}

} // namespace marigold::admission
