#include "Support/Metrics.h"

#include <doctest/doctest.h>

namespace marigold {
namespace {

using std::chrono::milliseconds;

struct MetricsFixture {
  MetricsRegistry Registry_;

  void observe(Duration Sample, std::string_view Route = "/a") {
    Registry_.observe(Metric::CallLatencySeconds, Sample, "desk", Route);
  }
  bool shows(const std::string &Line) const {
    return Registry_.render().find("\nmarigold_call_latency_seconds" + Line +
                                   "\n") != std::string::npos;
  }
};

} // namespace

// Guards against buckets that are not cumulative and against counting a sample
// equal to a bound in the next bucket.
TEST_CASE_FIXTURE(MetricsFixture, "histogram counts samples up to each bound") {
  observe(milliseconds(1));
  observe(milliseconds(60));
  observe(milliseconds(100));
  observe(std::chrono::seconds(30));
  const std::string Labels = R"({service="desk",route="/a")";
  CHECK(shows("_bucket" + Labels + R"(,le="0.0005"} 0)"));
  CHECK(shows("_bucket" + Labels + R"(,le="0.001"} 1)"));
  CHECK(shows("_bucket" + Labels + R"(,le="0.05"} 1)"));
  CHECK(shows("_bucket" + Labels + R"(,le="0.1"} 3)"));
  CHECK(shows("_bucket" + Labels + R"(,le="10"} 3)"));
  CHECK(shows("_bucket" + Labels + R"(,le="+Inf"} 4)"));
  CHECK(shows("_count" + Labels + "} 4"));
}

// Guards against memory use that grows with the number of routes.
TEST_CASE_FIXTURE(MetricsFixture,
                  "histogram counts series beyond the limit as other") {
  for (int Route = 0; Route < 150; ++Route)
    observe(milliseconds(1), "/" + std::to_string(Route));
  CHECK(shows(R"(_count{service="desk",route="/0"} 1)"));
  CHECK_FALSE(shows(R"(_count{service="desk",route="/149"} 1)"));
  CHECK(shows(R"(_count{service="other",route="other"} 50)"));
  observe(milliseconds(1), "/0");
  CHECK(shows(R"(_count{service="desk",route="/0"} 2)"));
}

} // namespace marigold
