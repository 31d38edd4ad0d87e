#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace marigold {

/// An IPv4 address in host byte order with a port.
struct Address {
  /// IPv4 address in host byte order.
  std::uint32_t Ipv4_ = 0;
  std::uint16_t Port_ = 0;

  // clang-tidy 14 mistakes the generated comparison with 0 for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr,readability-identifier-naming)
  friend auto operator<=>(const Address &, const Address &) = default;
};

// g++ 12 reports -Wshadow for enumerators of a scoped enumeration (here for
// Duration after Support/Clock.h), although they hide no declaration.
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wshadow"
/// Type of a setting, which determines the syntax of its text.
enum class SettingType : std::uint8_t {
  String,
  Address,
  Addresses,
  Port,
  Count,
  Duration,
  Ratio,
  Decimal,
  Choice,
  Flag
};
#pragma GCC diagnostic pop

/// Static description of one setting, independent of the program it belongs to.
struct SettingInfo {
  /// Flag name without dashes.
  std::string Name_;
  /// Type of the value.
  SettingType Type_;
  /// Default text, used when neither a flag, the environment nor the settings
  /// file gives the value.
  std::string Default_;
  /// Description shown by --help.
  std::string Help_;
  /// Lower limit of a count or decimal, or of a duration in ms.
  std::uint64_t Minimum_;
  /// Upper limit of a count or decimal, or of a duration in ms.
  std::uint64_t Maximum_;
  /// Allowed values of a choice.
  std::vector<std::string> Choices_;
};

/// Pointer to the member that holds a setting's value.
template <class Settings>
using SettingMember =
    std::variant<std::string Settings::*, Address Settings::*,
                 std::vector<Address> Settings::*, std::uint16_t Settings::*,
                 std::uint64_t Settings::*,
                 std::chrono::milliseconds Settings::*, double Settings::*,
                 bool Settings::*>;

/// Maps a setting of a program to the member that holds its value.
template <class Settings> struct SettingDescriptor {
  SettingInfo Info_;
  SettingMember<Settings> Member_;
};

} // namespace marigold
