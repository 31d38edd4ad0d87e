#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace marigold::admission {

/// Load that a target reports in a header field of its answers.
struct TargetLoadReport {
  std::uint32_t Running_ = 0;
  std::uint32_t Waiting_ = 0;
  std::uint32_t Slots_ = 0;
  /// Duration of runs at this moment in percent of the usual one; 0 if the
  /// target does not report it.
  std::uint32_t Slowdown_ = 0;

  friend bool operator==(const TargetLoadReport &,
                         const TargetLoadReport &) = default;
};

/// Parses "running,waiting,slots" or "running,waiting,slots,slowdown". Returns
/// nothing for any other text, and for numbers that no target can mean.
std::optional<TargetLoadReport> parseTargetLoad(std::string_view Text);

} // namespace marigold::admission
