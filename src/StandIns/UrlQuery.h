#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace marigold::standins {

/// Decoded path and query parameters of a request target.
class UrlQuery {
public:
  /// Parses the target of a request line.
  explicit UrlQuery(std::string_view Target);

  const std::string &path() const { return Path_; }

  /// Value of a parameter; empty if the parameter has no value, nothing if it
  /// is absent.
  std::optional<std::string> find(std::string_view Name) const;

private:
  std::string Path_;
  std::vector<std::pair<std::string, std::string>> Parameters_;
};

} // namespace marigold::standins
