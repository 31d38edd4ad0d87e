#include "ChoiceBench.h"
#include "DetectionBench.h"
#include "OverloadBench.h"
#include "ViewBench.h"

#include <cstdio>
#include <string_view>

int main(int Argc, char **Argv) {
  std::string_view Name = Argc > 1 ? Argv[1] : "";
  constexpr std::uint64_t Seed = 1;
  if (Name == "choice")
    return marigold::bench::runChoiceBench(Seed);
  if (Name == "overload")
    return marigold::bench::runOverloadBench(Seed);
  if (Name == "view")
    return marigold::bench::runViewBench(Seed);
  if (Name == "detection")
    return marigold::bench::runDetectionBench(Seed);
  std::fprintf(stderr,
               "usage: marigold-bench choice|overload|view|detection\n");
  return 2;
}
