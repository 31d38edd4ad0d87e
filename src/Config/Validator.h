#pragma once

#include "Config/ServiceModel.h"
#include "Schema/generated/Errors.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace marigold::config {

/// Part of a model that an error concerns. The parser turns it into a line
/// and a column.
struct ModelLocation {
  /// Index of the service; none for the model as a whole.
  std::optional<std::size_t> Service_;
  /// Index of the route within the service or the virtual host.
  std::optional<std::size_t> Route_;
  /// Key in the text; empty for the service or route itself.
  std::string Key_;
  /// Index of the entry when the key's value is a list.
  std::optional<std::size_t> Entry_;
  /// Index of the virtual host; none for anything else.
  std::optional<std::size_t> Host_ = {};

  friend auto operator<=>(const ModelLocation &,
                          const ModelLocation &) = default;
};

/// An error of a model.
struct ModelError {
  /// Where.
  ModelLocation Location_;
  /// Kind.
  ErrorCode Code_;
  /// What is wrong.
  std::string Message_;
  /// What to write instead.
  std::string Fix_;
};

/// Content to validate, wherever it is held.
struct ModelView {
  /// Epoch.
  std::uint32_t Epoch_;
  /// Name of the mesh.
  std::string_view Mesh_;
  /// Services; must outlive the view.
  std::vector<const ServiceConfig *> Services_;
  /// Virtual hosts; must outlive the view.
  std::vector<const VirtualHost *> Hosts_ = {};
  /// Limits of clients.
  ClientLimits Limits_ = {};
};

/// View of a model, which must outlive it.
ModelView viewOf(const ServiceModel &Model);

/// Every error of a model: names, ranges, references, cycles, duplicates,
/// numbers of entries. The order of services, routes and lists is not checked.
std::vector<ModelError> validateModel(const ModelView &Model);

/// Description of the first place that is not in the order of normalize, or
/// nothing.
std::optional<std::string> findOrderViolation(const ModelView &Model);

/// True when Name is a host name: 1 to 253 characters of a-z, 0-9, hyphen,
/// dot and underscore.
bool isValidHostName(std::string_view Name);

/// True when Name has 1 to 63 characters of a-z, 0-9 and hyphen and neither
/// begins nor ends with a hyphen.
bool isValidName(std::string_view Name);

} // namespace marigold::config
