#include "ConfigBench.h"

#include "Config/Delta.h"
#include "Config/TextParser.h"
#include "Support/Archive.h"

#include <algorithm>
#include <cstdio>
#include <functional>
#include <string>
#include <vector>

namespace marigold::bench {
namespace {

constexpr unsigned Services = 180;
constexpr unsigned Repetitions = 15;
constexpr unsigned RouteRepetitions = 100'000;

/// Builds a configuration text with 180 services. Each service depends on the
/// next one in its group of ten, which keeps dependency chains shorter than 12.
std::string makeText(unsigned Routes, unsigned Slots) {
  std::string Text = "epoch: 1\nmesh: bench\nservices:\n";
  for (unsigned Service = 0; Service < Services; ++Service) {
    Text += "  service-" + std::to_string(Service) + ":\n";
    if (Service % 10 != 9)
      Text += "    depends_on: [service-" + std::to_string(Service + 1) + "]\n";
    Text += "    slots: " + std::to_string(Service == 0 ? Slots : 10) +
            "\n    objective:\n      availability: 99.9%\n      latency: "
            "50ms\n      latency_ratio: 99%\n    routes:\n";
    for (unsigned Route = 0; Route < Routes; ++Route)
      Text += "      - path: /route-" + std::to_string(Route) +
              "\n        methods: [GET, HEAD]\n        repeatable: true\n      "
              "  deadline: 300ms\n        priority: normal\n        max_body: "
              "64KiB\n";
  }
  return Text;
}

/// Median duration of Run in microseconds.
double medianMicroseconds(const std::function<void()> &Run) {
  std::vector<double> Times;
  for (unsigned Index = 0; Index < Repetitions; ++Index) {
    auto Start = std::chrono::steady_clock::now();
    Run();
    Times.push_back(std::chrono::duration<double, std::micro>(
                        std::chrono::steady_clock::now() - Start)
                        .count());
  }
  std::sort(Times.begin(), Times.end());
  return Times[Times.size() / 2];
}

bool benchText(unsigned Routes) {
  std::string Text = makeText(Routes, 10);
  auto Model = config::parseText(Text, "bench");
  auto Changed = config::parseText(makeText(Routes, 11), "bench");
  if (!Model || !Changed)
    return false;
  double Parse =
      medianMicroseconds([&] { (void)config::parseText(Text, "bench"); });
  auto Old = config::buildSnapshot(Model.value(), {1, 1});
  auto New = config::buildSnapshot(Changed.value(), {1, 2});
  auto Delta = config::makeDelta(*Old, *New);
  auto Image = config::toImage(*New);
  bool Valid = config::applyDelta(*Old, Delta).has_value() &&
               config::fromImage(Image).has_value();
  double Apply =
      medianMicroseconds([&] { (void)config::applyDelta(*Old, Delta); });
  double Whole = medianMicroseconds([&] { (void)config::fromImage(Image); });
  double Match = medianMicroseconds([&] {
    for (unsigned Index = 0; Index < RouteRepetitions; ++Index)
      (void)New->matchRoute("service-90", "GET", "/route-0/item");
  });
  std::printf("bench=config services=%u routes=%u text_bytes=%zu parse_us=%.0f "
              "delta_bytes=%zu apply_delta_us=%.0f image_bytes=%zu "
              "whole_us=%.0f match_ns=%.0f\n",
              Services, Services * Routes, Text.size(), Parse,
              encodeBody(Delta).size(), Apply, encodeBody(Image).size(), Whole,
              Match * 1000 / RouteRepetitions);
  return Valid;
}

} // namespace

int runConfigBench() {
  // With 36 routes per service the text is close to the limit of 1 MiB.
  for (unsigned Routes : {1, 3, 10, 36})
    if (!benchText(Routes))
      return 1;
  return 0;
}

} // namespace marigold::bench
