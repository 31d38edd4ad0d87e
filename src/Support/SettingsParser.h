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

/// Looks up an environment variable; nothing when it is not set.
using EnvironmentLookup =
    std::function<std::optional<std::string>(const std::string &Name)>;

/// Reads variables of this process's environment.
std::optional<std::string> processEnvironment(const std::string &Name);

/// Texts of the settings and the rest of a command line.
struct RawCommandLine {
  /// Text of each setting by name, after flags, environment and defaults.
  std::map<std::string, std::string> Settings_;
  /// Arguments that are not flags.
  std::vector<std::string> Positional_;
  /// --help or --version was given; the text to print is here.
  std::optional<std::string> HelpOrVersion_;
};

/// Reads a settings file: lines "name = value", empty lines and lines that
/// begin with '#'. Fails with FileUnreadable or SettingInvalid.
Result<std::map<std::string, std::string>>
readSettingsFile(const std::string &Path);

/// Applies defaults, the file of setting settings-file if there is one,
/// environment and flags in this order. Fails with SettingInvalid on an
/// unknown flag or a name in the file that is no setting, and with
/// FileUnreadable.
Result<RawCommandLine> readCommandLine(const std::vector<SettingInfo> &Infos,
                                       const char *Binary, const char *Summary,
                                       const char *Usage, int Argc,
                                       const char *const *Argv,
                                       const EnvironmentLookup &Lookup);

/// Reads a duration with unit, such as 250ms or 30s. Fails with
/// SettingInvalid.
Result<std::chrono::milliseconds> parseDuration(std::string_view Text);

/// Checks Text against the description and converts it. The variant of a
/// setting's member pointer gives the type. Fails with SettingInvalid; the
/// detail names setting, value and allowed range.
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

/// Settings and the rest of a command line.
template <class Settings> struct ParsedCommandLine {
  /// Checked values.
  Settings Settings_;
  /// Arguments that are not flags.
  std::vector<std::string> Positional_;
  /// Text to print for --help or --version, after which the program ends.
  std::optional<std::string> HelpOrVersion_;
};

/// Reads and checks all settings of a program. Usage names the positional
/// arguments for --help. Fails with SettingInvalid.
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

/// Parses the command line of a program's main function. Prints help, the
/// version or an error and returns nothing when the program has to end with
/// ExitCode (0 or 2).
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
