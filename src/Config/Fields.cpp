#include "Config/Fields.h"
#include "Config/Limits.h"

#include <array>
#include <cmath>
#include <type_traits>

namespace marigold::config {
namespace {

constexpr double PartsPerMillion = 1e6;

constexpr std::array<Field<ServiceConfig>, 6> ServiceTable{{
    {"slots", &ServiceConfig::Slots_, 1, MaxSlots},
    {"queue", &ServiceConfig::Queue_, 0, MaxQueue},
    {"connections", &ServiceConfig::Connections_, 1, MaxConnections},
    {"slow_start", &ServiceConfig::SlowStart_, 0,
     static_cast<std::uint64_t>(MaxSlowStart.count())},
    {"cold_time", &ServiceConfig::ColdTime_, 0,
     static_cast<std::uint64_t>(MaxColdTime.count())},
    {"cold_rate", &ServiceConfig::ColdRate_, 0, MaxColdRate},
}};

constexpr std::array<Field<ServiceObjective>, 3> ObjectiveTable{{
    {"availability", &ServiceObjective::Availability_, MinObjective,
     MaxObjective},
    {"latency", &ServiceObjective::Latency_,
     static_cast<std::uint64_t>(MinLatency.count()),
     static_cast<std::uint64_t>(MaxLatency.count())},
    {"latency_ratio", &ServiceObjective::LatencyRatio_, MinObjective,
     MaxObjective},
}};

constexpr std::array<Field<RouteConfig>, 4> RouteTable{{
    {"repeatable", &RouteConfig::Repeatable_, 0, 1},
    {"deadline", &RouteConfig::Deadline_,
     static_cast<std::uint64_t>(MinDeadline.count()),
     static_cast<std::uint64_t>(MaxDeadline.count())},
    {"priority", &RouteConfig::Priority_, 0, PriorityCount - 1},
    {"max_body", &RouteConfig::MaxBody_, 0, MaxBodyLimit},
}};

constexpr std::array<Field<HostRoute>, 5> HostRouteTable{{
    {"repeatable", &HostRoute::Repeatable_, 0, 1},
    {"deadline", &HostRoute::Deadline_,
     static_cast<std::uint64_t>(MinDeadline.count()),
     static_cast<std::uint64_t>(MaxDeadline.count())},
    {"objective", &HostRoute::Objective_,
     static_cast<std::uint64_t>(MinLatency.count()),
     static_cast<std::uint64_t>(MaxRouteObjective.count())},
    {"attempts", &HostRoute::Attempts_, 1, MaxAttempts},
    {"priority", &HostRoute::Priority_, 0, PriorityCount - 1},
}};

constexpr std::array<Field<ClientLimits>, 4> ClientLimitTable{{
    {"header_bytes", &ClientLimits::HeaderBytes_, 0, MaxClientBytes},
    {"body_bytes", &ClientLimits::BodyBytes_, 0, MaxClientBytes},
    {"header_timeout", &ClientLimits::HeaderTimeout_, 0,
     static_cast<std::uint64_t>(MaxClientTimeout.count())},
    {"idle_timeout", &ClientLimits::IdleTimeout_, 0,
     static_cast<std::uint64_t>(MaxClientTimeout.count())},
}};

template <class Value> constexpr QuantityKind kindOf() {
  if constexpr (std::is_same_v<Value, std::chrono::milliseconds>)
    return QuantityKind::Milliseconds;
  else if constexpr (std::is_same_v<Value, std::chrono::microseconds>)
    return QuantityKind::Microseconds;
  else if constexpr (std::is_same_v<Value, double>)
    return QuantityKind::Ratio;
  else if constexpr (std::is_same_v<Value, std::uint64_t>)
    return QuantityKind::Bytes;
  else
    return QuantityKind::Count;
}

template <class Value>
constexpr bool IsQuantity =
    !std::is_same_v<Value, bool> && !std::is_same_v<Value, Priority>;

/// Converts a value to its base unit. Returns nothing when the value is
/// negative, a ratio above 1, not a number, or has a finer resolution than the
/// base unit.
template <class Value> std::optional<std::uint64_t> toBaseUnits(Value Input) {
  if constexpr (std::is_same_v<Value, double>) {
    if (!(Input >= 0 && Input <= 1))
      return std::nullopt;
    // Peers may send only ratios that can be written in a configuration text,
    // so that a version has the same content on every node.
    double Parts = std::round(Input * PartsPerMillion);
    if (Parts / PartsPerMillion != Input)
      return std::nullopt;
    return static_cast<std::uint64_t>(Parts);
  } else if constexpr (std::is_same_v<Value, std::chrono::milliseconds> ||
                       std::is_same_v<Value, std::chrono::microseconds>) {
    if (Input.count() < 0)
      return std::nullopt;
    return static_cast<std::uint64_t>(Input.count());
  } else {
    return static_cast<std::uint64_t>(Input);
  }
}

template <class Value> Value fromBaseUnits(std::uint64_t Base) {
  if constexpr (std::is_same_v<Value, double>)
    return static_cast<double>(Base) / PartsPerMillion;
  else if constexpr (std::is_same_v<Value, std::chrono::milliseconds> ||
                     std::is_same_v<Value, std::chrono::microseconds>)
    return Value(static_cast<std::int64_t>(Base));
  else
    return static_cast<Value>(Base);
}

template <class Value>
FieldError rangeError(std::uint64_t Minimum, std::uint64_t Maximum) {
  std::string Allowed = quantityText(kindOf<Value>(), Minimum) + " to " +
                        quantityText(kindOf<Value>(), Maximum);
  return {ErrorCode::OutOfRange, "is outside " + Allowed,
          "use a value from " + Allowed};
}

/// Result of parsing one scalar: a value or an error.
template <class Value> using ReadResult = std::variant<Value, FieldError>;

template <class Value>
ReadResult<Value> readValue(std::uint64_t Minimum, std::uint64_t Maximum,
                            const ScalarText &Input) {
  if constexpr (std::is_same_v<Value, bool>) {
    if (!Input.Quoted_ && (Input.Text_ == "true" || Input.Text_ == "false"))
      return Input.Text_ == "true";
    return FieldError{ErrorCode::WrongType, "is not true or false",
                      "write true or false without quotes"};
  } else if constexpr (std::is_same_v<Value, Priority>) {
    for (std::uint8_t Index = 0; Index < PriorityCount; ++Index)
      if (toText(static_cast<Priority>(Index)) == Input.Text_)
        return static_cast<Priority>(Index);
    return FieldError{ErrorCode::OutOfRange, "is not a priority",
                      "use background, normal or critical"};
  } else {
    constexpr QuantityKind Kind = kindOf<Value>();
    std::string Form = "write " + std::string(quantityForm(Kind));
    if (Kind == QuantityKind::Count && Input.Quoted_)
      return FieldError{ErrorCode::WrongType, "is a text, not a number",
                        Form + " without quotes"};
    auto Base = parseQuantity(Kind, Input.Text_);
    if (!Base)
      return FieldError{Base.error().Code_, Base.error().Detail_, Form};
    if (Base.value() < Minimum || Base.value() > Maximum)
      return rangeError<Value>(Minimum, Maximum);
    return fromBaseUnits<Value>(Base.value());
  }
}

} // namespace

std::span<const Field<ServiceConfig>> serviceFields() { return ServiceTable; }

std::span<const Field<ServiceObjective>> objectiveFields() {
  return ObjectiveTable;
}

std::span<const Field<RouteConfig>> routeFields() { return RouteTable; }

std::span<const Field<HostRoute>> hostRouteFields() { return HostRouteTable; }

std::span<const Field<ClientLimits>> clientLimitFields() {
  return ClientLimitTable;
}

template <class Owner>
std::optional<FieldError> readField(const Field<Owner> &Description,
                                    Owner &Target, const ScalarText &Text) {
  return std::visit(
      [&](auto Member) -> std::optional<FieldError> {
        using Value = std::remove_reference_t<decltype(Target.*Member)>;
        auto Read =
            readValue<Value>(Description.Minimum_, Description.Maximum_, Text);
        if (auto *Error = std::get_if<FieldError>(&Read))
          return std::move(*Error);
        Target.*Member = std::get<Value>(Read);
        return std::nullopt;
      },
      Description.Member_);
}

template <class Owner>
std::optional<FieldError> checkField(const Field<Owner> &Description,
                                     const Owner &Source) {
  return std::visit(
      [&](auto Member) -> std::optional<FieldError> {
        auto Base = toBaseUnits(Source.*Member);
        if (Base && *Base >= Description.Minimum_ &&
            *Base <= Description.Maximum_)
          return std::nullopt;
        return rangeError<std::remove_cvref_t<decltype(Source.*Member)>>(
            Description.Minimum_, Description.Maximum_);
      },
      Description.Member_);
}

template <class Owner>
std::string fieldText(const Field<Owner> &Description, const Owner &Source) {
  return std::visit(
      [&](auto Member) -> std::string {
        using Value = std::remove_cvref_t<decltype(Source.*Member)>;
        if constexpr (std::is_same_v<Value, bool>)
          return Source.*Member ? "true" : "false";
        else if constexpr (std::is_same_v<Value, Priority>)
          return std::string(toText(Source.*Member));
        else
          return quantityText(kindOf<Value>(),
                              toBaseUnits(Source.*Member).value_or(0));
      },
      Description.Member_);
}

std::string ratioText(double Ratio) {
  if (!(Ratio >= 0))
    return "0%";
  return quantityText(
      QuantityKind::Ratio,
      static_cast<std::uint64_t>(std::round(Ratio * PartsPerMillion)));
}

template std::optional<FieldError>
readField(const Field<ServiceConfig> &, ServiceConfig &, const ScalarText &);
template std::optional<FieldError> readField(const Field<ServiceObjective> &,
                                             ServiceObjective &,
                                             const ScalarText &);
template std::optional<FieldError> readField(const Field<RouteConfig> &,
                                             RouteConfig &, const ScalarText &);
template std::optional<FieldError> readField(const Field<HostRoute> &,
                                             HostRoute &, const ScalarText &);
template std::optional<FieldError>
readField(const Field<ClientLimits> &, ClientLimits &, const ScalarText &);
template std::optional<FieldError> checkField(const Field<HostRoute> &,
                                              const HostRoute &);
template std::optional<FieldError> checkField(const Field<ClientLimits> &,
                                              const ClientLimits &);
template std::string fieldText(const Field<HostRoute> &, const HostRoute &);
template std::string fieldText(const Field<ClientLimits> &,
                               const ClientLimits &);
template std::optional<FieldError> checkField(const Field<ServiceConfig> &,
                                              const ServiceConfig &);
template std::optional<FieldError> checkField(const Field<ServiceObjective> &,
                                              const ServiceObjective &);
template std::optional<FieldError> checkField(const Field<RouteConfig> &,
                                              const RouteConfig &);
template std::string fieldText(const Field<ServiceConfig> &,
                               const ServiceConfig &);
template std::string fieldText(const Field<ServiceObjective> &,
                               const ServiceObjective &);
template std::string fieldText(const Field<RouteConfig> &, const RouteConfig &);

} // namespace marigold::config
