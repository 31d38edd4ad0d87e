#include "Calls/RequestAge.h"

#include "../TestSeed.h"

#include <doctest/doctest.h>

namespace marigold::calls {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct RequestAgeFixture {
  /// A first request of a caller that waits a second, or up to 15 % less.
  Duration first() {
    Now_ += milliseconds(2);
    return Age_.onRequest(firstWait(), Now_);
  }

  Duration firstWait() {
    return milliseconds(850) + Rng_.upTo(milliseconds(150));
  }

  Random Rng_{testSeed(5)};
  TimePoint Now_{std::chrono::hours(1)};
  RequestAge Age_;
};

} // namespace

TEST_CASE_FIXTURE(RequestAgeFixture, "age of first requests is zero") {
  for (int Count = 0; Count < 20'000; ++Count)
    REQUIRE(first() == Duration::zero());
}

// Replays callers that return 100 to 400 ms after a refusal.
TEST_CASE_FIXTURE(RequestAgeFixture,
                  "age of a returning request is estimated from its wait") {
  for (int Count = 0; Count < 1000; ++Count)
    first();
  for (int Count = 0; Count < 1000; ++Count) {
    first();
    Duration Since = milliseconds(100) + Rng_.upTo(milliseconds(300));
    Duration Estimated = Age_.onRequest(firstWait() - Since, Now_);
    // The wait of the first request is only known to 75 ms. A request that
    // returns soon may look like a first one.
    CHECK(Estimated <= Since + milliseconds(85));
    CHECK((Estimated >= Since - milliseconds(85) || Since < milliseconds(160)));
  }
}

// Guards against ages that are derived from a few unusual requests.
TEST_CASE_FIXTURE(RequestAgeFixture, "age is zero until waits are known") {
  CHECK(Age_.onRequest(milliseconds(900), Now_) == Duration::zero());
  CHECK(Age_.onRequest(milliseconds(400), Now_) == Duration::zero());
}

// Guards against taking all requests for returning ones after the callers of a
// route have shortened their waits.
TEST_CASE_FIXTURE(RequestAgeFixture, "age follows callers that wait less") {
  for (int Count = 0; Count < 100; ++Count)
    first();
  TimePoint Changed = Now_;
  Duration Last = Duration::zero();
  for (; Now_ < Changed + seconds(30); Now_ += milliseconds(10))
    Last = Age_.onRequest(milliseconds(500), Now_);
  CHECK(Last == Duration::zero());
  CHECK(Age_.onRequest(milliseconds(300), Now_) > milliseconds(150));
}

} // namespace marigold::calls
