#include "Ctl/NodeStatus.h"
#include "Support/Addresses.h"

#include <nlohmann/json.hpp>

namespace marigold::ctl {
namespace {

using Json = nlohmann::json;

/// Thrown when a status body has an invalid value; caught by parseStatus().
struct MalformedStatus {
  std::string Detail_;
};

template <class T> T unwrap(Result<T> Value, std::string_view Key) {
  if (!Value)
    throw MalformedStatus{std::string(Key) + ": " + Value.error().Detail_};
  return std::move(Value.value());
}

std::string readText(const Json &Object, const char *Key) {
  return Object.at(Key).get<std::string>();
}

Address readAddress(const Json &Object, const char *Key) {
  return unwrap(parseAddress(readText(Object, Key)), Key);
}

ConfigVersion readVersion(const Json &Object, const char *Key) {
  return unwrap(parseVersion(readText(Object, Key)), Key);
}

HostState readState(const Json &Object) {
  std::string Text = readText(Object, "state");
  for (std::uint8_t Index = 0; Index < HostStateCount; ++Index)
    if (toText(static_cast<HostState>(Index)) == Text)
      return static_cast<HostState>(Index);
  throw MalformedStatus{"state: unknown value"};
}

HostEntry readHost(const Json &Object) {
  HostEntry Host;
  Host.Host_ = toHostId(readAddress(Object, "host"));
  Host.Admin_ = readAddress(Object, "admin");
  Host.FailureDomain_ = readText(Object, "failure_domain");
  Host.Service_ = readText(Object, "service");
  Host.State_ = readState(Object);
  Host.Incarnation_ = Object.at("incarnation").get<std::uint64_t>();
  return Host;
}

NodeStatus readStatus(const Json &Object) {
  NodeStatus Status;
  Status.Host_ = toHostId(readAddress(Object, "host"));
  Status.FailureDomain_ = readText(Object, "failure_domain");
  Status.Region_ = readText(Object, "region");
  Status.Service_ = readText(Object, "service");
  Status.Incarnation_ = Object.at("incarnation").get<std::uint64_t>();
  Status.State_ = readState(Object);
  Status.Version_ = readVersion(Object, "version");
  Status.Digest_ = readText(Object, "digest");
  if (const Json &Age = Object.at("source_age_ms"); !Age.is_null())
    Status.SourceAge_ = std::chrono::milliseconds(Age.get<std::int64_t>());
  if (const Json &Refused = Object.at("refused"); !Refused.is_null())
    Status.Refused_ = RefusedVersion{readVersion(Refused, "version"),
                                     readText(Refused, "reason")};
  Status.SourceOnlyStart_ = Object.at("bootstrap_source_only").get<bool>();
  for (const Json &Entry : Object.at("history"))
    Status.History_.push_back(
        {readVersion(Entry, "version"), readText(Entry, "digest")});
  if (Object.contains("hosts")) {
    Status.Hosts_.emplace();
    for (const Json &Entry : Object.at("hosts"))
      Status.Hosts_->push_back(readHost(Entry));
  }
  return Status;
}

} // namespace

Result<NodeStatus> parseStatus(std::string_view Body) {
  try {
    return readStatus(Json::parse(Body));
  } catch (const Json::exception &Error) {
    return fail(ErrorCode::MessageMalformed, Error.what());
  } catch (const MalformedStatus &Error) {
    return fail(ErrorCode::MessageMalformed, Error.Detail_);
  }
}

} // namespace marigold::ctl
