#include "Ctl/LogRecord.h"

#include <doctest/doctest.h>

namespace marigold::ctl {
namespace {

using std::chrono::milliseconds;

struct LogRecordFixture {
  LogRecord Record_;

  LogLineKind parse(std::string_view Line) {
    return parseLogLine(Line, Record_);
  }
};

} // namespace

// Guards against taking the log collector's timestamp for that of the line.
TEST_CASE_FIXTURE(LogRecordFixture,
                  "line behind a collector's prefix is read") {
  REQUIRE(parse("2026-12-04T10:00:00.000 node-3 2026-12-04T09:59:58.250 INFO "
                "event=own_state host=10.1.0.2:7400 state=ready") ==
          LogLineKind::Record);
  CHECK(Record_.Time_ ==
        std::chrono::sys_days(std::chrono::December / 4 / 2026) +
            std::chrono::hours(9) + milliseconds(59 * 60000 + 58250));
  CHECK(Record_.Event_ == "own_state");
  CHECK(Record_.field("state") == "ready");
  CHECK(Record_.field("host") == "10.1.0.2:7400");
  CHECK(Record_.field("missing").empty());
}

// Guards against a caller forging a field with a value that contains quotes.
TEST_CASE_FIXTURE(LogRecordFixture, "quoted value with a field in it is one") {
  REQUIRE(parse("2026-12-04T10:00:00.000 INFO event=call_ended "
                R"(id="a b=\"c\" outcome=ok" outcome=not-run tried="")") ==
          LogLineKind::Record);
  CHECK(Record_.field("id") == R"(a b="c" outcome=ok)");
  CHECK(Record_.field("outcome") == "not-run");
  CHECK(Record_.field("tried").empty());
}

TEST_CASE_FIXTURE(LogRecordFixture, "line of another program is skipped") {
  CHECK(parse("") == LogLineKind::Other);
  CHECK(parse("2026-12-04T10:00:00.000 INFO started") == LogLineKind::Other);
}

// Guards against accepting a truncated line as a complete record.
TEST_CASE_FIXTURE(LogRecordFixture, "line that was cut is malformed") {
  const std::string Head = "2026-12-04T10:00:00.000 INFO event=call_ended ";
  CHECK(parse(Head + "id=\"a b") == LogLineKind::Malformed);
  CHECK(parse(Head + "id=a outc") == LogLineKind::Malformed);
  CHECK(parse("event=call_ended id=a") == LogLineKind::Malformed);
  CHECK(parse("2026-13-41T10:00:00.000 INFO event=x") ==
        LogLineKind::Malformed);
}

} // namespace marigold::ctl
