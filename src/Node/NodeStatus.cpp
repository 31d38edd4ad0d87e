#include "Node/NodeStatus.h"

#include "Support/Addresses.h"

#include <nlohmann/json.hpp>

#include <cstdio>

namespace marigold::node {
namespace {

std::string hexText(const Digest128 &Digest) {
  char Text[33];
  std::snprintf(Text, sizeof(Text), "%016llx%016llx",
                static_cast<unsigned long long>(Digest.High_),
                static_cast<unsigned long long>(Digest.Low_));
  return Text;
}

nlohmann::json hostJson(const HostRecord &Record) {
  return {{"host", toText(Record.Id_)},
          {"admin", toText(Address{Record.Id_.Ipv4_, Record.AdminPort_})},
          {"failure_domain", Record.FailureDomain_},
          {"service", Record.Service_},
          {"state", toText(Record.State_)},
          {"incarnation", Record.Incarnation_}};
}

} // namespace

std::string renderStatus(const ControlCore &Core, bool WithHosts,
                         TimePoint Now) {
  const HostRecord &Own = Core.ownRecord();
  const auto &Versions = Core.versions();
  nlohmann::json Root = {
      {"host", toText(Own.Id_)},
      {"failure_domain", Own.FailureDomain_},
      {"region", Own.Region_},
      {"service", Own.Service_},
      {"incarnation", Own.Incarnation_},
      {"state", toText(Own.State_)},
      {"version", toText(Versions.version())},
      {"digest", hexText(Versions.digest())},
      {"source_age_ms", Core.sourceAge(Now).count()},
      {"refused", nullptr},
      {"bootstrap_source_only", Core.startedFromSourceOnly()},
      {"history", nlohmann::json::array()}};
  if (auto Refused = Versions.lastRefusal()) {
    auto Code = errorFromNumber(Refused->Code_);
    Root["refused"] = {{"version", toText(Refused->Version_)},
                       {"reason", Code ? errorText(*Code) : "unknown"}};
  }
  for (const auto &Adopted : Versions.history())
    Root["history"].push_back({{"version", toText(Adopted.Version_)},
                               {"digest", hexText(Adopted.Digest_)}});
  if (!WithHosts)
    return Root.dump();
  Root["hosts"] = nlohmann::json::array();
  Core.hosts().forEach([&](const membership::HostEntry &Entry) {
    Root["hosts"].push_back(hostJson(Entry.Record_));
  });
  return Root.dump();
}

} // namespace marigold::node
