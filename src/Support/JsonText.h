#pragma once

#include "Support/Result.h"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <string_view>

namespace marigold {

/// Limits of a JSON text that another process wrote. They are checked before
/// the text is parsed: a parsed array takes about 80 bytes of memory for each
/// byte of "[", so that a short text could exhaust the memory of a node.
struct JsonLimits {
  /// Maximum size of the text in bytes.
  std::size_t Bytes_ = std::size_t{8} * 1024 * 1024;
  /// Maximum number of arrays and objects that enclose a value.
  std::size_t Depth_ = 32;
  /// Whether an object that has two members of one name is refused. Costs
  /// about as much time as parsing.
  bool UniqueNames_ = false;
};

/// Parses a JSON text. Fails with SourceMalformed if the text exceeds a limit
/// or is not valid JSON in UTF-8. Integers beyond 64 bits become floating-point
/// numbers, and numbers beyond the range of these are refused.
Result<nlohmann::json> parseJson(std::string_view Text,
                                 const JsonLimits &Limits = {});

} // namespace marigold
