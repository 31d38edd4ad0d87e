#include "Ctl/CallHistory.h"

#include <doctest/doctest.h>

namespace marigold::ctl {
namespace {

const std::string Caller = "host=10.1.0.2:7400 failure_domain=quito ";
const std::string Target = "host=10.2.0.3:7400 failure_domain=ambato ";

struct CallHistoryFixture {
  CallHistory History_{"9f1c"};

  void add(const std::string &Time, const std::string &Fields) {
    LogRecord Record;
    REQUIRE(parseLogLine("2026-12-04T10:00:" + Time + " INFO " + Fields,
                         Record) == LogLineKind::Record);
    History_.add(Record);
  }
  bool textContains(const std::string &Text) const {
    return History_.text().find(Text) != std::string::npos;
  }
};

} // namespace

// Guards against an id that matches a longer id without a dot in between.
TEST_CASE_FIXTURE(CallHistoryFixture, "request of other lines is not found") {
  add("01.000", "event=call_ended " + Caller + "id=9f1cd outcome=ok");
  add("01.000", "event=own_state " + Caller + "state=ready");
  CHECK_FALSE(History_.found());
}

// Guards against state that was logged after a decision being shown as an
// input of that decision.
TEST_CASE_FIXTURE(CallHistoryFixture,
                  "refused request shows what both nodes believed then") {
  add("00.100", "event=version_adopted " + Caller + "adopted=1.7");
  add("00.900", "event=targets_read " + Caller + "targets=7");
  add("01.900", "event=targets_read " + Caller + "targets=6");
  add("01.060", "event=call_ended " + Caller +
                    "id=9f1c outcome=not-run status=503 "
                    "reason=attempts-exhausted "
                    "tried=10.2.0.3:7400/draining latency_ms=60");
  add("00.500", "event=own_target " + Target + "instance=i-4 leaving=true");
  add("01.040", "event=target_call " + Target +
                    "id=9f1c decision=refused reason=draining running=2");
  REQUIRE(History_.found());
  CHECK(textContains(
      "+0 ms  10.2.0.3:7400 (ambato) at the target: refused, draining"));
  CHECK(textContains("+20 ms  10.1.0.2:7400 (quito) ended the call: not-run"));
  CHECK(textContains("version_adopted adopted=1.7 960 ms before"));
  CHECK(textContains("targets_read targets=7 160 ms before"));
  CHECK_FALSE(textContains("targets=6"));
  CHECK(textContains("own_target instance=i-4 leaving=true 540 ms before"));
  CHECK(textContains(
      "cause: the last of 1 attempts, at 10.2.0.3:7400, ended with "
      "draining"));
  CHECK_FALSE(textContains("no line of that host"));
}

// Guards against attributing a refusal to a target that was never called.
TEST_CASE_FIXTURE(CallHistoryFixture,
                  "request refused by the caller's node names that node") {
  add("01.000", "event=call_ended " + Caller +
                    "id=9f1c outcome=not-run status=503 reason=no-route "
                    "tried=\"\"");
  CHECK(
      textContains("decided by the caller's node before any target was asked"));
}

// Guards against attributing an error response of the target to a node.
TEST_CASE_FIXTURE(CallHistoryFixture,
                  "failure that the target answered is told as its own") {
  add("01.000", "event=call_ended " + Caller +
                    "id=9f1c outcome=ok status=500 reason=answered "
                    "tried=10.3.0.9:7400/ok,10.2.0.3:7400/ok");
  CHECK(textContains("the target at 10.2.0.3:7400 answered so, after 1 other"));
}

// Guards against taking the end of a nested call for the end of the request.
TEST_CASE_FIXTURE(CallHistoryFixture,
                  "nested call is told apart from the request") {
  add("01.000", "event=call_ended " + Caller +
                    "id=9f1c.77 outcome=not-run status=503 "
                    "reason=hopeless-wait tried=\"\"");
  CHECK(textContains("nested call 9f1c.77"));
  CHECK(textContains("end: no line of the caller's node"));
  add("01.100", "event=call_ended " + Target +
                    "id=9f1c outcome=unknown status=502 reason=target-lost "
                    "tried=10.3.0.9:7400/queue-full,10.2.0.8:7400/target-lost");
  CHECK(textContains("end: unknown, status 502, target-lost"));
  CHECK(textContains("the last of 2 attempts, at 10.2.0.8:7400"));
  CHECK(textContains("no line of that host is in these logs"));
}

} // namespace marigold::ctl
