#include "Admission/TransferForecast.h"
#include "Admission/AdmissionControl.h"

#include <doctest/doctest.h>

namespace marigold::admission {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against small urgent answers that are counted as a load of the link.
TEST_CASE("forecast of small answers is nothing") {
  TransferForecast Forecast;
  Forecast.onEnded(1, Priority::Normal, 5000);
  CHECK(Forecast.bytesFor(Priority::Normal) == 0);
}

TEST_CASE("forecast of large answers counts those under way") {
  TransferForecast Forecast;
  Forecast.onEnded(1, Priority::Background, 90'000);
  CHECK(Forecast.bytesFor(Priority::Background) == 90'000);
  Forecast.onAdmitted(2, Priority::Background);
  CHECK(Forecast.bytesFor(Priority::Background) == 180'000);
  Forecast.onEnded(2, Priority::Background, 0);
  CHECK(Forecast.bytesFor(Priority::Background) == 90'000);
  CHECK(Forecast.bytesFor(Priority::Normal) == 0);
}

// Replays downloads beyond the rate of a link of 9 Mbit/s: those whose answers
// would wait for the link beyond their objective are refused at once although
// slots are free.
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
