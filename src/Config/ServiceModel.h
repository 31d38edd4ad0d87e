#pragma once

#include "Schema/generated/Messages.h"

#include <cstdint>
#include <string>
#include <vector>

namespace marigold::config {

/// Content of one configuration text.
struct ServiceModel {
  /// First part of the version; raised by operators after the source lost its
  /// history.
  std::uint32_t Epoch_ = 0;
  /// Name of the mesh.
  std::string Mesh_;
  /// Services. The parser returns them sorted by name.
  std::vector<ServiceConfig> Services_;
  /// Virtual hosts. The parser returns them sorted by name.
  std::vector<VirtualHost> Hosts_ = {};
  /// Limits of clients.
  ClientLimits Limits_ = {};

  friend bool operator==(const ServiceModel &, const ServiceModel &) = default;
};

/// All HTTP methods that a route can name, sorted.
const std::vector<std::string> &knownMethods();

/// A route with the defaults of the text: all methods, not repeatable.
RouteConfig defaultRoute(std::string Path = "/");

/// A service with the defaults of the text and one default route.
ServiceConfig defaultService(std::string Name);

/// A route of a virtual host with the defaults of the text.
HostRoute defaultHostRoute();

/// True when Left precedes Right in the order of VirtualHost::Routes_: longest
/// prefix first, then by prefix.
bool hostRouteBefore(const HostRoute &Left, const HostRoute &Right);

/// True when Left precedes Right in the order of ServiceConfig::Routes_:
/// longest path first, then by path and methods.
bool routeBefore(const RouteConfig &Left, const RouteConfig &Right);

/// Sorts services, dependencies, routes and methods into the order in which
/// digests are computed.
void normalize(ServiceModel &Model);

} // namespace marigold::config
