#include "Config/Quantity.h"

#include <algorithm>
#include <limits>
#include <vector>

namespace marigold::config {
namespace {

constexpr std::uint64_t MaxValue = std::numeric_limits<std::uint64_t>::max();

/// One part per million is the fourth decimal of a percentage.
constexpr std::size_t MaxDecimals = 4;

struct Unit {
  std::string_view Name_;
  std::uint64_t Factor_;
};

struct Dimension {
  /// Units in ascending order.
  std::vector<Unit> Units_;
  std::string_view Form_;
};

const Dimension &dimensionOf(QuantityKind Kind) {
  static const Dimension Dimensions[] = {
      {{{"", 1}}, "a whole number such as 10"},
      {{{"ms", 1}, {"s", 1000}, {"m", 60'000}},
       "a whole number with unit ms, s or m, such as 300ms"},
      {{{"us", 1}, {"ms", 1000}, {"s", 1'000'000}},
       "a whole number with unit us, ms or s, such as 250ms"},
      {{{"%", 10'000}}, "a percentage with up to four decimals, such as 99.9%"},
      {{{"B", 1}, {"KiB", 1024}, {"MiB", 1'048'576}},
       "a whole number with unit B, KiB or MiB, such as 64KiB"},
  };
  return Dimensions[static_cast<std::size_t>(Kind)];
}

std::uint64_t saturatingMultiply(std::uint64_t Left, std::uint64_t Right) {
  return Left > MaxValue / Right ? MaxValue : Left * Right;
}

/// Converts a string of digits to a number, clamped to MaxValue.
std::uint64_t digitsValue(std::string_view Digits) {
  std::uint64_t Value = 0;
  for (char Digit : Digits) {
    std::uint64_t Next = saturatingMultiply(Value, 10);
    std::uint64_t Add = static_cast<std::uint64_t>(Digit - '0');
    Value = Next > MaxValue - Add ? MaxValue : Next + Add;
  }
  return Value;
}

std::string_view consumeDigits(std::string_view &Text) {
  std::size_t Length =
      std::min(Text.find_first_not_of("0123456789"), Text.size());
  std::string_view Digits = Text.substr(0, Length);
  Text.remove_prefix(Length);
  return Digits;
}

} // namespace

Result<std::uint64_t> parseQuantity(QuantityKind Kind, std::string_view Text) {
  std::string_view Rest = Text;
  std::string_view Whole = consumeDigits(Rest);
  // Leading zeros are refused because they are ambiguous: YAML 1.1 reads the
  // number as octal, YAML 1.2 as decimal.
  if (Whole.empty() || (Whole.size() > 1 && Whole.front() == '0'))
    return fail(ErrorCode::WrongType, "is not a number");
  std::string_view Decimals;
  if (Rest.starts_with('.')) {
    Rest.remove_prefix(1);
    Decimals = consumeDigits(Rest);
    if (Kind != QuantityKind::Ratio || Decimals.empty() ||
        Decimals.size() > MaxDecimals)
      return fail(ErrorCode::WrongType, Kind == QuantityKind::Ratio
                                            ? "has too many decimals"
                                            : "is not a whole number");
  }
  for (const Unit &Candidate : dimensionOf(Kind).Units_) {
    if (Candidate.Name_ != Rest)
      continue;
    std::uint64_t Value =
        saturatingMultiply(digitsValue(Whole), Candidate.Factor_);
    std::uint64_t Fraction = digitsValue(Decimals);
    for (std::size_t Place = Decimals.size(); Place < MaxDecimals; ++Place)
      Fraction *= 10;
    return Value > MaxValue - Fraction ? MaxValue : Value + Fraction;
  }
  if (Kind == QuantityKind::Count)
    return fail(ErrorCode::WrongType, "is not a whole number");
  return fail(ErrorCode::WrongUnit,
              Rest.empty() ? "has no unit"
                           : "has the unknown unit " + std::string(Rest));
}

std::string quantityText(QuantityKind Kind, std::uint64_t Value) {
  if (Kind == QuantityKind::Ratio) {
    std::string Decimals = std::to_string(Value % 10'000);
    Decimals.insert(0, MaxDecimals - Decimals.size(), '0');
    Decimals.erase(Decimals.find_last_not_of('0') + 1);
    return std::to_string(Value / 10'000) +
           (Decimals.empty() ? "" : "." + Decimals) + "%";
  }
  const std::vector<Unit> &Units = dimensionOf(Kind).Units_;
  const Unit *Best = &Units.front();
  for (const Unit &Candidate : Units)
    if (Value != 0 && Value % Candidate.Factor_ == 0)
      Best = &Candidate;
  return std::to_string(Value / Best->Factor_) + std::string(Best->Name_);
}

std::string_view quantityForm(QuantityKind Kind) {
  return dimensionOf(Kind).Form_;
}

} // namespace marigold::config
