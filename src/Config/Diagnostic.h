#pragma once

#include "Schema/generated/Errors.h"

#include <string>
#include <string_view>
#include <vector>

namespace marigold::config {

/// One error of a configuration text.
struct Diagnostic {
  /// Name of the file, or of the source's key, as given to the parser.
  std::string File_;
  /// Line, counted from 1; 0 when the error concerns the text as a whole.
  unsigned Line_ = 0;
  /// Column in bytes, counted from 1; 0 like the line.
  unsigned Column_ = 0;
  /// Kind of the error. The code of the first diagnostic is the one that
  /// nodes report for a refused version.
  ErrorCode Code_ = ErrorCode::TextSyntax;
  /// What is wrong, with the name and the value involved.
  std::string Message_;
  /// What to write instead.
  std::string Fix_;

  friend bool operator==(const Diagnostic &, const Diagnostic &) = default;
};

/// Writes "file:line:column: code: message; fix: ...".
std::string toText(const Diagnostic &Value);

/// Text from a configuration for a message: in quotes, control characters
/// replaced, cut to a length that fits one line.
std::string quoteText(std::string_view Text);

/// Errors of one text, ordered by line and column.
using Diagnostics = std::vector<Diagnostic>;

} // namespace marigold::config
