#pragma once

#include "Config/Diagnostic.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace marigold::config {

/// Form of a node of the text.
enum class NodeKind : std::uint8_t { Null, Scalar, List, Mapping };

/// One node of a text with its place. Unlike YAML::Node it keeps duplicate
/// keys, quotes and the place of keys.
struct TextNode {
  /// Form.
  NodeKind Kind_ = NodeKind::Null;
  /// True for a scalar in quotes or in block style.
  bool Quoted_ = false;
  /// Line, counted from 1.
  unsigned Line_ = 0;
  /// Column in bytes, counted from 1.
  unsigned Column_ = 0;
  /// Value of a scalar.
  std::string Text_;
  /// Entries of a list; keys and values in turn of a mapping.
  std::vector<TextNode> Children_;

  /// Value that belongs to a key of a mapping, or null.
  const TextNode *find(std::string_view Key) const;
};

/// Checks size and encoding, then reads the one YAML document of a text.
/// Appends errors; returns nothing when there is no tree to go on with.
std::optional<TextNode> readTree(std::string_view Text,
                                 std::string_view FileName, Diagnostics &Out);

/// Offset of the first byte that is not part of valid UTF-8, or nothing.
std::optional<std::size_t> findInvalidUtf8(std::string_view Text);

} // namespace marigold::config
