#include "Node/CallInterface.h"

namespace marigold::node {
namespace {

constexpr std::string_view ReservedPathPrefix = "/.marigold/";

} // namespace

CallInterface interfaceOf(const transport::HttpRequest &Request,
                          const HttpHeaderNames &Names,
                          const config::Snapshot *Current) {
  if (!Names.HostsAreServices_)
    return CallInterface::VirtualHost;
  if (Request.Target_.starts_with(ReservedPathPrefix))
    return CallInterface::Reserved;
  return Current && Current->findHost(Request.Host_)
             ? CallInterface::VirtualHost
             : CallInterface::Service;
}

} // namespace marigold::node
