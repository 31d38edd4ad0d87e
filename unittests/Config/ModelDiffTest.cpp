#include "Config/ModelDiff.h"

#include <doctest/doctest.h>

namespace marigold::config {

// Guards against changes that are missing from the diff shown to a reviewer.
TEST_CASE("diff of two models names each change in the form of the text") {
  ServiceModel Old{1, "m", {defaultService("a"), defaultService("b")}};
  ServiceModel New = Old;
  New.Epoch_ = 2;
  New.Services_[0].Slots_ = 12;
  New.Services_[0].DependsOn_ = {"c"};
  New.Services_[0].Objective_.Latency_ = std::chrono::milliseconds(1500);
  New.Services_[0].Routes_[0].Repeatable_ = true;
  New.Services_[0].Routes_[0].MaxBody_ = 65536;
  New.Services_[1] = defaultService("c");
  std::string Lines;
  for (const ModelChange &Change : diffModels(Old, New))
    Lines += toText(Change) + "\n";
  const std::string Route = "route DELETE,GET,HEAD,OPTIONS,PATCH,POST,PUT /";
  const std::string Service =
      "slots=10 queue=20 connections=100 slow_start=10s cold_time=0ms "
      "cold_rate=0 objective "
      "availability=99.9% objective latency=500ms objective latency_ratio=99%";
  const std::string Values =
      "repeatable=false deadline=5s priority=normal max_body=1MiB";
  CHECK(Lines == "~ epoch: 1 -> 2\n"
                 "~ service a slots: 10 -> 12\n"
                 "~ service a objective latency: 500ms -> 1500ms\n"
                 "+ service a depends_on: c\n"
                 "~ service a " +
                     Route +
                     " repeatable: false -> true\n"
                     "~ service a " +
                     Route +
                     " max_body: 1MiB -> 64KiB\n"
                     "- service b: " +
                     Service +
                     "\n"
                     "- service b " +
                     Route + ": " + Values +
                     "\n"
                     "+ service c: " +
                     Service +
                     "\n"
                     "+ service c " +
                     Route + ": " + Values + "\n");
  CHECK(diffModels(Old, Old).empty());
}

} // namespace marigold::config
