#include "Admission/TransferForecast.h"
#include "Admission/AdmissionControl.h"

#include <doctest/doctest.h>

namespace marigold::admission {

namespace {

constexpr std::uint32_t Document = 1;
constexpr std::uint32_t ShortCall = 2;

} // namespace

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against small answers that are counted as load on the link.
TEST_CASE("forecast of small answers is nothing") {
  TransferForecast Forecast;
  Forecast.onEnded(1, ShortCall, 5000);
  CHECK(Forecast.loadOf(ShortCall).AnswerBytes_ == 0);
}

TEST_CASE("forecast of large answers counts those under way") {
  TransferForecast Forecast;
  Forecast.onEnded(1, ShortCall, 1'500);
  Forecast.onEnded(1, Document, 90'000);
  CHECK(Forecast.loadOf(Document).AnswerBytes_ == 90'000);
  CHECK(Forecast.loadOf(Document).PendingBytes_ == 0);
  Forecast.onAdmitted(2, Document);
  CHECK(Forecast.loadOf(Document).PendingBytes_ == 90'000);
  Forecast.onEnded(2, Document, 0);
  CHECK(Forecast.loadOf(Document).PendingBytes_ == 0);
  CHECK(Forecast.loadOf(ShortCall).AnswerBytes_ == 0);
}

// Guards against documents that are expected to be as small as short calls, so
// that more of them are admitted than the link can carry. Simulates downloads
// among 15 times as many short calls of the same priority.
TEST_CASE("forecast of documents does not change with short calls") {
  TransferForecast Forecast;
  std::uint64_t Id = 0;
  for (int Round = 0; Round < 20; ++Round) {
    Forecast.onEnded(++Id, Document, 280'000);
    for (int Call = 0; Call < 15; ++Call)
      Forecast.onEnded(++Id, ShortCall, 1'500);
  }
  CHECK(Forecast.loadOf(ShortCall).AnswerBytes_ == 0);
  CHECK(Forecast.loadOf(Document).AnswerBytes_ == 280'000);
}

// Guards against a new kind of short call that is refused like a document, so
// that its actual size is never learned.
TEST_CASE("forecast of a kind not known yet is nothing") {
  TransferForecast Forecast;
  Forecast.onEnded(1, Document, 280'000);
  Forecast.onAdmitted(2, Document);
  CHECK(Forecast.loadOf(ShortCall).AnswerBytes_ == 0);
}

// Guards against kinds of removed routes that keep new kinds out of the table.
TEST_CASE("forecast forgets the kind that was learned the longest ago") {
  TransferForecast Forecast;
  constexpr std::uint32_t Kinds = 3 * EstimatesByKind<int>::MaxKinds_;
  for (std::uint32_t Kind = 0; Kind < Kinds; ++Kind)
    Forecast.onEnded(Kind, Kind, 1'500);
  Forecast.onEnded(Kinds, Kinds, 280'000);
  CHECK(Forecast.loadOf(Kinds).AnswerBytes_ == 280'000);
}

// Guards against downloads on many routes that all count as small, so that a
// node takes on more of them than its link can carry: their kinds displace one
// another in the table. The configuration has grown by many routes, to which
// the downloads go in turn.
TEST_CASE("forecast of downloads on many routes knows their size") {
  for (std::uint32_t Routes : {400U, 7'000U}) {
    CAPTURE(Routes);
    TransferForecast Forecast;
    std::uint64_t Id = 0;
    for (int Round = 0; Round < 3; ++Round)
      for (std::uint32_t Kind = 0; Kind < Routes; ++Kind)
        Forecast.onEnded(++Id, Kind, 280'000);
    for (std::uint32_t Kind = 0; Kind < Routes; ++Kind)
      REQUIRE(Forecast.loadOf(Kind).AnswerBytes_ == 280'000);
    Forecast.onAdmitted(++Id, 0);
    CHECK(Forecast.loadOf(1).PendingBytes_ == 280'000);
    Forecast.onEnded(Id, 0, 0);
    CHECK(Forecast.loadOf(1).PendingBytes_ == 0);
  }
}

// Guards against downloads beyond the bandwidth of a 9 Mbit/s link that are
// admitted because slots are free, although their answers would wait for the
// link beyond the objective.
TEST_CASE("answer that would wait for the link too long is refused") {
  AdmissionControl Control({.Slots_ = 9, .Queue_ = 18, .Adaptive_ = false});
  TimePoint Now{seconds(1000)};
  CallTicket Ticket{1, Priority::Background, Now + seconds(2),
                    Now + milliseconds(600), milliseconds(700)};
  Submission Refused = Control.submit(Ticket, Now);
  CHECK(Refused.Admission_ == Admission::Refuse);
  CHECK(Refused.Reason_ == ErrorCode::HopelessWait);
  Ticket.Transfer_ = milliseconds(80);
  CHECK(Control.submit(Ticket, Now).Admission_ == Admission::Run);
}

} // namespace marigold::admission
