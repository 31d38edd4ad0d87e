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
  /// Port.
  std::uint16_t Port_ = 0;

  // clang-tidy 14 takes the generated comparison with 0 for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr,readability-identifier-naming)
  friend auto operator<=>(const Address &, const Address &) = default;
};

// g++ 12 reports -Wshadow for enumerators of a scoped enumeration (here for
// Duration after Support/Clock.h), although they hide nothing.
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wshadow"
/// Form of a setting's text.
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

/// Static description of one setting, independent of the program.
struct SettingInfo {
  /// Flag name without dashes.
  std::string Name_;
  /// Form of the text.
  SettingType Type_;
  /// Text that applies when neither flag nor environment gives one.
  std::string Default_;
  /// One sentence for --help.
  std::string Help_;
  /// Lower limit of a count or decimal, or of a duration in ms.
  std::uint64_t Minimum_;
  /// Upper limit of a count or decimal, or of a duration in ms.
  std::uint64_t Maximum_;
  /// Allowed texts of a choice.
  std::vector<std::string> Choices_;
};

/// Member pointer to the field that holds a setting's value.
template <class Settings>
using SettingMember =
    std::variant<std::string Settings::*, Address Settings::*,
                 std::vector<Address> Settings::*, std::uint16_t Settings::*,
                 std::uint64_t Settings::*,
                 std::chrono::milliseconds Settings::*, double Settings::*,
                 bool Settings::*>;

/// One row of a program's table of settings.
template <class Settings> struct SettingDescriptor {
  /// Description.
  SettingInfo Info_;
  /// Field that holds the value.
  SettingMember<Settings> Member_;
};

} // namespace marigold
