#include "Transport/EgressPacer.h"

#include <doctest/doctest.h>

namespace marigold::transport {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct BucketFixture {
  TimePoint Now_{seconds(1000)};
  /// A link of 9 Mbit/s.
  EgressBucket Bucket_{9e6 / 8, Now_};
};

} // namespace

// Guards against a link whose queue fills with large bodies.
TEST_CASE_FIXTURE(BucketFixture,
                  "large bodies stay below the rate of the link") {
  std::size_t Sent = 0;
  for (int Step = 0; Step < 10'000; ++Step) {
    Now_ += milliseconds(1);
    while (Bucket_.allow(16'384, Now_))
      Sent += 16'384;
  }
  // Ten seconds of the link, and the burst at the start.
  CHECK(Sent <= 11'250'000);
  CHECK(Sent >= 11'250'000 * 9 / 10);
}

// Guards against an urgent message that waits, and against a rate that does not
// count it.
TEST_CASE_FIXTURE(BucketFixture, "small messages pass and are paid for later") {
  Bucket_.charge(1'000'000, Now_);
  CHECK_FALSE(Bucket_.allow(16'384, Now_));
  Duration Wait = Bucket_.wait(Now_);
  CHECK(Wait > milliseconds(800));
  CHECK_FALSE(Bucket_.allow(16'384, Now_ + Wait / 2));
  CHECK(Bucket_.allow(16'384, Now_ + Wait));
}

TEST_CASE_FIXTURE(BucketFixture,
                  "time of a transfer includes what is before it") {
  Duration Alone = Bucket_.transferTime(90'000, Now_);
  CHECK(Alone > milliseconds(75));
  CHECK(Alone < milliseconds(100));
  Bucket_.charge(122'768, Now_);
  CHECK(Bucket_.transferTime(90'000, Now_) > Alone + milliseconds(70));
  CHECK(Bucket_.timeAlone(90'000) == Alone);
}

} // namespace marigold::transport
