#include "StandIns/LoadRunner.h"
#include "Support/SettingsParser.h"

#include <cstdio>
#include <fstream>
#include <iterator>

namespace {

using namespace marigold;
using namespace marigold::standins;

constexpr const char *Usage =
    "\n       marigold-load join CALLERS TARGET...\n\n"
    "join compares a ledger of callers with the ledgers of targets; exit code "
    "1 when a booking ran twice or a request reported as not-run did run.";

Result<std::string> readFile(const std::string &Name) {
  std::ifstream In(Name, std::ios::binary);
  if (!In)
    return fail(ErrorCode::FileUnreadable, "cannot read " + Name);
  return std::string(std::istreambuf_iterator<char>(In), {});
}

Result<int> join(const std::vector<std::string> &Files) {
  if (Files.size() < 2)
    return fail(ErrorCode::SettingInvalid,
                "join needs a ledger of callers and ledgers of targets");
  std::vector<CallerEntry> Entries;
  BOOST_OUTCOME_TRY(auto Callers, readFile(Files[0]));
  for (std::string_view Rest = Callers; !Rest.empty();) {
    std::size_t End = Rest.find('\n');
    BOOST_OUTCOME_TRY(auto Entry, parseCallerEntry(Rest.substr(0, End)));
    Entries.push_back(std::move(Entry));
    Rest.remove_prefix(End == std::string_view::npos ? Rest.size() : End + 1);
  }
  TargetRuns Runs;
  for (std::size_t Index = 1; Index < Files.size(); ++Index) {
    BOOST_OUTCOME_TRY(auto Text, readFile(Files[Index]));
    BOOST_OUTCOME_TRY(addTargetLedger(Runs, Text));
  }
  JoinedLedgers Joined = joinLedgers(Entries, Runs);
  std::printf("%s", toText(Joined).c_str());
  return Joined.Doubled_ + Joined.FalseNotRun_ > 0 ? 1 : 0;
}

Result<int> load(const LoadSettings &Settings) {
  BOOST_OUTCOME_TRY(auto Report, runLoad(Settings));
  std::printf("%s", Report.text().c_str());
  if (Settings.Ledger_.empty())
    return 0;
  std::ofstream Out(Settings.Ledger_, std::ios::trunc);
  Out << Report.ledger() << std::flush;
  if (!Out)
    return fail(ErrorCode::FileUnreadable, "cannot write " + Settings.Ledger_);
  return 0;
}

} // namespace

int main(int Argc, char **Argv) {
  int ExitCode = 0;
  auto Parsed = parseCommandLine<LoadSettings>(Argc, Argv, ExitCode, Usage);
  if (!Parsed)
    return ExitCode;
  auto &Arguments = Parsed->Positional_;
  bool IsJoin = !Arguments.empty() && Arguments[0] == "join";
  if (!Arguments.empty() && !IsJoin) {
    std::fprintf(stderr, "%s: unknown argument '%s'\n", LoadSettings::Binary_,
                 Arguments[0].c_str());
    return 2;
  }
  auto Code = IsJoin ? join({Arguments.begin() + 1, Arguments.end()})
                     : load(Parsed->Settings_);
  if (Code)
    return Code.value();
  std::fprintf(stderr, "%s: %s\n", LoadSettings::Binary_,
               Code.error().Detail_.c_str());
  return Code.error().Code_ == ErrorCode::SettingInvalid ? 2 : 3;
}
