#pragma once

#include "Config/Diagnostic.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace marigold::config {

/// Kind of a YAML node.
enum class NodeKind : std::uint8_t { Null, Scalar, List, Mapping };

/// One YAML node with its position in the text. Unlike YAML::Node it preserves
/// duplicate keys, whether a scalar was quoted, and the positions of keys.
struct TextNode {
  NodeKind Kind_ = NodeKind::Null;
  /// True for a quoted scalar or a block scalar.
  bool Quoted_ = false;
  /// Line, starting at 1.
  unsigned Line_ = 0;
  /// Column in bytes, starting at 1.
  unsigned Column_ = 0;
  /// Value of a scalar.
  std::string Text_;
  /// Entries of a list, or alternating keys and values of a mapping.
  std::vector<TextNode> Children_;

  /// Returns the value of a key of a mapping, or null.
  const TextNode *find(std::string_view Key) const;
};

/// Checks size and encoding, then parses the text as a single YAML document.
/// Errors are appended to Out. Returns nothing when no tree could be built.
std::optional<TextNode> readTree(std::string_view Text,
                                 std::string_view FileName, Diagnostics &Out);

/// Returns the offset of the first byte that is not valid UTF-8, or nothing.
std::optional<std::size_t> findInvalidUtf8(std::string_view Text);

} // namespace marigold::config
