#pragma once

#include "Support/Result.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace marigold::config {

/// Dimension and base unit of a quantity in the configuration text.
enum class QuantityKind : std::uint8_t {
  /// Whole number without a unit.
  Count,
  /// Duration in ms; units ms, s, m.
  Milliseconds,
  /// Duration in us; units us, ms, s.
  Microseconds,
  /// Ratio in parts per million; unit %, at most four decimals.
  Ratio,
  /// Size in bytes; units B, KiB, MiB.
  Bytes
};

/// Parses a quantity and converts it to its base unit. A value that does not
/// fit in 64 bits is clamped to the largest 64-bit number, which every range
/// check rejects. Fails with WrongType when the text is not a number and with
/// WrongUnit when its unit is missing or unknown. Does not depend on the
/// locale.
Result<std::uint64_t> parseQuantity(QuantityKind Kind, std::string_view Text);

/// Formats a quantity in the largest unit that gives a whole number.
std::string quantityText(QuantityKind Kind, std::uint64_t Value);

/// Describes the syntax of a quantity, for the suggested correction of a
/// diagnostic.
std::string_view quantityForm(QuantityKind Kind);

} // namespace marigold::config
