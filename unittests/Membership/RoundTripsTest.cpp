#include "Membership/RoundTrips.h"

#include <doctest/doctest.h>

namespace marigold::membership {

using std::chrono::milliseconds;

// Guards against a delay that does not show because the probe was given up, and
// against one that an answer of another host, or a second one, makes up.
TEST_CASE("round trip is measured once for the host that was probed") {
  RoundTrips Trips;
  TimePoint Start{std::chrono::seconds(10)};
  Trips.sent(1, {1, 7400}, Start);
  CHECK_FALSE(Trips.answered(2, {1, 7400}, Start));
  CHECK_FALSE(Trips.answered(1, {2, 7400}, Start));
  CHECK(Trips.answered(1, {1, 7400}, Start + milliseconds(2400)) ==
        Duration(milliseconds(2400)));
  CHECK_FALSE(Trips.answered(1, {1, 7400}, Start + milliseconds(2500)));
}

// Guards against memory that grows with probes that nobody answers.
TEST_CASE("unanswered probes are forgotten, the oldest first") {
  RoundTrips Trips;
  TimePoint Start{std::chrono::seconds(10)};
  for (std::uint32_t Sequence = 1; Sequence <= RoundTrips::MaxPending_ + 1;
       ++Sequence)
    Trips.sent(Sequence, {1, 7400}, Start);
  CHECK_FALSE(Trips.answered(1, {1, 7400}, Start));
  CHECK(Trips.answered(2, {1, 7400}, Start));
}

} // namespace marigold::membership
