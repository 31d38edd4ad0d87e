#include "Ctl/Report.h"
#include "Support/Addresses.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdio>

namespace marigold::ctl {
namespace {

using Json = nlohmann::ordered_json;

/// Up to this size, status lists all nodes of a fleet; for a larger fleet it
/// lists only nodes with notes.
constexpr std::size_t MaxListedNodes = 40;

/// Maximum number of node names in one line of output.
constexpr std::size_t MaxNamesPerLine = 10;

/// Formats indented JSON. Names come from other processes, so invalid UTF-8 is
/// replaced instead of failing the command.
std::string dump(const Json &Value) {
  return Value.dump(2, ' ', false, Json::error_handler_t::replace) + "\n";
}

std::string versionText(const ConfigVersion &Version) {
  return Version == ConfigVersion{} ? "none" : toText(Version);
}

std::string ageText(const NodeStatus &Status) {
  if (!Status.SourceAge_)
    return "-";
  return std::to_string(Status.SourceAge_->count() / 1000) + "s";
}

/// True if the node refused a version later than its active one. Refusals of
/// earlier versions are expected after the source reverted to an old text.
bool refusedLaterVersion(const NodeStatus &Status) {
  if (!Status.Refused_)
    return false;
  const ConfigVersion &Refused = Status.Refused_->Version_;
  // The epoch is 0 if the refused text could not be parsed.
  if (Refused.Epoch_ == 0)
    return Refused.Revision_ > Status.Version_.Revision_;
  return Refused > Status.Version_;
}

bool lags(const NodeView &Node, const ConfigVersion &Newest) {
  return Node.reached() && Node.Status_->Version_ < Newest;
}

/// Comma-separated notes on one node; empty if there is nothing to report.
std::string nodeNotes(const NodeView &Node, const ConfigVersion &Newest) {
  std::string Notes;
  auto Add = [&](const std::string &Note) {
    Notes += (Notes.empty() ? "" : ", ") + Note;
  };
  if (Node.Failure_)
    Add("unreachable (" + std::string(errorText(Node.Failure_->Code_)) + ")");
  if (lags(Node, Newest))
    Add("lags");
  if (Node.reached() && Node.Status_->Refused_)
    Add("refused " + toText(Node.Status_->Refused_->Version_) + " (" +
        Node.Status_->Refused_->Reason_ + ")");
  if (Node.reached() && Node.Status_->SourceOnlyStart_)
    Add("source-only start");
  return Notes;
}

std::string padded(std::string_view Text, std::size_t Width) {
  std::string Cell(Text);
  Cell.resize(std::max(Width, Cell.size()), ' ');
  return Cell + " ";
}

std::string row(std::string_view Host, std::string_view Domain,
                std::string_view Service, std::string_view State,
                std::string_view Version, std::string_view Age,
                std::string_view Notes) {
  std::string Line = padded(Host, 21) + padded(Domain, 14) +
                     padded(Service, 18) + padded(State, 8) +
                     padded(Version, 10) + padded(Age, 10) + std::string(Notes);
  Line.erase(Line.find_last_not_of(' ') + 1);
  return Line + "\n";
}

std::string nodeRow(const NodeView &Node, const ConfigVersion &Newest) {
  std::string Notes = nodeNotes(Node, Newest);
  std::string Name = nodeName(Node);
  if (Node.reached()) {
    const NodeStatus &Status = *Node.Status_;
    return row(Name, Status.FailureDomain_, Status.Service_,
               toText(Status.State_), versionText(Status.Version_),
               ageText(Status), Notes);
  }
  if (Node.Listed_)
    return row(Name, Node.Listed_->FailureDomain_, Node.Listed_->Service_,
               toText(Node.Listed_->State_), "?", "-", Notes);
  return row(Name, "?", "?", "?", "?", "-", Notes);
}

std::string joinNodeNames(const std::vector<const NodeView *> &Nodes) {
  std::string Text;
  for (std::size_t Index = 0; Index < std::min(Nodes.size(), MaxNamesPerLine);
       ++Index)
    Text += " " + nodeName(*Nodes[Index]);
  if (Nodes.size() > MaxNamesPerLine)
    Text += " and " + std::to_string(Nodes.size() - MaxNamesPerLine) + " more";
  return Text;
}

Json nodeNames(const std::vector<const NodeView *> &Nodes) {
  Json List = Json::array();
  for (const NodeView *Node : Nodes)
    List.push_back(nodeName(*Node));
  return List;
}

std::string conflictText(const DigestConflict &Conflict) {
  std::string Text = "conflict: version " + toText(Conflict.Version_) +
                     " has " + std::to_string(Conflict.Nodes_.size()) +
                     " different digests\n";
  for (const auto &[Digest, Nodes] : Conflict.Nodes_)
    Text += "  " + Digest + ":" + joinNodeNames(Nodes) + "\n";
  return Text;
}

Json conflictsJson(const FleetView &Fleet) {
  Json List = Json::array();
  for (const DigestConflict &Conflict : Fleet.conflicts()) {
    Json Digests = Json::object();
    for (const auto &[Digest, Nodes] : Conflict.Nodes_)
      Digests[Digest] = nodeNames(Nodes);
    List.push_back(
        {{"version", toText(Conflict.Version_)}, {"digests", Digests}});
  }
  return List;
}

Json nodeJson(const NodeView &Node, const ConfigVersion &Newest) {
  Json Out;
  Out["host"] = nodeName(Node);
  Out["admin"] = toText(Node.Admin_);
  Out["reachable"] = Node.reached();
  if (Node.Failure_)
    Out["error"] = errorText(Node.Failure_->Code_);
  if (!Node.reached()) {
    if (Node.Listed_) {
      Out["failure_domain"] = Node.Listed_->FailureDomain_;
      Out["service"] = Node.Listed_->Service_;
      Out["state"] = toText(Node.Listed_->State_);
    }
    return Out;
  }
  const NodeStatus &Status = *Node.Status_;
  Out["failure_domain"] = Status.FailureDomain_;
  Out["region"] = Status.Region_;
  Out["service"] = Status.Service_;
  Out["state"] = toText(Status.State_);
  Out["incarnation"] = Status.Incarnation_;
  Out["version"] = toText(Status.Version_);
  Out["digest"] = Status.Digest_;
  Out["lags"] = lags(Node, Newest);
  Out["source_age_ms"] =
      Status.SourceAge_ ? Json(Status.SourceAge_->count()) : Json();
  Out["refused"] = Json();
  if (Status.Refused_)
    Out["refused"] = {{"version", toText(Status.Refused_->Version_)},
                      {"reason", Status.Refused_->Reason_}};
  Out["bootstrap_source_only"] = Status.SourceOnlyStart_;
  return Out;
}

} // namespace

std::string statusText(const FleetView &Fleet) {
  ConfigVersion Newest = Fleet.newestVersion();
  std::vector<const NodeView *> Nodes = Fleet.nodes();
  RolloutState State = Fleet.rollout(Newest);
  std::string Text =
      "version " + versionText(Newest) + " is active on " +
      std::to_string(Newest == ConfigVersion{} ? 0 : State.Active_) + " of " +
      std::to_string(Nodes.size()) + " nodes\n";
  auto Count = [&](auto Predicate, std::string_view What) {
    auto Number = std::ranges::count_if(Nodes, Predicate);
    if (Number > 0)
      Text += std::to_string(Number) + " " + std::string(What) + "\n";
  };
  Count([](const NodeView *Node) { return !Node->reached(); }, "unreachable");
  Count([&](const NodeView *Node) { return lags(*Node, Newest); }, "lagging");
  Count(
      [](const NodeView *Node) {
        return Node->reached() && Node->Status_->Refused_;
      },
      "refused a version");
  Count(
      [](const NodeView *Node) {
        return Node->reached() && Node->Status_->SourceOnlyStart_;
      },
      "started from the source only");
  std::optional<std::chrono::milliseconds> Oldest;
  for (const NodeView *Node : Nodes)
    if (Node->reached() && Node->Status_->SourceAge_)
      Oldest = std::max(Oldest.value_or(std::chrono::milliseconds(0)),
                        *Node->Status_->SourceAge_);
  if (Oldest)
    Text += "oldest source confirmation: " +
            std::to_string(Oldest->count() / 1000) + "s ago\n";
  for (const DigestConflict &Conflict : Fleet.conflicts())
    Text += conflictText(Conflict);

  std::string Rows;
  for (const NodeView *Node : Nodes)
    if (Nodes.size() <= MaxListedNodes || !nodeNotes(*Node, Newest).empty())
      Rows += nodeRow(*Node, Newest);
  if (!Rows.empty())
    Text += "\n" +
            row("HOST", "DOMAIN", "SERVICE", "STATE", "VERSION", "SOURCE",
                "NOTES") +
            Rows;
  return Text;
}

std::string statusJson(const FleetView &Fleet) {
  ConfigVersion Newest = Fleet.newestVersion();
  Json Out;
  Out["version"] = toText(Newest);
  Out["needs_attention"] = needsAttention(Fleet);
  Out["conflicts"] = conflictsJson(Fleet);
  Out["nodes"] = Json::array();
  for (const NodeView *Node : Fleet.nodes())
    Out["nodes"].push_back(nodeJson(*Node, Newest));
  return dump(Out);
}

bool needsAttention(const FleetView &Fleet) {
  ConfigVersion Newest = Fleet.newestVersion();
  if (Newest == ConfigVersion{} || !Fleet.conflicts().empty())
    return true;
  return std::ranges::any_of(Fleet.nodes(), [&](const NodeView *Node) {
    return !Node->reached() || lags(*Node, Newest) ||
           refusedLaterVersion(*Node->Status_);
  });
}

std::string progressText(const ConfigVersion &Wanted,
                         const RolloutState &State) {
  std::size_t Total = State.Active_ + State.Lagging_.size() +
                      State.Unreachable_.size() + State.Refusing_.size();
  std::string Text = "version " + toText(Wanted) + ": active on " +
                     std::to_string(State.Active_) + " of " +
                     std::to_string(Total) + " nodes";
  auto Add = [&](const std::vector<const NodeView *> &Nodes,
                 std::string_view What) {
    if (!Nodes.empty())
      Text += ", " + std::to_string(Nodes.size()) + " " + std::string(What);
  };
  Add(State.Lagging_, "lagging");
  Add(State.Unreachable_, "unreachable");
  Add(State.Refusing_, "refusing");
  return Text;
}

std::string waitText(const ConfigVersion &Wanted, const FleetView &Fleet) {
  RolloutState State = Fleet.rollout(Wanted);
  std::string Text = progressText(Wanted, State) + "\n";
  auto Add = [&](const std::vector<const NodeView *> &Nodes,
                 std::string_view What) {
    if (!Nodes.empty())
      Text += std::string(What) + ":" + joinNodeNames(Nodes) + "\n";
  };
  Add(State.Lagging_, "lagging");
  Add(State.Unreachable_, "unreachable");
  Add(State.Refusing_, "refusing");
  if (!State.Refusing_.empty())
    Text +=
        "reason: " + State.Refusing_.front()->Status_->Refused_->Reason_ + "\n";
  for (const DigestConflict &Conflict : Fleet.conflicts())
    Text += conflictText(Conflict);
  return Text;
}

std::string waitJson(const ConfigVersion &Wanted, const FleetView &Fleet,
                     std::string_view Result) {
  RolloutState State = Fleet.rollout(Wanted);
  Json Out;
  Out["version"] = toText(Wanted);
  Out["result"] = Result;
  Out["active"] = State.Active_;
  Out["lagging"] = nodeNames(State.Lagging_);
  Out["unreachable"] = nodeNames(State.Unreachable_);
  Out["refusing"] = nodeNames(State.Refusing_);
  Out["conflicts"] = conflictsJson(Fleet);
  return dump(Out);
}

std::string checkJson(const std::string &File,
                      const config::Diagnostics &Errors,
                      const config::ServiceModel *Model,
                      const std::string &Digest) {
  Json Out;
  Out["file"] = File;
  Out["valid"] = Model != nullptr;
  if (Model != nullptr) {
    Out["epoch"] = Model->Epoch_;
    Out["mesh"] = Model->Mesh_;
    Out["services"] = Model->Services_.size();
    Out["digest"] = Digest;
  }
  Out["diagnostics"] = Json::array();
  for (const config::Diagnostic &Error : Errors)
    Out["diagnostics"].push_back({{"file", Error.File_},
                                  {"line", Error.Line_},
                                  {"column", Error.Column_},
                                  {"code", errorText(Error.Code_)},
                                  {"message", Error.Message_},
                                  {"fix", Error.Fix_}});
  return dump(Out);
}

std::string diffJson(const std::vector<config::ModelChange> &Changes) {
  Json Out;
  Out["changes"] = Json::array();
  for (const config::ModelChange &Change : Changes)
    Out["changes"].push_back({{"subject", Change.Subject_},
                              {"before", Change.Before_},
                              {"after", Change.After_}});
  return dump(Out);
}

} // namespace marigold::ctl
