// The cases of the second review that are scripts.
#pragma once

#include "Rig.h"

#include <stdexcept>

namespace rig {

struct Case {
  std::string Name_;
  int (*Run_)(Record &Log, bool Disturb);
};

const std::vector<Case> &cases();

/// A small deployment: one worker and one node a machine, one zone.
struct Deployment {
  Deployment(Record &Log, int Machines) : Log_(Log), Platform_(Log) {
    auto Chosen = Plan::choose(Machines);
    if (!Chosen)
      throw std::runtime_error("no free ports");
    Place_ = *Chosen;
    if (!Platform_.start(Place_.storeIp(), Place_.storePort()))
      throw std::runtime_error("the store cannot listen");
  }

  /// Adds a machine with a worker of a service and its node.
  void add(const std::string &Service) {
    int Machine = static_cast<int>(Nodes_.size());
    Workers_.push_back(std::make_unique<Worker>(
        Place_, Machine, Service, "i-" + Service + std::to_string(Machine),
        Platform_, Runs_, Log_));
    Nodes_.push_back(
        std::make_unique<Node>(Place_, Machine, Service, Folder_.path(), Log_));
  }

  void startWorkers() {
    for (auto &Each : Workers_)
      if (!Each->start(wallMs()))
        throw std::runtime_error("a worker cannot listen");
  }

  void startNodes() {
    for (auto &Each : Nodes_)
      if (!Each->start())
        throw std::runtime_error("a node does not start");
    for (std::size_t Machine = 0; Machine < Nodes_.size(); ++Machine)
      if (!awaitReady(Place_, static_cast<int>(Machine), 8))
        throw std::runtime_error("a node is not ready");
  }

  std::string newId() {
    static std::atomic<unsigned> Number = 0;
    char Text[32];
    std::snprintf(Text, sizeof(Text), "%08x%08x",
                  static_cast<unsigned>(::getpid()), ++Number);
    return Text;
  }

  Answer get(int Machine, const std::string &Id, const std::string &Path,
             int DeadlineMs = 3000) {
    return sendRequest(Place_, Machine, Log_, Id, "GET", Host_, Path,
                       DeadlineMs);
  }

  /// Ends the nodes and removes the folder. Deployments are never destroyed:
  /// threads of the stand-ins may still use them until the script exits.
  void finish() {
    Nodes_.clear();
    Folder_.remove();
  }

  Record &Log_;
  const TemporaryFolder Folder_;
  const std::string Host_ = "jepu9.example";
  Plan Place_;
  Store Platform_;
  Ledger Runs_;
  std::vector<std::unique_ptr<Worker>> Workers_;
  std::vector<std::unique_ptr<Node>> Nodes_;
};

/// Makes a deployment that is never destroyed.
inline Deployment &deploy(Record &Log, int Machines) {
  return *new Deployment(Log, Machines);
}

/// One route of a configuration.
struct Route {
  std::string Prefix_;
  std::string Service_;
  std::string Kind_ = "idempotent";
  double TimeoutS_ = 3;
  int Attempts_ = 2;
  double GoalS_ = 0.5;
};

/// The text of a configuration with one host.
inline std::string configText(const std::string &Version,
                              const std::string &Host,
                              const std::vector<Route> &Routes,
                              const std::vector<std::string> &Services) {
  std::string Text = "{\"version\":\"" + Version + "\",\"routes\":{";
  for (std::size_t Index = 0; Index < Routes.size(); ++Index) {
    const Route &Each = Routes[Index];
    Text += (Index ? "," : "") + std::string("\"r-") + std::to_string(Index) +
            "\":{\"host\":\"" + Host + "\",\"prefix\":\"" + Each.Prefix_ +
            "\",\"kind\":\"" + Each.Kind_ +
            "\",\"timeout_s\":" + std::to_string(Each.TimeoutS_) +
            ",\"goal_latency_s\":" + std::to_string(Each.GoalS_) +
            ",\"priority\":1,\"service\":\"" + Each.Service_ +
            "\",\"attempts\":" + std::to_string(Each.Attempts_) + "}";
  }
  Text += "},\"services\":{";
  for (std::size_t Index = 0; Index < Services.size(); ++Index)
    Text += (Index ? "," : "") + std::string("\"") + Services[Index] +
            "\":{\"health_path\":\"/health\",\"max_connections\":110,"
            "\"protocol\":\"h1\",\"tls\":false}";
  return Text + "},\"limits\":{\"max_header_bytes\":16384,"
                "\"max_body_bytes\":67108864,\"header_timeout_s\":3,"
                "\"idle_timeout_s\":15}}";
}

} // namespace rig
