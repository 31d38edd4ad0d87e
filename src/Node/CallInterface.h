#pragma once

#include "Node/HttpHeaderNames.h"

#include "Config/Snapshot.h"
#include "Transport/HttpTypes.h"

#include <cstdint>

namespace marigold::node {

/// Interface to which a request of a caller belongs.
enum class CallInterface : std::uint8_t {
  /// The Host field names a virtual host, whose routes lead to services.
  VirtualHost,
  /// The Host field names the service itself.
  Service,
  /// The path belongs to the node.
  Reserved,
};

/// Decides to which interface a request belongs. On platforms whose callers
/// know virtual hosts only, no request belongs to another one: a host without
/// routes may have the name of a service. Current is the configuration in
/// force; null before the first one.
CallInterface interfaceOf(const transport::HttpRequest &Request,
                          const HttpHeaderNames &Names,
                          const config::Snapshot *Current);

} // namespace marigold::node
