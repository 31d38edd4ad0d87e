#pragma once

#include "Support/Result.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace marigold::config {

/// Dimension and base unit of a quantity in the text.
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

/// Reads a quantity into its base unit. A value that does not fit 64 bits
/// gives the largest number, which no range allows. Fails with WrongType when
/// the text is not a number and WrongUnit when its unit is missing or unknown.
/// Independent of the process's locale.
Result<std::uint64_t> parseQuantity(QuantityKind Kind, std::string_view Text);

/// Writes a quantity with the largest unit that gives a whole number.
std::string quantityText(QuantityKind Kind, std::uint64_t Value);

/// What a quantity looks like, for the fix of a diagnostic.
std::string_view quantityForm(QuantityKind Kind);

} // namespace marigold::config
