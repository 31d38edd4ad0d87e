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

/// Maps one scalar key of the configuration text to the member that holds its
/// value. The parser, the validator and the diff iterate over the same tables
/// of these.
template <class Owner> struct Field {
  /// Pointer to the member with the value. The member's type determines how the
  /// value is written in the text.
  using Member =
      std::variant<std::uint32_t Owner::*, std::uint64_t Owner::*,
                   std::chrono::milliseconds Owner::*,
                   std::chrono::microseconds Owner::*, double Owner::*,
                   bool Owner::*, Priority Owner::*>;

  /// Key in the text.
  std::string_view Key_;
  Member Member_;
  /// Smallest allowed value in the base unit of the quantity.
  std::uint64_t Minimum_;
  /// Largest allowed value in the base unit of the quantity.
  std::uint64_t Maximum_;
};

/// Keys of a service whose value is a single quantity.
std::span<const Field<ServiceConfig>> serviceFields();

/// Keys of a service-level objective.
std::span<const Field<ServiceObjective>> objectiveFields();

/// Scalar keys of a route, except path.
std::span<const Field<RouteConfig>> routeFields();

/// Scalar keys of a virtual host's route, except prefix and service.
std::span<const Field<HostRoute>> hostRouteFields();

/// Keys of the client limits.
std::span<const Field<ClientLimits>> clientLimitFields();

/// A scalar of the configuration text.
struct ScalarText {
  /// Value without quotes.
  std::string_view Text_;
  /// True when the value was quoted, which is an error for numbers and flags.
  bool Quoted_ = false;
};

/// An error in the value of a field.
struct FieldError {
  ErrorCode Code_;
  /// Description of the error, without the key and value.
  std::string Message_;
  /// Suggested correction.
  std::string Fix_;
};

/// Parses the text of a field, checks its range and stores the value in Target.
/// On error Target is not modified.
template <class Owner>
std::optional<FieldError> readField(const Field<Owner> &Description,
                                    Owner &Target, const ScalarText &Text);

/// Checks that a field's value is within its range.
template <class Owner>
std::optional<FieldError> checkField(const Field<Owner> &Description,
                                     const Owner &Source);

/// Formats a field's value as it is written in the configuration text.
template <class Owner>
std::string fieldText(const Field<Owner> &Description, const Owner &Source);

/// Formats a ratio as a percentage such as "99.9%", rounded to four decimals.
std::string ratioText(double Ratio);

} // namespace marigold::config
