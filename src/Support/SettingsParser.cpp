#include "Support/SettingsParser.h"

#include "Support/Addresses.h"

#include <popt.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <fstream>
#include <limits>
#include <memory>
#include <set>
#include <sstream>

namespace marigold {
namespace {

constexpr int HelpOption = 1;
constexpr int VersionOption = 2;
constexpr int FirstSettingOption = 16;

struct PoptDeleter {
  void operator()(poptContext_s *Context) const { poptFreeContext(Context); }
};

std::string environmentName(const std::string &Setting) {
  std::string Name = "MARIGOLD_";
  for (char Character : Setting)
    Name += Character == '-' ? '_'
                             : static_cast<char>(std::toupper(
                                   static_cast<unsigned char>(Character)));
  return Name;
}

std::string helpText(const std::vector<SettingInfo> &Infos, const char *Binary,
                     const char *Summary, const char *Usage) {
  std::ostringstream Out;
  Out << "Usage: " << Binary << " [settings] " << Usage << "\n\n"
      << Summary << "\n\nSettings (flag, environment variable, default):\n";
  for (const SettingInfo &Info : Infos) {
    Out << "  --" << Info.Name_ << "  " << environmentName(Info.Name_) << "  ["
        << Info.Default_ << "]\n      " << Info.Help_ << '\n';
    if (Info.Choices_.empty())
      continue;
    Out << "      One of:";
    for (const std::string &Choice : Info.Choices_)
      Out << ' ' << Choice;
    Out << '\n';
  }
  Out << "  --help\n  --version\n";
  return Out.str();
}

Failure invalid(const SettingInfo &Info, const std::string &Text,
                const std::string &Allowed) {
  return fail(ErrorCode::SettingInvalid,
              "setting '" + Info.Name_ + "': '" + Text + "' is not " + Allowed);
}

/// Applies the settings file named by the setting settings-file, except for
/// settings in Given, which the environment or the flags have set.
Result<void> applySettingsFile(const std::set<std::string> &Given,
                               std::map<std::string, std::string> &Settings) {
  auto Path = Settings.find("settings-file");
  if (Path == Settings.end() || Path->second.empty())
    return success();
  BOOST_OUTCOME_TRY(auto Texts, readSettingsFile(Path->second));
  for (auto &[Name, Text] : Texts) {
    auto Known = Settings.find(Name);
    if (Known == Settings.end() || Name == "settings-file")
      return fail(ErrorCode::SettingInvalid,
                  Path->second + ": '" + Name + "' is not a known setting");
    if (!Given.contains(Name))
      Known->second = std::move(Text);
  }
  return success();
}

bool inLimits(const SettingInfo &Info, std::uint64_t Value) {
  return Value >= Info.Minimum_ && Value <= Info.Maximum_;
}

std::string limitText(const SettingInfo &Info, const char *Unit) {
  return std::to_string(Info.Minimum_) + Unit + " to " +
         std::to_string(Info.Maximum_) + Unit;
}

} // namespace

std::optional<std::string> processEnvironment(const std::string &Name) {
  const char *Value = std::getenv(Name.c_str());
  if (!Value)
    return std::nullopt;
  return std::string(Value);
}

Result<std::map<std::string, std::string>>
readSettingsFile(const std::string &Path) {
  std::ifstream In(Path);
  if (!In)
    return fail(ErrorCode::FileUnreadable, Path);
  auto Trim = [](std::string Text) {
    static constexpr const char *Space = " \t\r";
    Text.erase(0, std::min(Text.find_first_not_of(Space), Text.size()));
    Text.erase(Text.find_last_not_of(Space) + 1);
    return Text;
  };
  std::map<std::string, std::string> Texts;
  unsigned Number = 0;
  for (std::string Line; std::getline(In, Line);) {
    ++Number;
    Line = Trim(std::move(Line));
    if (Line.empty() || Line.front() == '#')
      continue;
    std::size_t Equals = Line.find('=');
    if (Equals == std::string::npos)
      return fail(ErrorCode::SettingInvalid, Path + ":" +
                                                 std::to_string(Number) +
                                                 ": expected 'name = value'");
    Texts[Trim(Line.substr(0, Equals))] = Trim(Line.substr(Equals + 1));
  }
  return Texts;
}

Result<RawCommandLine> readCommandLine(const std::vector<SettingInfo> &Infos,
                                       const char *Binary, const char *Summary,
                                       const char *Usage, int Argc,
                                       const char *const *Argv,
                                       const EnvironmentLookup &Lookup) {
  RawCommandLine Texts;
  std::set<std::string> Given;
  for (const SettingInfo &Info : Infos) {
    auto Value = Lookup(environmentName(Info.Name_));
    if (Value)
      Given.insert(Info.Name_);
    Texts.Settings_[Info.Name_] = Value.value_or(Info.Default_);
  }

  std::vector<poptOption> Options;
  for (std::size_t Index = 0; Index < Infos.size(); ++Index) {
    unsigned Kind = POPT_ARG_STRING;
    if (Infos[Index].Type_ == SettingType::Flag)
      Kind |= POPT_ARGFLAG_OPTIONAL;
    Options.push_back({Infos[Index].Name_.c_str(), '\0', Kind, nullptr,
                       FirstSettingOption + static_cast<int>(Index), nullptr,
                       nullptr});
  }
  Options.push_back(
      {"help", 'h', POPT_ARG_NONE, nullptr, HelpOption, nullptr, nullptr});
  Options.push_back({"version", '\0', POPT_ARG_NONE, nullptr, VersionOption,
                     nullptr, nullptr});
  Options.push_back(POPT_TABLEEND);

  std::unique_ptr<poptContext_s, PoptDeleter> Context(poptGetContext(
      Binary, Argc, const_cast<const char **>(Argv), Options.data(), 0));
  int Code = 0;
  while ((Code = poptGetNextOpt(Context.get())) > 0) {
    if (Code == HelpOption) {
      Texts.HelpOrVersion_ = helpText(Infos, Binary, Summary, Usage);
      return Texts;
    }
    if (Code == VersionOption) {
      Texts.HelpOrVersion_ = std::string(Binary) + " " MARIGOLD_VERSION "\n";
      return Texts;
    }
    std::unique_ptr<char, decltype(&std::free)> Argument(
        poptGetOptArg(Context.get()), &std::free);
    const SettingInfo &Info =
        Infos[static_cast<std::size_t>(Code - FirstSettingOption)];
    Texts.Settings_[Info.Name_] = Argument ? Argument.get() : "true";
    Given.insert(Info.Name_);
  }
  if (Code < -1)
    return fail(ErrorCode::SettingInvalid,
                std::string(poptBadOption(Context.get(), 0)) + ": " +
                    poptStrerror(Code) + "; see --help");
  while (const char *Argument = poptGetArg(Context.get()))
    Texts.Positional_.emplace_back(Argument);
  BOOST_OUTCOME_TRY(applySettingsFile(Given, Texts.Settings_));
  return Texts;
}

Result<std::chrono::milliseconds> parseDuration(std::string_view Text) {
  struct Unit {
    std::string_view Suffix_;
    std::uint64_t Milliseconds_;
  };
  static constexpr std::array<Unit, 4> Units{
      {{"ms", 1}, {"s", 1000}, {"m", 60'000}, {"h", 3'600'000}}};
  for (const Unit &Candidate : Units) {
    if (!Text.ends_with(Candidate.Suffix_))
      continue;
    std::string_view Number =
        Text.substr(0, Text.size() - Candidate.Suffix_.size());
    constexpr std::uint64_t Largest = 1'000'000'000'000;
    std::size_t Point = Number.find('.');
    std::uint64_t Whole = 0;
    std::uint64_t Fraction = 0;
    std::string_view Digits = Number.substr(0, Point);
    BOOST_OUTCOME_TRY(Whole,
                      parseNumber(Digits, Largest / Candidate.Milliseconds_));
    if (Point != std::string_view::npos) {
      // Up to six decimal places; the result is rounded down to whole
      // milliseconds.
      std::string Decimals(Number.substr(Point + 1));
      if (Decimals.empty() || Decimals.size() > 6)
        break;
      Decimals.resize(6, '0');
      BOOST_OUTCOME_TRY(Fraction, parseNumber(Decimals, 999'999));
    }
    return std::chrono::milliseconds(Whole * Candidate.Milliseconds_ +
                                     Fraction * Candidate.Milliseconds_ /
                                         1'000'000);
  }
  return fail(ErrorCode::SettingInvalid,
              "'" + std::string(Text) +
                  "' is not a duration with unit ms, s, m or h");
}

Result<std::string> convertSetting(const SettingInfo &Info,
                                   const std::string &Text, std::string *) {
  if (Info.Type_ != SettingType::Choice)
    return Text;
  const auto &Choices = Info.Choices_;
  if (std::find(Choices.begin(), Choices.end(), Text) != Choices.end())
    return Text;
  std::string Allowed = "one of";
  for (const std::string &Choice : Choices)
    Allowed += " " + Choice;
  return invalid(Info, Text, Allowed);
}

Result<Address> convertSetting(const SettingInfo &Info, const std::string &Text,
                               Address *) {
  auto Value = parseAddress(Text);
  if (!Value)
    return invalid(Info, Text, "an address ip:port");
  return Value;
}

Result<std::vector<Address>> convertSetting(const SettingInfo &Info,
                                            const std::string &Text,
                                            std::vector<Address> *) {
  std::vector<Address> Values;
  std::istringstream In(Text);
  for (std::string Part; std::getline(In, Part, ',');) {
    auto Value = parseAddress(Part);
    if (!Value)
      return invalid(Info, Text, "a comma-separated list of ip:port");
    Values.push_back(Value.value());
  }
  return Values;
}

Result<std::uint16_t> convertSetting(const SettingInfo &Info,
                                     const std::string &Text, std::uint16_t *) {
  auto Value = parseNumber(Text, std::numeric_limits<std::uint16_t>::max());
  if (!Value)
    return invalid(Info, Text, "a port, 0 to 65535");
  return static_cast<std::uint16_t>(Value.value());
}

Result<std::uint64_t> convertSetting(const SettingInfo &Info,
                                     const std::string &Text, std::uint64_t *) {
  auto Value = parseNumber(Text, std::numeric_limits<std::uint64_t>::max());
  if (!Value || !inLimits(Info, Value.value()))
    return invalid(Info, Text, "a number, " + limitText(Info, ""));
  return Value;
}

Result<std::chrono::milliseconds> convertSetting(const SettingInfo &Info,
                                                 const std::string &Text,
                                                 std::chrono::milliseconds *) {
  auto Value = parseDuration(Text);
  if (!Value ||
      !inLimits(Info, static_cast<std::uint64_t>(Value.value().count())))
    return invalid(Info, Text,
                   "a duration with unit, " + limitText(Info, "ms"));
  return Value;
}

Result<double> convertSetting(const SettingInfo &Info, const std::string &Text,
                              double *) {
  char *End = nullptr;
  double Value = std::strtod(Text.c_str(), &End);
  bool Whole = !Text.empty() && End == Text.c_str() + Text.size();
  if (Info.Type_ == SettingType::Decimal) {
    if (Whole && Value >= static_cast<double>(Info.Minimum_) &&
        Value <= static_cast<double>(Info.Maximum_))
      return Value;
    return invalid(Info, Text, "a number, " + limitText(Info, ""));
  }
  if (!Whole || !(Value >= 0 && Value <= 1))
    return invalid(Info, Text, "a ratio, 0 to 1");
  return Value;
}

Result<bool> convertSetting(const SettingInfo &Info, const std::string &Text,
                            bool *) {
  if (Text == "true")
    return true;
  if (Text == "false")
    return false;
  return invalid(Info, Text, "true or false");
}

} // namespace marigold
