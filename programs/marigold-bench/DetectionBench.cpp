#include "DetectionBench.h"

#include "Mesh/InMemoryMesh.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace marigold::bench {

using namespace std::chrono_literals;

namespace {

constexpr std::size_t NodeCount = 50;
constexpr std::size_t CrashCount = 100;

double quantile(std::vector<double> Samples, double Share) {
  if (Samples.empty())
    return 0;
  std::sort(Samples.begin(), Samples.end());
  auto Last = static_cast<double>(Samples.size() - 1);
  return Samples[static_cast<std::size_t>(std::lround(Share * Last))];
}

void measure(double Loss, std::uint64_t Seed) {
  testing::InMemoryMesh Mesh(NodeCount, Seed);
  Random Rng(Seed);
  Mesh.publish();
  Mesh.run(30s);
  Mesh.Faults_.Loss_ = Loss;
  TimePoint Begin = Mesh.now();
  std::size_t BytesBefore = Mesh.DatagramBytes_;
  std::vector<double> First;
  std::vector<double> All;
  for (std::size_t Count = 0; Count < CrashCount; ++Count) {
    std::size_t CrashedNode = Rng.below(NodeCount);
    Mesh.crash(CrashedNode);
    TimePoint Crash = Mesh.now();
    for (TimePoint End = Crash + 40s; Mesh.now() < End;) {
      Mesh.run(20ms);
      double Passed = std::chrono::duration<double>(Mesh.now() - Crash).count();
      if (First.size() == Count &&
          Mesh.Deaths_.contains(Mesh.idOf(CrashedNode)))
        First.push_back(Passed);
      if (All.size() == Count &&
          Mesh.nodesSeeing(CrashedNode, HostState::Ready) == 0)
        All.push_back(Passed);
    }
    // An undetected crash counts as 40 s, the time that was waited for it.
    First.resize(Count + 1, 40);
    All.resize(Count + 1, 40);
    Mesh.start(CrashedNode);
    Mesh.run(20s);
  }
  double Hours =
      std::chrono::duration<double, std::ratio<3600>>(Mesh.now() - Begin)
          .count() *
      NodeCount;
  std::printf("bench=detection nodes=%zu loss=%.2f crashes=%zu "
              "first_death_p50_s=%.2f first_death_p99_s=%.2f "
              "no_node_ready_p50_s=%.2f no_node_ready_p99_s=%.2f "
              "false_deaths=%zu node_hours=%.1f probe_bytes_per_node_s=%.0f "
              "violations=%zu\n",
              NodeCount, Loss, CrashCount, quantile(First, 0.5),
              quantile(First, 0.99), quantile(All, 0.5), quantile(All, 0.99),
              Mesh.FalseDeaths_, Hours,
              double(Mesh.DatagramBytes_ - BytesBefore) / (Hours * 3600),
              Mesh.Violations_.size());
}

} // namespace

int runDetectionBench(std::uint64_t Seed) {
  for (double Loss : {0.0, 0.05, 0.2})
    measure(Loss, Seed);
  return 0;
}

} // namespace marigold::bench
