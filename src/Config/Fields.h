#pragma once

#include "Config/Quantity.h"
#include "Schema/generated/Messages.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>

namespace marigold::config {

/// One scalar key of the text and the member that holds its value. Parser,
/// validator and diff walk the same tables.
template <class Owner> struct Field {
  /// Member with the value; its type gives the form of the text.
  using Member =
      std::variant<std::uint32_t Owner::*, std::uint64_t Owner::*,
                   std::chrono::milliseconds Owner::*,
                   std::chrono::microseconds Owner::*, double Owner::*,
                   bool Owner::*, Priority Owner::*>;

  /// Key in the text.
  std::string_view Key_;
  /// Member.
  Member Member_;
  /// Smallest allowed value in the base unit of the quantity.
  std::uint64_t Minimum_;
  /// Largest allowed value in the base unit of the quantity.
  std::uint64_t Maximum_;
};

/// Keys of a service that hold one quantity each.
std::span<const Field<ServiceConfig>> serviceFields();

/// Keys of an objective.
std::span<const Field<ServiceObjective>> objectiveFields();

/// Keys of a route except path and methods.
std::span<const Field<RouteConfig>> routeFields();

/// Keys of a route of a virtual host except prefix, service and split.
std::span<const Field<HostRoute>> hostRouteFields();

/// Keys of the limits of clients.
std::span<const Field<ClientLimits>> clientLimitFields();

/// A scalar of the text.
struct ScalarText {
  /// Value after quotes are removed.
  std::string_view Text_;
  /// True when the value stands in quotes. Numbers and flags may not.
  bool Quoted_ = false;
};

/// An error in the value of a field.
struct FieldError {
  /// Kind.
  ErrorCode Code_;
  /// What is wrong with the value, without key and value.
  std::string Message_;
  /// What to write instead.
  std::string Fix_;
};

/// Reads the text of a field and checks its range. The member changes only
/// on success.
template <class Owner>
std::optional<FieldError> readField(const Field<Owner> &Description,
                                    Owner &Target, const ScalarText &Text);

/// Checks the range of a field's value.
template <class Owner>
std::optional<FieldError> checkField(const Field<Owner> &Description,
                                     const Owner &Source);

/// Writes a field's value in the form of the text.
template <class Owner>
std::string fieldText(const Field<Owner> &Description, const Owner &Source);

/// Writes a ratio such as "99.9%", rounded to four decimals.
std::string ratioText(double Ratio);

} // namespace marigold::config
