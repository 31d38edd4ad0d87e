#include "Config/Validator.h"
#include "Config/Diagnostic.h"
#include "Config/Fields.h"
#include "Config/Limits.h"

#include <algorithm>
#include <map>
#include <set>
#include <unordered_map>

namespace marigold::config {
namespace {

constexpr std::size_t None = static_cast<std::size_t>(-1);

bool isNameCharacter(char C) {
  return (C >= 'a' && C <= 'z') || (C >= '0' && C <= '9') || C == '-';
}

/// Returns true for characters that need no percent-encoding in a path and have
/// no special meaning to servers.
bool isPathCharacter(char C) {
  return isNameCharacter(C) || (C >= 'A' && C <= 'Z') || C == '.' || C == '_' ||
         C == '~';
}

/// Returns why a route's path is invalid, or nothing when it is valid.
std::optional<std::string> findPathError(std::string_view Path) {
  if (Path.size() > MaxPathLength)
    return "is longer than " + std::to_string(MaxPathLength) + " bytes";
  if (!Path.starts_with('/'))
    return "does not begin with a slash";
  std::string_view Rest = Path.substr(1);
  while (!Rest.empty()) {
    std::size_t End = std::min(Rest.find('/'), Rest.size());
    std::string_view Segment = Rest.substr(0, End);
    if (Segment.empty() || Segment == "." || Segment == "..")
      return "has an empty or dot segment";
    if (!std::ranges::all_of(Segment, isPathCharacter))
      return "has a character outside a-z, A-Z, 0-9, hyphen, dot, underscore "
             "and tilde";
    if (End + 1 == Rest.size())
      return "ends with a slash";
    Rest.remove_prefix(std::min(End + 1, Rest.size()));
  }
  return std::nullopt;
}

/// Collects the validation errors of one model.
class ModelChecker {
public:
  ModelChecker(const ModelView &Model, ModelRules Rules)
      : Model_(Model), HasTextLimits_(Rules == ModelRules::OperatorText) {}

  std::vector<ModelError> run() {
    checkGlobals();
    for (std::size_t Index = 0; Index < Model_.Services_.size(); ++Index) {
      checkService(Index);
      checkDependencies(Index);
      checkHealthPath(Index);
      checkRoutes(Index);
    }
    for (std::size_t Index = 0; Index < Model_.Hosts_.size(); ++Index)
      checkHost(Index);
    checkFields(clientLimitFields(), Model_.Limits_, {{}, {}, "limits", {}});
    // The dependency graph is searched only when its size is within the limit,
    // because the search is recursive. Larger models have no dependencies.
    if (Model_.Services_.size() <= MaxServices) {
      for (std::size_t Index = 0; Index < Model_.Services_.size(); ++Index)
        visit(Index);
      if (!CycleFound_)
        checkChains();
    }
    return std::move(Errors_);
  }

private:
  void report(ModelLocation Location, ErrorCode Code, std::string Message,
              std::string Fix) {
    Errors_.push_back(
        {std::move(Location), Code, std::move(Message), std::move(Fix)});
  }

  const ServiceConfig &service(std::size_t Index) const {
    return *Model_.Services_[Index];
  }

  void checkGlobals() {
    if (!isValidName(Model_.Mesh_))
      reportName({{}, {}, "mesh", {}}, "mesh", Model_.Mesh_);
    if (Model_.Epoch_ < MinEpoch)
      report({{}, {}, "epoch", {}}, ErrorCode::OutOfRange,
             "epoch 0 is outside 1 to 4294967295",
             "use 1, or the last epoch plus 1 after the source lost its "
             "history");
    if (HasTextLimits_)
      checkCounts();
  }

  void checkCounts() {
    if (Model_.Services_.empty())
      report({{}, {}, "services", {}}, ErrorCode::OutOfRange,
             "services has no entry", "name at least one service");
    if (Model_.Hosts_.size() > MaxVirtualHosts)
      reportTooMany({{}, {}, "hosts", {}}, "hosts", Model_.Hosts_.size(),
                    MaxVirtualHosts);
    if (Model_.Services_.size() > MaxServices)
      reportTooMany({{}, {}, "services", {}}, "services",
                    Model_.Services_.size(), MaxServices);
  }

  void reportName(ModelLocation Location, std::string_view What,
                  std::string_view Name) {
    report(std::move(Location), ErrorCode::BadName,
           std::string(What) + " name " + quoteText(Name) + " is not valid",
           "use 1 to 63 characters of a-z, 0-9 and hyphen, without a hyphen "
           "at either end");
  }

  void reportTooMany(ModelLocation Location, std::string_view What,
                     std::size_t Count, std::size_t Limit) {
    report(std::move(Location), ErrorCode::TooMany,
           std::string(What) + " has " + std::to_string(Count) + " entries",
           "use at most " + std::to_string(Limit));
  }

  void checkService(std::size_t Index) {
    const ServiceConfig &Service = service(Index);
    if (HasTextLimits_ && !isValidName(Service.Name_))
      reportName({Index, {}, "", {}}, "service", Service.Name_);
    if (!Indexes_.emplace(Service.Name_, Index).second)
      report({Index, {}, "", {}}, ErrorCode::DuplicateKey,
             "service " + quoteText(Service.Name_) + " is listed twice",
             "remove or rename one of the two");
    checkFields(serviceFields(), Service, {Index, {}, "", {}});
    checkFields(objectiveFields(), Service.Objective_, {Index, {}, "", {}});
  }

  template <class Owner>
  void checkFields(std::span<const Field<Owner>> Fields, const Owner &Source,
                   ModelLocation Location) {
    for (const Field<Owner> &Description : Fields) {
      auto Error = checkField(Description, Source);
      if (!Error)
        continue;
      Location.Key_ = Description.Key_;
      report(Location, Error->Code_,
             std::string(Description.Key_) + " " + Error->Message_,
             Error->Fix_);
    }
  }

  void checkDependencies(std::size_t Index) {
    const std::vector<std::string> &Names = service(Index).DependsOn_;
    if (Names.size() > MaxDependencies ||
        (!Names.empty() && Model_.Services_.size() > MaxServices))
      reportTooMany({Index, {}, "depends_on", {}}, "depends_on", Names.size(),
                    MaxDependencies);
    if (AllNames_.empty())
      for (const ServiceConfig *Service : Model_.Services_)
        AllNames_.insert(Service->Name_);
    std::set<std::string_view> Seen;
    for (std::size_t Entry = 0; Entry < Names.size(); ++Entry) {
      ModelLocation Location{Index, {}, "depends_on", Entry};
      if (!Seen.insert(Names[Entry]).second)
        report(Location, ErrorCode::DuplicateKey,
               "dependency " + quoteText(Names[Entry]) + " is listed twice",
               "remove one of the two");
      else if (!AllNames_.contains(Names[Entry]))
        report(Location, ErrorCode::DanglingDependency,
               "service " + quoteText(Names[Entry]) + " does not exist",
               "add the service or remove the dependency");
    }
  }

  void checkHealthPath(std::size_t Index) {
    const std::string &Path = service(Index).HealthPath_;
    auto Error = Path.empty() ? std::nullopt : findPathError(Path);
    if (Error)
      report({Index, {}, "health_path", {}}, ErrorCode::BadName,
             "health_path " + quoteText(Path) + " " + *Error,
             "use a path such as /health");
  }

  void checkRoutes(std::size_t Index) {
    const std::vector<RouteConfig> &Routes = service(Index).Routes_;
    if (HasTextLimits_ && Routes.empty())
      report({Index, {}, "routes", {}}, ErrorCode::OutOfRange,
             "routes has no entry",
             "name at least one route, or leave out the key for one route of "
             "path /");
    if (Routes.size() > MaxRoutes)
      reportTooMany({Index, {}, "routes", {}}, "routes", Routes.size(),
                    MaxRoutes);
    // Index of the first route for each path and method.
    std::map<std::pair<std::string_view, std::string_view>, std::size_t> Seen;
    for (std::size_t Route = 0; Route < Routes.size(); ++Route) {
      checkRoute(Index, Route);
      std::optional<std::size_t> Earlier;
      for (const std::string &Method : Routes[Route].Methods_) {
        auto [Position, Inserted] =
            Seen.try_emplace({Routes[Route].Path_, Method}, Route);
        if (!Inserted && Position->second != Route)
          Earlier = Position->second;
      }
      if (Earlier)
        report({Index, Route, "", {}}, ErrorCode::DuplicateRoute,
               "route " + quoteText(Routes[Route].Path_) +
                   " has the same path and method as an earlier route",
               "give each method of a path to one route only");
    }
  }

  void checkRoute(std::size_t Index, std::size_t Number) {
    const RouteConfig &Route = service(Index).Routes_[Number];
    if (auto Error = findPathError(Route.Path_))
      report({Index, Number, "path", {}}, ErrorCode::BadName,
             "path " + quoteText(Route.Path_) + " " + *Error,
             "write a path such as /bookings/rooms");
    if (Route.Methods_.size() > MaxMethods)
      reportTooMany({Index, Number, "methods", {}}, "methods",
                    Route.Methods_.size(), MaxMethods);
    if (Route.Methods_.empty())
      report({Index, Number, "methods", {}}, ErrorCode::OutOfRange,
             "methods has no entry",
             "name at least one method, or leave out the key for all methods");
    std::set<std::string_view> Seen;
    for (std::size_t Entry = 0; Entry < Route.Methods_.size(); ++Entry) {
      const std::string &Method = Route.Methods_[Entry];
      ModelLocation Location{Index, Number, "methods", Entry};
      if (!Seen.insert(Method).second)
        report(Location, ErrorCode::DuplicateKey,
               "method " + quoteText(Method) + " is listed twice",
               "remove one of the two");
      else if (!std::ranges::binary_search(knownMethods(), Method))
        report(Location, ErrorCode::OutOfRange,
               "method " + quoteText(Method) + " is not known",
               "use DELETE, GET, HEAD, OPTIONS, PATCH, POST or PUT");
    }
    checkFields(routeFields(), Route, {Index, Number, "", {}});
  }

  void checkHost(std::size_t Index) {
    const VirtualHost &Host = *Model_.Hosts_[Index];
    ModelLocation Location{{}, {}, "", {}, Index};
    if (HasTextLimits_ && !isValidHostName(Host.Name_))
      report(Location, ErrorCode::BadName,
             "host name " + quoteText(Host.Name_) + " is not valid",
             "use 1 to 253 characters of a-z, 0-9, hyphen, dot and underscore");
    if (!HostNames_.insert(Host.Name_).second)
      report(Location, ErrorCode::DuplicateKey,
             "host " + quoteText(Host.Name_) + " is listed twice",
             "remove or rename one of the two");
    if (HasTextLimits_ && Host.Routes_.size() > MaxHostRoutes)
      reportTooMany(Location, "host " + quoteText(Host.Name_),
                    Host.Routes_.size(), MaxHostRoutes);
    std::set<std::string_view> Prefixes;
    for (std::size_t Number = 0; Number < Host.Routes_.size(); ++Number) {
      checkHostRoute(Host.Routes_[Number], {{}, Number, "", {}, Index});
      if (!Prefixes.insert(Host.Routes_[Number].Prefix_).second)
        report({{}, Number, "", {}, Index}, ErrorCode::DuplicateRoute,
               "prefix " + quoteText(Host.Routes_[Number].Prefix_) +
                   " is listed twice",
               "keep one route per prefix");
    }
  }

  void checkHostRoute(const HostRoute &Route, ModelLocation Location) {
    checkFields(hostRouteFields(), Route, Location);
    if (HasTextLimits_)
      checkHostRouteText(Route, Location);
    Location.Key_ = "split";
    std::uint64_t Sum = 0;
    std::set<std::string_view> Seen;
    for (const WeightedService &Target : Route.Targets_) {
      Sum += Target.Weight_;
      if (!Seen.insert(Target.Service_).second)
        report(Location, ErrorCode::DuplicateKey,
               "service " + quoteText(Target.Service_) + " is listed twice",
               "give each service one weight");
      bool Unusable = !HasTextLimits_ && Target.Service_ == NoService;
      if (!Unusable && !Indexes_.contains(Target.Service_))
        report(Location, ErrorCode::DanglingDependency,
               "service " + quoteText(Target.Service_) + " does not exist",
               "add the service or change the route");
    }
    if (Sum == 0)
      report(Location, ErrorCode::OutOfRange,
             "prefix " + quoteText(Route.Prefix_) + " has no service",
             "name a service, or a split with a weight above 0");
  }

  /// Checks the limits of operators' texts for a virtual host's route.
  void checkHostRouteText(const HostRoute &Route, ModelLocation Location) {
    bool Printable = std::ranges::all_of(
        Route.Prefix_, [](char C) { return C > 0x20 && C < 0x7f && C != '?'; });
    Location.Key_ = "prefix";
    if (!Route.Prefix_.starts_with('/') || !Route.Prefix_.ends_with('/') ||
        !Printable || Route.Prefix_.size() > MaxPathLength)
      report(Location, ErrorCode::BadName,
             "prefix " + quoteText(Route.Prefix_) + " is not valid",
             "write a prefix such as /bookings/, with a slash at both ends");
    Location.Key_ = "split";
    for (const WeightedService &Target : Route.Targets_)
      if (Target.Weight_ > MaxWeight)
        report(Location, ErrorCode::OutOfRange,
               "weight " + std::to_string(Target.Weight_) + " is too large",
               "use at most " + std::to_string(MaxWeight));
    if (Route.Targets_.size() > MaxRouteTargets)
      reportTooMany(Location, "split", Route.Targets_.size(), MaxRouteTargets);
  }

  enum class Color : std::uint8_t { White, Gray, Black };

  /// Depth-first search that reports each edge that closes a cycle and computes
  /// the length of the longest dependency chain that starts at each service.
  /// Recursion depth is bounded by MaxServices.
  void visit(std::size_t Index) {
    Colors_.resize(Model_.Services_.size(), Color::White);
    ChainLengths_.resize(Model_.Services_.size(), 0);
    NextInChain_.resize(Model_.Services_.size(), None);
    if (Colors_[Index] != Color::White)
      return;
    Colors_[Index] = Color::Gray;
    Path_.push_back(Index);
    const std::vector<std::string> &Names = service(Index).DependsOn_;
    for (std::size_t Entry = 0; Entry < Names.size(); ++Entry) {
      auto Position = Indexes_.find(Names[Entry]);
      if (Position == Indexes_.end())
        continue;
      std::size_t Other = Position->second;
      if (Colors_[Other] == Color::Gray) {
        reportCycle(Index, Entry, Other);
        continue;
      }
      visit(Other);
      if (ChainLengths_[Other] > ChainLengths_[Index]) {
        ChainLengths_[Index] = ChainLengths_[Other];
        NextInChain_[Index] = Other;
      }
    }
    ++ChainLengths_[Index];
    Path_.pop_back();
    Colors_[Index] = Color::Black;
  }

  void reportCycle(std::size_t Index, std::size_t Entry, std::size_t Other) {
    CycleFound_ = true;
    std::string Cycle;
    for (auto Position = std::ranges::find(Path_, Other);
         Position != Path_.end(); ++Position)
      Cycle += service(*Position).Name_ + " -> ";
    report({Index, {}, "depends_on", Entry}, ErrorCode::CyclicDependency,
           "services depend on each other: " + Cycle + service(Other).Name_,
           "remove one dependency of the cycle");
  }

  /// Reports each dependency chain that is too long at its first service.
  void checkChains() {
    std::set<std::size_t> InnerServices;
    for (std::size_t Index = 0; Index < Model_.Services_.size(); ++Index)
      if (ChainLengths_[Index] > MaxDependencyChain)
        for (const std::string &Name : service(Index).DependsOn_)
          if (auto Position = Indexes_.find(Name); Position != Indexes_.end())
            InnerServices.insert(Position->second);
    for (std::size_t Index = 0; Index < Model_.Services_.size(); ++Index) {
      if (ChainLengths_[Index] <= MaxDependencyChain ||
          InnerServices.contains(Index))
        continue;
      std::string Chain = service(Index).Name_;
      for (std::size_t Step = NextInChain_[Index]; Step != None;
           Step = NextInChain_[Step])
        Chain += " -> " + service(Step).Name_;
      report({Index, {}, "", {}}, ErrorCode::TooDeepChain,
             "chain of " + std::to_string(ChainLengths_[Index]) +
                 " services: " + Chain,
             "shorten the chain to " + std::to_string(MaxDependencyChain) +
                 " services");
    }
  }

  const ModelView &Model_;
  /// Whether the limits of operators' texts apply.
  const bool HasTextLimits_;
  std::vector<ModelError> Errors_;
  std::unordered_map<std::string_view, std::size_t> Indexes_;
  std::set<std::string_view> AllNames_;
  std::set<std::string_view> HostNames_;
  std::vector<Color> Colors_;
  std::vector<std::size_t> ChainLengths_;
  std::vector<std::size_t> NextInChain_;
  std::vector<std::size_t> Path_;
  bool CycleFound_ = false;
};

template <class Range, class Less>
bool isStrictlySorted(const Range &Values, Less Before) {
  return std::ranges::adjacent_find(Values, [&](const auto &A, const auto &B) {
           return !Before(A, B);
         }) == Values.end();
}

} // namespace

ModelView viewOf(const ServiceModel &Model) {
  ModelView View{Model.Epoch_, Model.Mesh_, {}, {}, Model.Limits_};
  View.Hosts_.reserve(Model.Hosts_.size());
  for (const VirtualHost &Host : Model.Hosts_)
    View.Hosts_.push_back(&Host);
  View.Services_.reserve(Model.Services_.size());
  for (const ServiceConfig &Service : Model.Services_)
    View.Services_.push_back(&Service);
  return View;
}

ModelRules rulesFor(std::uint32_t Epoch) {
  return Epoch == NumberedEpoch ? ModelRules::AcceptedContent
                                : ModelRules::OperatorText;
}

std::vector<ModelError> validateModel(const ModelView &Model,
                                      ModelRules Rules) {
  return ModelChecker(Model, Rules).run();
}

std::optional<std::string> findOrderViolation(const ModelView &Model) {
  auto ByName = [](const ServiceConfig *A, const ServiceConfig *B) {
    return A->Name_ < B->Name_;
  };
  if (!isStrictlySorted(Model.Services_, ByName))
    return "services are not sorted";
  for (const ServiceConfig *Service : Model.Services_) {
    if (!isStrictlySorted(Service->DependsOn_, std::less<>()))
      return "dependencies of " + quoteText(Service->Name_) + " are not sorted";
    if (!isStrictlySorted(Service->Routes_, routeBefore))
      return "routes of " + quoteText(Service->Name_) + " are not sorted";
    for (const RouteConfig &Route : Service->Routes_)
      if (!isStrictlySorted(Route.Methods_, std::less<>()))
        return "methods of a route of " + quoteText(Service->Name_) +
               " are not sorted";
  }
  auto ByHostName = [](const VirtualHost *A, const VirtualHost *B) {
    return A->Name_ < B->Name_;
  };
  if (!isStrictlySorted(Model.Hosts_, ByHostName))
    return "virtual hosts are not sorted";
  for (const VirtualHost *Host : Model.Hosts_)
    if (!isStrictlySorted(Host->Routes_, hostRouteBefore))
      return "routes of host " + quoteText(Host->Name_) + " are not sorted";
  return std::nullopt;
}

bool isValidHostName(std::string_view Name) {
  return !Name.empty() && Name.size() <= MaxHostNameBytes &&
         std::ranges::all_of(Name, [](char C) {
           return isNameCharacter(C) || C == '.' || C == '_';
         });
}

bool isValidName(std::string_view Name) {
  return !Name.empty() && Name.size() <= MaxNameLength && Name.front() != '-' &&
         Name.back() != '-' && std::ranges::all_of(Name, isNameCharacter);
}

bool isValidPath(std::string_view Path) { return !findPathError(Path); }

} // namespace marigold::config
