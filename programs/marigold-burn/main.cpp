#include "Burn/BurnRender.h"
#include "Burn/BurnScraper.h"
#include "Config/TextParser.h"
#include "Schema/generated/Settings.h"
#include "Support/SettingsParser.h"

#include <cstdio>
#include <fstream>
#include <iterator>
#include <thread>

using namespace marigold;

namespace {

constexpr int UsageError = 2;
constexpr Duration ScrapeTimeout = std::chrono::seconds(2);

Result<burn::Objectives> readObjectives(const std::string &FileName) {
  std::ifstream In(FileName, std::ios::binary);
  if (!In)
    return fail(ErrorCode::FileUnreadable, FileName);
  std::string Text((std::istreambuf_iterator<char>(In)),
                   std::istreambuf_iterator<char>());
  auto Model = config::parseText(Text, FileName);
  if (!Model)
    return fail(Model.error().front().Code_,
                config::toText(Model.error().front()));
  burn::Objectives Objectives;
  for (const ServiceConfig &Service : Model.value().Services_)
    Objectives[Service.Name_] = Service.Objective_;
  return Objectives;
}

std::string render(const burn::BurnReport &Report, const std::string &Format) {
  if (Format == "json")
    return burn::renderJson(Report);
  if (Format == "html")
    return burn::renderHtml(Report);
  return burn::renderTable(Report);
}

bool write(const std::string &FileName, const std::string &Text) {
  if (FileName == "-") {
    std::fputs(Text.c_str(), stdout);
    return true;
  }
  std::ofstream Out(FileName, std::ios::binary);
  Out << Text;
  return static_cast<bool>(Out.flush());
}

burn::BurnReport measure(const BurnSettings &Settings,
                         burn::Objectives Objectives) {
  burn::BurnCalculator Calculator(std::move(Objectives),
                                  Settings.SlowWindow_ + Settings.Interval_);
  burn::BurnScraper Scraper(Settings.Nodes_);
  TimePoint Due = std::chrono::steady_clock::now();
  for (std::uint64_t Sample = 0; Sample < Settings.Samples_; ++Sample) {
    std::this_thread::sleep_until(Due);
    Due += Settings.Interval_;
    auto Samples = Scraper.scrape(ScrapeTimeout);
    Calculator.addScrape(Samples, std::chrono::steady_clock::now());
  }
  return Calculator.report(Settings.FastWindow_, Settings.SlowWindow_,
                           std::chrono::steady_clock::now());
}

} // namespace

int main(int Argc, const char **Argv) {
  int ExitCode = 0;
  auto Parsed = parseCommandLine<BurnSettings>(Argc, Argv, ExitCode);
  if (!Parsed)
    return ExitCode;
  const BurnSettings &Settings = Parsed->Settings_;
  if (Settings.Nodes_.empty() || Settings.Config_.empty()) {
    std::fprintf(stderr, "marigold-burn: --nodes and --config are required\n");
    return UsageError;
  }
  auto Objectives = readObjectives(Settings.Config_);
  if (!Objectives) {
    std::fprintf(stderr, "marigold-burn: %s\n",
                 Objectives.error().Detail_.c_str());
    return UsageError;
  }
  auto Report = measure(Settings, std::move(Objectives.value()));
  if (!write(Settings.Output_, render(Report, Settings.Format_))) {
    std::fprintf(stderr, "marigold-burn: cannot write %s\n",
                 Settings.Output_.c_str());
    return UsageError;
  }
  return static_cast<int>(
      burn::evaluate(Report, static_cast<double>(Settings.FastBurn_)));
}
