#include "Config/ServiceModel.h"

#include <algorithm>
#include <tuple>

namespace marigold::config {

const std::vector<std::string> &knownMethods() {
  static const std::vector<std::string> Methods{
      "DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT"};
  return Methods;
}

RouteConfig defaultRoute(std::string Path) {
  RouteConfig Route;
  Route.Path_ = std::move(Path);
  Route.Methods_ = knownMethods();
  Route.Repeatable_ = false;
  Route.Deadline_ = std::chrono::seconds(5);
  Route.Priority_ = Priority::Normal;
  Route.MaxBody_ = 1'048'576;
  return Route;
}

ServiceConfig defaultService(std::string Name) {
  ServiceConfig Service;
  Service.Name_ = std::move(Name);
  Service.Slots_ = 10;
  Service.Queue_ = 20;
  Service.Connections_ = 100;
  Service.SlowStart_ = std::chrono::seconds(10);
  Service.Objective_.Availability_ = 0.999;
  Service.Objective_.Latency_ = std::chrono::milliseconds(500);
  Service.Objective_.LatencyRatio_ = 0.99;
  Service.Routes_.push_back(defaultRoute());
  return Service;
}

HostRoute defaultHostRoute() {
  HostRoute Route;
  Route.Prefix_ = "/";
  Route.Deadline_ = std::chrono::seconds(5);
  Route.Objective_ = std::chrono::milliseconds(500);
  Route.Attempts_ = 3;
  Route.Priority_ = Priority::Normal;
  return Route;
}

bool hostRouteBefore(const HostRoute &Left, const HostRoute &Right) {
  if (Left.Prefix_.size() != Right.Prefix_.size())
    return Left.Prefix_.size() > Right.Prefix_.size();
  return Left.Prefix_ < Right.Prefix_;
}

bool routeBefore(const RouteConfig &Left, const RouteConfig &Right) {
  if (Left.Path_.size() != Right.Path_.size())
    return Left.Path_.size() > Right.Path_.size();
  return std::tie(Left.Path_, Left.Methods_) <
         std::tie(Right.Path_, Right.Methods_);
}

void normalize(ServiceModel &Model) {
  std::ranges::sort(Model.Services_, {}, &ServiceConfig::Name_);
  for (ServiceConfig &Service : Model.Services_) {
    std::ranges::sort(Service.DependsOn_);
    for (RouteConfig &Route : Service.Routes_)
      std::ranges::sort(Route.Methods_);
    std::ranges::sort(Service.Routes_, routeBefore);
  }
  std::ranges::sort(Model.Hosts_, {}, &VirtualHost::Name_);
  for (VirtualHost &Host : Model.Hosts_) {
    std::ranges::sort(Host.Routes_, hostRouteBefore);
    for (HostRoute &Route : Host.Routes_)
      std::ranges::sort(Route.Targets_, {}, &WeightedService::Service_);
  }
}

} // namespace marigold::config
