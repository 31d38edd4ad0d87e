#include "Ctl/ErrorNames.h"

#include <cstdint>

namespace marigold::ctl {
namespace {

/// Exclusive upper bound of the error numbers in schema/errors.yaml.
constexpr std::uint16_t ErrorNumberLimit = 1000;

} // namespace

std::optional<ErrorCode> errorFromText(std::string_view Text) {
  for (std::uint16_t Number = 0; Number < ErrorNumberLimit; ++Number)
    if (auto Code = errorFromNumber(Number); Code && errorText(*Code) == Text)
      return Code;
  return std::nullopt;
}

} // namespace marigold::ctl
