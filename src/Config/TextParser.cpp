#include "Config/TextParser.h"
#include "Config/Fields.h"
#include "Config/Limits.h"
#include "Config/TextTree.h"
#include "Config/Validator.h"

#include <algorithm>
#include <initializer_list>
#include <limits>
#include <set>
#include <tuple>

namespace marigold::config {
namespace {

/// Nodes of a route at which validation errors are reported.
struct RouteNodes {
  const TextNode *Route_;
  std::vector<const TextNode *> Methods_;
};

/// Nodes of a service at which validation errors are reported.
struct ServiceNodes {
  const TextNode *Name_;
  const TextNode *Value_;
  std::vector<const TextNode *> DependsOn_;
  std::vector<RouteNodes> Routes_;
};

/// Nodes of a virtual host at which validation errors are reported.
struct HostNodes {
  const TextNode *Name_;
  std::vector<const TextNode *> Routes_;
};

/// Converts the tree of one text to a model and collects errors. A member whose
/// value is invalid keeps its default, so that the validator does not report
/// another error for it.
class ModelReader {
public:
  ModelReader(std::string_view FileName, Diagnostics &Out)
      : FileName_(FileName), Out_(Out) {}

  ServiceModel read(const TextNode &Root) {
    // Valid placeholders, used when the key is missing or its value is invalid.
    Model_.Epoch_ = MinEpoch;
    Model_.Mesh_ = "mesh";
    if (!isMapping(Root, "the text", "epoch, mesh and services"))
      return {};
    checkKeys(Root, "the text",
              {"epoch", "mesh", "services", "hosts", "limits"});
    readEpoch(Root);
    if (const TextNode *Node = requireKey(Root, "the text", "mesh"))
      readText(*Node, "mesh", Model_.Mesh_);
    const TextNode *Services = requireKey(Root, "the text", "services");
    bool Complete = Services != nullptr && readServices(*Services);
    if (const TextNode *Hosts = Root.find("hosts"))
      readHosts(*Hosts);
    if (const TextNode *Limits = Root.find("limits");
        Limits != nullptr &&
        isMapping(*Limits, "limits", "the limits of clients")) {
      checkKeys(
          *Limits, "limits",
          {"header_bytes", "body_bytes", "header_timeout", "idle_timeout"});
      readFields(clientLimitFields(), *Limits, Model_.Limits_);
    }
    for (ModelError &Error :
         validateModel(viewOf(Model_), ModelRules::OperatorText)) {
      // A missing or malformed "services" has already been reported.
      if (!Complete && Error.Location_.Key_ == "services")
        continue;
      const TextNode &Node = locate(Root, Error.Location_);
      report(Node, Error.Code_, std::move(Error.Message_),
             std::move(Error.Fix_));
    }
    return std::move(Model_);
  }

private:
  void report(const TextNode &Node, ErrorCode Code, std::string Message,
              std::string Fix) {
    // Collects one error more than is reported, so that sortAndTruncate can
    // tell that there are further errors.
    if (Out_.size() > MaxDiagnostics)
      return;
    Out_.push_back({std::string(FileName_), Node.Line_, Node.Column_, Code,
                    std::move(Message), std::move(Fix)});
  }

  void reportType(const TextNode &Node, std::string_view What,
                  std::string_view Form) {
    report(Node, ErrorCode::WrongType,
           std::string(What) + " is not " + std::string(Form),
           "write " + std::string(Form));
  }

  bool isMapping(const TextNode &Node, std::string_view What,
                 std::string_view Keys) {
    if (Node.Kind_ == NodeKind::Mapping)
      return true;
    reportType(Node, What, "a mapping with " + std::string(Keys));
    return false;
  }

  bool isList(const TextNode &Node, std::string_view What) {
    if (Node.Kind_ == NodeKind::List)
      return true;
    reportType(Node, What, "a list");
    return false;
  }

  /// Returns false and reports an error when a list or mapping has too many
  /// entries. The caller then skips it, so that an invalid text cannot use much
  /// more memory than a valid one.
  bool isWithinLimit(const TextNode &Node, std::string_view What,
                     std::size_t Count, std::size_t Limit) {
    if (Count <= Limit)
      return true;
    report(Node, ErrorCode::TooMany,
           std::string(What) + " has " + std::to_string(Count) + " entries",
           "use at most " + std::to_string(Limit));
    return false;
  }

  /// Reports unknown and duplicate keys of a mapping.
  void checkKeys(const TextNode &Mapping, std::string_view What,
                 std::initializer_list<std::string_view> Known) {
    std::set<std::string_view> Seen;
    for (std::size_t Index = 0; Index < Mapping.Children_.size(); Index += 2) {
      const TextNode &Key = Mapping.Children_[Index];
      if (Key.Kind_ != NodeKind::Scalar) {
        reportType(Key, "a key of " + std::string(What), "a text");
      } else if (std::ranges::find(Known, Key.Text_) == Known.end()) {
        std::string Names;
        for (std::string_view Name : Known)
          Names += (Names.empty() ? "" : ", ") + std::string(Name);
        report(Key, ErrorCode::UnknownKey,
               "key " + quoteText(Key.Text_) + " is not known in " +
                   std::string(What),
               "use one of " + Names);
      } else if (!Seen.insert(Key.Text_).second) {
        report(Key, ErrorCode::DuplicateKey,
               "key " + quoteText(Key.Text_) + " stands twice in " +
                   std::string(What),
               "remove one of the two");
      }
    }
  }

  const TextNode *requireKey(const TextNode &Mapping, std::string_view What,
                             std::string_view Key) {
    const TextNode *Node = Mapping.find(Key);
    if (Node == nullptr)
      report(Mapping, ErrorCode::MissingKey,
             std::string(What) + " has no key " + std::string(Key),
             "add " + std::string(Key));
    return Node;
  }

  bool readText(const TextNode &Node, std::string_view What,
                std::string &Target) {
    if (Node.Kind_ != NodeKind::Scalar) {
      reportType(Node, What, "a text");
      return false;
    }
    Target = Node.Text_;
    return true;
  }

  void readEpoch(const TextNode &Root) {
    const TextNode *Node = requireKey(Root, "the text", "epoch");
    if (Node == nullptr)
      return;
    auto Value = parseQuantity(QuantityKind::Count, Node->Text_);
    if (Node->Kind_ != NodeKind::Scalar || Node->Quoted_ || !Value)
      return reportType(*Node, "epoch", "a whole number without quotes");
    if (Value.value() > std::numeric_limits<std::uint32_t>::max())
      return report(*Node, ErrorCode::OutOfRange,
                    "epoch " + quoteText(Node->Text_) +
                        " is outside 1 to 4294967295",
                    "raise the last epoch by 1");
    Model_.Epoch_ = static_cast<std::uint32_t>(Value.value());
  }

  bool readServices(const TextNode &Node) {
    if (!isMapping(Node, "services", "one key per service") ||
        !isWithinLimit(Node, "services", Node.Children_.size() / 2,
                       MaxServices))
      return false;
    bool Complete = true;
    for (std::size_t Index = 0; Index < Node.Children_.size(); Index += 2) {
      const TextNode &Key = Node.Children_[Index];
      if (Key.Kind_ != NodeKind::Scalar) {
        reportType(Key, "a service's name", "a text");
        Complete = false;
        continue;
      }
      readService(Key, Node.Children_[Index + 1]);
    }
    return Complete;
  }

  void readService(const TextNode &Key, const TextNode &Value) {
    Model_.Services_.push_back(defaultService(Key.Text_));
    ServiceConfig &Service = Model_.Services_.back();
    ServiceNodes &Nodes = Nodes_.emplace_back();
    Nodes.Name_ = &Key;
    Nodes.Value_ = &Value;
    std::string What = "service " + quoteText(Key.Text_);
    // "name:" alone is a service with all defaults.
    if (Value.Kind_ == NodeKind::Null ||
        !isMapping(Value, What, "the keys of a service"))
      return;
    checkKeys(Value, What,
              {"depends_on", "slots", "queue", "connections", "slow_start",
               "cold_time", "cold_rate", "health_path", "objective", "routes"});
    readFields(serviceFields(), Value, Service);
    if (const TextNode *Node = Value.find("health_path"))
      readText(*Node, "health_path", Service.HealthPath_);
    if (const TextNode *Node = Value.find("depends_on"))
      readNames(*Node, "depends_on", Service.DependsOn_, Nodes.DependsOn_,
                MaxDependencies);
    if (const TextNode *Node = Value.find("objective");
        Node != nullptr &&
        isMapping(*Node, "objective", "availability, latency, latency_ratio")) {
      checkKeys(*Node, "objective",
                {"availability", "latency", "latency_ratio"});
      readFields(objectiveFields(), *Node, Service.Objective_);
    }
    if (const TextNode *Node = Value.find("routes");
        Node != nullptr && isList(*Node, "routes") &&
        isWithinLimit(*Node, "routes", Node->Children_.size(), MaxRoutes))
      readRoutes(*Node, Service, Nodes);
  }

  template <class Owner>
  void readFields(std::span<const Field<Owner>> Fields, const TextNode &Mapping,
                  Owner &Target) {
    for (const Field<Owner> &Description : Fields) {
      const TextNode *Node = Mapping.find(Description.Key_);
      if (Node == nullptr)
        continue;
      std::string Key(Description.Key_);
      if (Node->Kind_ != NodeKind::Scalar) {
        reportType(*Node, Key, "a single value");
        continue;
      }
      auto Error = readField(Description, Target, {Node->Text_, Node->Quoted_});
      if (Error)
        report(*Node, Error->Code_,
               Key + " " + quoteText(Node->Text_) + " " + Error->Message_,
               Error->Fix_);
    }
  }

  void readNames(const TextNode &Node, std::string_view What,
                 std::vector<std::string> &Names,
                 std::vector<const TextNode *> &Nodes, std::size_t Limit) {
    if (!isList(Node, What) ||
        !isWithinLimit(Node, What, Node.Children_.size(), Limit))
      return;
    std::vector<std::string> Read;
    for (const TextNode &Entry : Node.Children_) {
      std::string Name;
      if (!readText(Entry, "an entry of " + std::string(What), Name))
        continue;
      Read.push_back(std::move(Name));
      Nodes.push_back(&Entry);
    }
    // When every entry is invalid the default is kept, so that the list is not
    // also reported as empty.
    if (!Read.empty() || Node.Children_.empty())
      Names = std::move(Read);
  }

  void readRoutes(const TextNode &List, ServiceConfig &Service,
                  ServiceNodes &Nodes) {
    std::vector<RouteConfig> Routes;
    for (const TextNode &Node : List.Children_) {
      if (!isMapping(Node, "a route", "the keys of a route"))
        continue;
      checkKeys(Node, "a route",
                {"path", "methods", "repeatable", "deadline", "priority",
                 "max_body"});
      RouteConfig Route = defaultRoute();
      RouteNodes Places{&Node, {}};
      const TextNode *Path = requireKey(Node, "a route", "path");
      bool HasPath = Path != nullptr && readText(*Path, "path", Route.Path_);
      if (const TextNode *Methods = Node.find("methods"))
        readNames(*Methods, "methods", Route.Methods_, Places.Methods_,
                  MaxMethods);
      readFields(routeFields(), Node, Route);
      // Without a path the route cannot be validated further.
      if (!HasPath)
        continue;
      Routes.push_back(std::move(Route));
      Nodes.Routes_.push_back(std::move(Places));
    }
    // When every route is invalid the default route is kept, so that the list
    // is not also reported as empty.
    if (!Routes.empty() || List.Children_.empty())
      Service.Routes_ = std::move(Routes);
  }

  void readHosts(const TextNode &Node) {
    if (!isMapping(Node, "hosts", "one key per host") ||
        !isWithinLimit(Node, "hosts", Node.Children_.size() / 2,
                       MaxVirtualHosts))
      return;
    for (std::size_t Index = 0; Index < Node.Children_.size(); Index += 2) {
      const TextNode &Key = Node.Children_[Index];
      const TextNode &List = Node.Children_[Index + 1];
      if (Key.Kind_ != NodeKind::Scalar) {
        reportType(Key, "a host's name", "a text");
        continue;
      }
      Model_.Hosts_.push_back({Key.Text_, {}});
      HostNodes &Places = HostNodes_.emplace_back(HostNodes{&Key, {}});
      if (isList(List, "host " + quoteText(Key.Text_)) &&
          isWithinLimit(List, "a host", List.Children_.size(), MaxHostRoutes))
        for (const TextNode &Route : List.Children_)
          readHostRoute(Route, Model_.Hosts_.back(), Places);
    }
  }

  void readHostRoute(const TextNode &Node, VirtualHost &Host,
                     HostNodes &Places) {
    constexpr std::string_view What = "a host's route";
    if (!isMapping(Node, What, "the keys of a host's route"))
      return;
    checkKeys(Node, What,
              {"prefix", "service", "split", "repeatable", "deadline",
               "objective", "attempts", "priority"});
    HostRoute Route = defaultHostRoute();
    const TextNode *Prefix = requireKey(Node, What, "prefix");
    if (Prefix == nullptr || !readText(*Prefix, "prefix", Route.Prefix_))
      return;
    readFields(hostRouteFields(), Node, Route);
    const TextNode *Service = Node.find("service");
    const TextNode *Split = Node.find("split");
    if ((Service == nullptr) == (Split == nullptr)) {
      report(Node, ErrorCode::MissingKey,
             "a host's route needs either service or split",
             "name one service, or a split with weights");
      return;
    }
    if (Service != nullptr) {
      WeightedService Only{{}, 1};
      if (!readText(*Service, "service", Only.Service_))
        return;
      Route.Targets_.push_back(std::move(Only));
    } else if (!readSplit(*Split, Route)) {
      return;
    }
    Host.Routes_.push_back(std::move(Route));
    Places.Routes_.push_back(&Node);
  }

  bool readSplit(const TextNode &Node, HostRoute &Route) {
    if (!isMapping(Node, "split", "one weight per service") ||
        !isWithinLimit(Node, "split", Node.Children_.size() / 2,
                       MaxRouteTargets))
      return false;
    for (std::size_t Index = 0; Index < Node.Children_.size(); Index += 2) {
      const TextNode &Weight = Node.Children_[Index + 1];
      auto Value = parseQuantity(QuantityKind::Count, Weight.Text_);
      if (Weight.Kind_ != NodeKind::Scalar || Weight.Quoted_ || !Value ||
          Value.value() > MaxWeight) {
        reportType(Weight, "a weight", "a whole number");
        return false;
      }
      Route.Targets_.push_back({Node.Children_[Index].Text_,
                                static_cast<std::uint32_t>(Value.value())});
    }
    return true;
  }

  /// Returns the node of the text that a part of the model was read from.
  const TextNode &locate(const TextNode &Root,
                         const ModelLocation &Location) const {
    const TextNode *Node = &Root;
    if (Location.Host_) {
      const HostNodes &Host = HostNodes_[*Location.Host_];
      Node = Host.Name_;
      if (Location.Route_ && *Location.Route_ < Host.Routes_.size())
        Node = Host.Routes_[*Location.Route_];
    }
    const std::vector<const TextNode *> *Entries = nullptr;
    if (Location.Service_) {
      const ServiceNodes &Service = Nodes_[*Location.Service_];
      Node = Location.Key_.empty() ? Service.Name_ : Service.Value_;
      Entries = &Service.DependsOn_;
      if (Location.Route_ && *Location.Route_ < Service.Routes_.size()) {
        const RouteNodes &Route = Service.Routes_[*Location.Route_];
        Node = Route.Route_;
        Entries = &Route.Methods_;
      }
    }
    if (Entries != nullptr && Location.Entry_ &&
        *Location.Entry_ < Entries->size())
      return *(*Entries)[*Location.Entry_];
    const TextNode *Value =
        Location.Key_.empty() ? nullptr : Node->find(Location.Key_);
    return Value != nullptr ? *Value : *Node;
  }

  std::string_view FileName_;
  Diagnostics &Out_;
  ServiceModel Model_;
  std::vector<ServiceNodes> Nodes_;
  std::vector<HostNodes> HostNodes_;
};

/// Sorts errors by line and column, removes duplicates and truncates the list
/// to MaxDiagnostics.
void sortAndTruncate(Diagnostics &Errors, std::string_view FileName) {
  std::ranges::stable_sort(Errors, {}, [](const Diagnostic &Error) {
    return std::tuple(Error.Line_, Error.Column_);
  });
  // yaml-cpp reports an anchor both at a mapping and at its first key.
  Errors.erase(std::unique(Errors.begin(), Errors.end()), Errors.end());
  if (Errors.size() <= MaxDiagnostics)
    return;
  Errors.resize(MaxDiagnostics);
  const Diagnostic &Last = Errors.back();
  Errors.push_back({std::string(FileName), Last.Line_, Last.Column_,
                    ErrorCode::TooMany, "further errors are not shown",
                    "correct the errors above first"});
}

} // namespace

ParseResult parseText(std::string_view Text, std::string_view FileName) {
  Diagnostics Errors;
  ServiceModel Model;
  if (auto Root = readTree(Text, FileName, Errors))
    Model = ModelReader(FileName, Errors).read(*Root);
  if (!Errors.empty()) {
    sortAndTruncate(Errors, FileName);
    return Errors;
  }
  normalize(Model);
  return Model;
}

} // namespace marigold::config
