#include "Config/ModelDiff.h"
#include "Config/Fields.h"

#include <algorithm>
#include <map>

namespace marigold::config {
namespace {

std::string join(const std::vector<std::string> &Values) {
  std::string Text;
  for (const std::string &Value : Values)
    Text += (Text.empty() ? "" : ",") + Value;
  return Text;
}

/// Names of properties with their values as written in the configuration text.
using Properties = std::vector<std::pair<std::string, std::string>>;

template <class Owner>
void addFields(Properties &Out, const std::string &Prefix,
               std::span<const Field<Owner>> Fields, const Owner &Source) {
  for (const Field<Owner> &Description : Fields)
    Out.emplace_back(Prefix + std::string(Description.Key_),
                     fieldText(Description, Source));
}

Properties propertiesOf(const ServiceConfig &Service) {
  Properties Out;
  addFields(Out, "", serviceFields(), Service);
  addFields(Out, "objective ", objectiveFields(), Service.Objective_);
  return Out;
}

Properties propertiesOf(const RouteConfig &Route) {
  Properties Out;
  addFields(Out, "", routeFields(), Route);
  return Out;
}

Properties propertiesOf(const HostRoute &Route) {
  Properties Out;
  addFields(Out, "", hostRouteFields(), Route);
  std::string Targets;
  for (const WeightedService &Target : Route.Targets_)
    Targets += (Targets.empty() ? "" : ",") + Target.Service_ + ":" +
               std::to_string(Target.Weight_);
  Out.emplace_back("split", Targets);
  return Out;
}

Properties propertiesOf(const ClientLimits &Limits) {
  Properties Out;
  addFields(Out, "", clientLimitFields(), Limits);
  return Out;
}

/// Formats all values on one line, for an added or removed subject.
std::string summarize(const Properties &Values) {
  std::string Text;
  for (const auto &[Name, Value] : Values)
    Text += (Text.empty() ? "" : " ") + Name + "=" + Value;
  return Text;
}

class Differ {
public:
  std::vector<ModelChange> run(const ServiceModel &Old,
                               const ServiceModel &New) {
    compareValue("epoch", std::to_string(Old.Epoch_),
                 std::to_string(New.Epoch_));
    compareValue("mesh", Old.Mesh_, New.Mesh_);
    compareKeyed(
        Old.Services_, New.Services_,
        [](const ServiceConfig &Service) { return "service " + Service.Name_; },
        [&](const std::string &Key, const ServiceConfig *Before,
            const ServiceConfig *After) {
          compareServices(Key, Before, After);
        });
    compareKeyed(
        Old.Hosts_, New.Hosts_,
        [](const VirtualHost &Host) { return "host " + Host.Name_; },
        [&](const std::string &Key, const VirtualHost *Before,
            const VirtualHost *After) { compareHosts(Key, Before, After); });
    compareProperties("limits", &Old.Limits_, &New.Limits_);
    return std::move(Changes_);
  }

private:
  void compareValue(std::string Subject, std::string Before,
                    std::string After) {
    if (Before != After)
      Changes_.push_back(
          {std::move(Subject), std::move(Before), std::move(After)});
  }

  /// Calls Visit once for each key in either list, passing a null pointer for
  /// the list that lacks the key.
  template <class Value, class KeyOf, class Compare>
  static void compareKeyed(const std::vector<Value> &Old,
                           const std::vector<Value> &New, KeyOf Key,
                           Compare Visit) {
    std::map<std::string, std::pair<const Value *, const Value *>> Pairs;
    for (const Value &Entry : Old)
      Pairs[Key(Entry)].first = &Entry;
    for (const Value &Entry : New)
      Pairs[Key(Entry)].second = &Entry;
    for (const auto &[Name, Pair] : Pairs)
      Visit(Name, Pair.first, Pair.second);
  }

  /// Compares the properties of a subject. At least one of Before and After is
  /// not null.
  template <class Value>
  void compareProperties(const std::string &Key, const Value *Before,
                         const Value *After) {
    if (Before == nullptr || After == nullptr)
      return compareValue(Key, Before ? summarize(propertiesOf(*Before)) : "",
                          After ? summarize(propertiesOf(*After)) : "");
    Properties Earlier = propertiesOf(*Before);
    Properties Later = propertiesOf(*After);
    for (std::size_t Index = 0; Index < Earlier.size(); ++Index)
      compareValue(Key + " " + Earlier[Index].first, Earlier[Index].second,
                   Later[Index].second);
  }

  void compareServices(const std::string &Key, const ServiceConfig *Before,
                       const ServiceConfig *After) {
    compareProperties(Key, Before, After);
    compareValue(Key + " depends_on", Before ? join(Before->DependsOn_) : "",
                 After ? join(After->DependsOn_) : "");
    compareValue(Key + " health_path", Before ? Before->HealthPath_ : "",
                 After ? After->HealthPath_ : "");
    static const std::vector<RouteConfig> NoRoutes;
    compareKeyed(
        Before ? Before->Routes_ : NoRoutes, After ? After->Routes_ : NoRoutes,
        [&](const RouteConfig &Route) {
          return Key + " route " + join(Route.Methods_) + " " + Route.Path_;
        },
        [&](const std::string &RouteKey, const RouteConfig *Earlier,
            const RouteConfig *Later) {
          compareProperties(RouteKey, Earlier, Later);
        });
  }

  void compareHosts(const std::string &Key, const VirtualHost *Before,
                    const VirtualHost *After) {
    static const std::vector<HostRoute> NoRoutes;
    compareKeyed(
        Before ? Before->Routes_ : NoRoutes, After ? After->Routes_ : NoRoutes,
        [&](const HostRoute &Route) { return Key + " route " + Route.Prefix_; },
        [&](const std::string &RouteKey, const HostRoute *Earlier,
            const HostRoute *Later) {
          compareProperties(RouteKey, Earlier, Later);
        });
  }

  std::vector<ModelChange> Changes_;
};

} // namespace

std::vector<ModelChange> diffModels(const ServiceModel &Old,
                                    const ServiceModel &New) {
  return Differ().run(Old, New);
}

std::string toText(const ModelChange &Change) {
  if (Change.Before_.empty())
    return "+ " + Change.Subject_ + ": " + Change.After_;
  if (Change.After_.empty())
    return "- " + Change.Subject_ + ": " + Change.Before_;
  return "~ " + Change.Subject_ + ": " + Change.Before_ + " -> " +
         Change.After_;
}

} // namespace marigold::config
