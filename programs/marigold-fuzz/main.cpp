#include "DecoderFuzz.h"
#include "Mesh/RandomFaults.h"
#include "Schema/generated/Settings.h"
#include "Support/SettingsParser.h"
#include "TextFuzz.h"

#include <cstdio>

namespace marigold::fuzz {
namespace {

std::size_t fuzzOrders(const FuzzSettings &Settings) {
  std::size_t Failures = 0;
  for (std::uint64_t Run = 0; Run < Settings.OrderRuns_; ++Run) {
    std::uint64_t Seed = Settings.Seed_ + Run;
    std::vector<std::string> Broken =
        testing::runRandomFaults(Seed, Settings.OrderSteps_);
    Failures += !Broken.empty();
    for (const std::string &Each : Broken)
      std::printf("fuzz=order seed=%llu failure=\"%s\"\n",
                  static_cast<unsigned long long>(Seed), Each.c_str());
  }
  std::printf("fuzz=order runs=%llu steps=%llu failures=%zu\n",
              static_cast<unsigned long long>(Settings.OrderRuns_),
              static_cast<unsigned long long>(Settings.OrderSteps_), Failures);
  return Failures;
}

} // namespace
} // namespace marigold::fuzz

int main(int Argc, char **Argv) {
  using namespace marigold;
  int ExitCode = 0;
  auto Parsed = parseCommandLine<FuzzSettings>(Argc, Argv, ExitCode);
  if (!Parsed)
    return ExitCode;
  const FuzzSettings &Settings = Parsed->Settings_;
  std::size_t Failures =
      fuzz::fuzzDecoders(Settings.Seed_, Settings.DecodeRuns_) +
      fuzz::fuzzTexts(Settings.Seed_, Settings.TextRuns_) +
      fuzz::fuzzOrders(Settings);
  return Failures == 0 ? 0 : 1;
}
