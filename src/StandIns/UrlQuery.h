#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace marigold::standins {

/// Replaces %XX and, in a query, + by the characters they stand for. An
/// incomplete escape stays as it is.
std::string decodeUrl(std::string_view Text, bool PlusIsSpace);

/// Writes every character outside the unreserved set as %XX.
std::string encodeUrl(std::string_view Text);

/// A request target split into its decoded path and query parameters.
class UrlQuery {
public:
  /// Splits the target of a request line.
  explicit UrlQuery(std::string_view Target);

  /// Decoded path.
  const std::string &path() const { return Path_; }

  /// Value of a parameter; empty for a parameter without value, nothing when
  /// it is absent.
  std::optional<std::string> find(std::string_view Name) const;

private:
  std::string Path_;
  std::vector<std::pair<std::string, std::string>> Parameters_;
};

} // namespace marigold::standins
