#include "Admission/TargetLoadReport.h"

#include "Support/Addresses.h"

#include <array>

namespace marigold::admission {
namespace {

/// Largest number of requests or slots that is believed.
constexpr std::uint64_t MaxCount = 1'000'000;
/// Largest slowdown that is believed, in percent.
constexpr std::uint64_t MaxSlowdown = 10'000;

} // namespace

std::optional<TargetLoadReport> parseTargetLoad(std::string_view Text) {
  std::array<std::uint32_t, 4> Values{};
  std::size_t Count = 0;
  for (bool More = true; More; ++Count) {
    if (Count == Values.size())
      return std::nullopt;
    std::size_t End = Text.find(',');
    auto Value =
        parseNumber(Text.substr(0, End), Count == 3 ? MaxSlowdown : MaxCount);
    if (!Value || (Count == 3 && Value.value() == 0))
      return std::nullopt;
    Values[Count] = static_cast<std::uint32_t>(Value.value());
    More = End != std::string_view::npos;
    if (More)
      Text.remove_prefix(End + 1);
  }
  if (Count < 3)
    return std::nullopt;
  return TargetLoadReport{Values[0], Values[1], Values[2], Values[3]};
}

} // namespace marigold::admission
