#pragma once

#include "Config/ServiceModel.h"
#include "Schema/generated/Errors.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace marigold::config {

/// Part of a model that an error refers to. The parser converts it to a line
/// and column.
struct ModelLocation {
  /// Index of the service; empty when the error is not in a service.
  std::optional<std::size_t> Service_;
  /// Index of the route within the service or the virtual host.
  std::optional<std::size_t> Route_;
  /// Key in the text; empty for the service or route itself.
  std::string Key_;
  /// Index of the entry when the key's value is a list.
  std::optional<std::size_t> Entry_;
  /// Index of the virtual host; empty when the error is not in a virtual host.
  std::optional<std::size_t> Host_ = {};

  friend auto operator<=>(const ModelLocation &,
                          const ModelLocation &) = default;
};

/// A validation error.
struct ModelError {
  ModelLocation Location_;
  ErrorCode Code_;
  /// Description of the error.
  std::string Message_;
  /// Suggested correction.
  std::string Fix_;
};

/// Non-owning view of the content to validate, so that models and snapshots can
/// be validated alike.
struct ModelView {
  std::uint32_t Epoch_;
  std::string_view Mesh_;
  /// Services; must outlive the view.
  std::vector<const ServiceConfig *> Services_;
  /// Virtual hosts; must outlive the view.
  std::vector<const VirtualHost *> Hosts_ = {};
  ClientLimits Limits_ = {};
};

/// Which rules a model has to meet.
enum class ModelRules : std::uint8_t {
  /// All rules for a text that operators publish for this system, among them
  /// limits on counts and lengths and the characters of names.
  OperatorText,
  /// Rules for content that another system has checked and accepted, which must
  /// come into force whatever its counts and lengths; its size is bounded where
  /// it is received. Only what nodes rely on is checked: names that are unique,
  /// references that lead to a service, and fields within their ranges. A part
  /// of a route that cannot be used names no service (NoService).
  AcceptedContent
};

/// Returns the rules for the content of versions of this epoch.
ModelRules rulesFor(std::uint32_t Epoch);

/// Returns a view of a model. The model must outlive the view.
ModelView viewOf(const ServiceModel &Model);

/// Returns all errors of a model: invalid names, values out of range,
/// references to missing services, cycles, duplicates and too many entries.
/// Does not check the order of services, routes and lists; see
/// findOrderViolation.
std::vector<ModelError> validateModel(const ModelView &Model, ModelRules Rules);

/// Describes the first list that is not in the order established by normalize,
/// or returns nothing.
std::optional<std::string> findOrderViolation(const ModelView &Model);

/// Returns true when Name is a valid host name: 1 to 253 characters of a-z,
/// 0-9, hyphen, dot and underscore.
bool isValidHostName(std::string_view Name);

/// Returns true when Name has 1 to 63 characters of a-z, 0-9 and hyphen and
/// neither starts nor ends with a hyphen.
bool isValidName(std::string_view Name);

/// Returns true when Path is valid for a route or a health check.
bool isValidPath(std::string_view Path);

} // namespace marigold::config
