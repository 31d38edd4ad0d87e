#pragma once

#include "Schema/generated/Messages.h"

#include <cstdint>
#include <string>
#include <vector>

namespace marigold::config {

/// Content of one configuration text.
struct ServiceModel {
  /// First part of the version. Operators raise it after the configuration
  /// source has lost its history.
  std::uint32_t Epoch_ = 0;
  std::string Mesh_;
  /// Services; sorted by name when the model comes from the parser.
  std::vector<ServiceConfig> Services_;
  /// Virtual hosts; sorted by name when the model comes from the parser.
  std::vector<VirtualHost> Hosts_ = {};
  ClientLimits Limits_ = {};

  friend bool operator==(const ServiceModel &, const ServiceModel &) = default;
};

/// Service name of the part of a route that cannot be used, for example because
/// it names a service that does not exist. Its requests are refused.
inline const std::string NoService;

/// Returns all HTTP methods that a route can list, sorted.
const std::vector<std::string> &knownMethods();

/// Returns a route with the default values for keys missing from the text: all
/// methods, not repeatable.
RouteConfig defaultRoute(std::string Path = "/");

/// Returns a service with the default values for missing keys and one default
/// route.
ServiceConfig defaultService(std::string Name);

/// Returns a virtual host's route with the default values for missing keys.
HostRoute defaultHostRoute();

/// Returns true when Left precedes Right in the order of VirtualHost::Routes_:
/// by descending length of the prefix, then by prefix.
bool hostRouteBefore(const HostRoute &Left, const HostRoute &Right);

/// Returns true when Left precedes Right in the order of
/// ServiceConfig::Routes_: by descending length of the path, then by path and
/// methods.
bool routeBefore(const RouteConfig &Left, const RouteConfig &Right);

/// Sorts services, virtual hosts and their lists into the canonical order, over
/// which digests are computed.
void normalize(ServiceModel &Model);

} // namespace marigold::config
