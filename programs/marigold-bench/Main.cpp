#include "ChoiceBench.h"
#include "ConfigBench.h"
#include "DetectionBench.h"
#include "OverloadBench.h"
#include "ViewBench.h"

#include <cstdint>
#include <cstdio>
#include <string_view>

namespace {

constexpr std::uint64_t Seed = 1;

/// A benchmark that can be selected on the command line.
struct Benchmark {
  std::string_view Name_;
  int (*Run_)();
  const char *Help_;
};

constexpr Benchmark Benchmarks[] = {
    {"choice", [] { return marigold::bench::runChoiceBench(Seed); },
     "strategies under skew, cold start, false load, a failing domain"},
    {"config", [] { return marigold::bench::runConfigBench(); },
     "parsing, validation, deltas and route look-up"},
    {"detection", [] { return marigold::bench::runDetectionBench(Seed); },
     "detection of crashes and false deaths at 0, 5 and 20 % loss"},
    {"overload", [] { return marigold::bench::runOverloadBench(Seed); },
     "goodput of admission at 1, 2 and 3 times capacity"},
    {"view", [] { return marigold::bench::runViewBench(Seed); },
     "a host table of 3,000 hosts"},
};

void printUsage(std::FILE *Out) {
  std::fprintf(Out, "Usage: marigold-bench BENCHMARK\n\n"
                    "Measures one part in virtual time or in memory and prints "
                    "key=value lines.\n\nBenchmarks:\n");
  for (const Benchmark &Each : Benchmarks)
    std::fprintf(Out, "  %-10s %s\n", Each.Name_.data(), Each.Help_);
  std::fprintf(Out, "  --help\n  --version\n");
}

} // namespace

int main(int Argc, char **Argv) {
  std::string_view Name = Argc > 1 ? Argv[1] : "";
  for (const Benchmark &Each : Benchmarks)
    if (Each.Name_ == Name)
      return Each.Run_();
  if (Name == "--version") {
    std::printf("marigold-bench " MARIGOLD_VERSION "\n");
    return 0;
  }
  bool Help = Name == "--help";
  printUsage(Help ? stdout : stderr);
  return Help ? 0 : 2;
}
