#pragma once

#include "Schema/SettingTypes.h"
#include "Support/Result.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace marigold {

/// Looks up an environment variable. Returns nullopt if it is not set.
using EnvironmentLookup =
    std::function<std::optional<std::string>(const std::string &Name)>;

/// Looks up a variable in the environment of this process.
std::optional<std::string> processEnvironment(const std::string &Name);

/// Unconverted settings and the remaining arguments of a command line.
struct RawCommandLine {
  /// Text of each setting by name, from the flags, the environment, the
  /// settings file or the default.
  std::map<std::string, std::string> Settings_;
  /// Arguments that are not flags.
  std::vector<std::string> Positional_;
  /// Text to print if --help or --version was given.
  std::optional<std::string> HelpOrVersion_;
};

/// Reads a settings file, which consists of lines "name = value", empty lines
/// and comment lines that start with '#'. Fails with FileUnreadable or
/// SettingInvalid.
Result<std::map<std::string, std::string>>
readSettingsFile(const std::string &Path);

/// Reads the settings from the defaults, the file named by the setting
/// settings-file if there is one, the environment and the flags, where later
/// sources override earlier ones. Fails with SettingInvalid if a flag or a name
/// in the file is unknown, and with FileUnreadable.
Result<RawCommandLine> readCommandLine(const std::vector<SettingInfo> &Infos,
                                       const char *Binary, const char *Summary,
                                       const char *Usage, int Argc,
                                       const char *const *Argv,
                                       const EnvironmentLookup &Lookup);

/// Parses a duration with a unit, such as 250ms or 30s. Fails with
/// SettingInvalid.
Result<std::chrono::milliseconds> parseDuration(std::string_view Text);

/// Validates Text against Info and converts it. The unnamed pointer parameter,
/// which is always null, selects the overload for the type of the setting's
/// member. Fails with SettingInvalid; the detail names the setting, the value
/// and the allowed values.
Result<std::string> convertSetting(const SettingInfo &Info,
                                   const std::string &Text, std::string *);
Result<Address> convertSetting(const SettingInfo &Info, const std::string &Text,
                               Address *);
Result<std::vector<Address>> convertSetting(const SettingInfo &Info,
                                            const std::string &Text,
                                            std::vector<Address> *);
Result<std::uint16_t> convertSetting(const SettingInfo &Info,
                                     const std::string &Text, std::uint16_t *);
Result<std::uint64_t> convertSetting(const SettingInfo &Info,
                                     const std::string &Text, std::uint64_t *);
Result<std::chrono::milliseconds> convertSetting(const SettingInfo &Info,
                                                 const std::string &Text,
                                                 std::chrono::milliseconds *);
Result<double> convertSetting(const SettingInfo &Info, const std::string &Text,
                              double *);
Result<bool> convertSetting(const SettingInfo &Info, const std::string &Text,
                            bool *);

/// Converted settings and the remaining arguments of a command line.
template <class Settings> struct ParsedCommandLine {
  /// Validated values.
  Settings Settings_;
  /// Arguments that are not flags.
  std::vector<std::string> Positional_;
  /// Text to print for --help or --version, after which the program ends.
  std::optional<std::string> HelpOrVersion_;
};

/// Reads and validates all settings of a program. Usage describes the
/// positional arguments in the output of --help. Fails with SettingInvalid or
/// FileUnreadable.
template <class Settings>
Result<ParsedCommandLine<Settings>>
parseSettings(int Argc, const char *const *Argv, const char *Usage = "",
              const EnvironmentLookup &Lookup = processEnvironment) {
  std::vector<SettingInfo> Infos;
  for (const auto &Descriptor : Settings::descriptors())
    Infos.push_back(Descriptor.Info_);
  BOOST_OUTCOME_TRY(auto Texts, readCommandLine(Infos, Settings::Binary_,
                                                Settings::Summary_, Usage, Argc,
                                                Argv, Lookup));
  ParsedCommandLine<Settings> Parsed;
  Parsed.Positional_ = std::move(Texts.Positional_);
  Parsed.HelpOrVersion_ = std::move(Texts.HelpOrVersion_);
  for (const auto &Descriptor : Settings::descriptors()) {
    const std::string &Text = Texts.Settings_.at(Descriptor.Info_.Name_);
    auto Assign = [&](auto Member) -> Result<void> {
      using Value = std::remove_reference_t<decltype(Parsed.Settings_.*Member)>;
      BOOST_OUTCOME_TRY(auto Converted,
                        convertSetting(Descriptor.Info_, Text,
                                       static_cast<Value *>(nullptr)));
      Parsed.Settings_.*Member = std::move(Converted);
      return success();
    };
    BOOST_OUTCOME_TRY(std::visit(Assign, Descriptor.Member_));
  }
  return Parsed;
}

/// Parses the command line of a program. If the program must exit, prints the
/// help, the version or an error, sets ExitCode to 0 or, on an error, to 2 and
/// returns nullopt.
template <class Settings>
std::optional<ParsedCommandLine<Settings>>
parseCommandLine(int Argc, const char *const *Argv, int &ExitCode,
                 const char *Usage = "") {
  auto Parsed = parseSettings<Settings>(Argc, Argv, Usage);
  if (!Parsed) {
    std::fprintf(stderr, "%s: %s\n", Settings::Binary_,
                 Parsed.error().Detail_.c_str());
    ExitCode = 2;
    return std::nullopt;
  }
  if (Parsed.value().HelpOrVersion_) {
    std::printf("%s", Parsed.value().HelpOrVersion_->c_str());
    ExitCode = 0;
    return std::nullopt;
  }
  return std::move(Parsed.value());
}

} // namespace marigold
