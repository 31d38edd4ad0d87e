#pragma once

#include "Schema/generated/Errors.h"

#include <string>
#include <string_view>
#include <vector>

namespace marigold::config {

/// One error in a configuration text.
struct Diagnostic {
  /// File name, or key at the configuration source, as passed to the parser.
  std::string File_;
  /// Line, starting at 1; 0 when the error concerns the text as a whole.
  unsigned Line_ = 0;
  /// Column in bytes, starting at 1; 0 when the error concerns the text as a
  /// whole.
  unsigned Column_ = 0;
  /// Error code. Nodes report the code of the first diagnostic as the reason
  /// why a version was refused.
  ErrorCode Code_ = ErrorCode::TextSyntax;
  /// Description of the error, including the key and value concerned.
  std::string Message_;
  /// Suggested correction.
  std::string Fix_;

  friend bool operator==(const Diagnostic &, const Diagnostic &) = default;
};

/// Formats a diagnostic as "file:line:column: code: message; fix: ...".
std::string toText(const Diagnostic &Value);

/// Quotes an excerpt of a configuration text for use in a message: control
/// characters are replaced by '?', and text longer than 80 bytes is truncated
/// so that the message fits on one line.
std::string quoteText(std::string_view Text);

/// Errors in one text, ordered by line and column.
using Diagnostics = std::vector<Diagnostic>;

} // namespace marigold::config
