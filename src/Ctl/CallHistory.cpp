#include "Ctl/CallHistory.h"

#include "Ctl/ErrorNames.h"

#include <algorithm>
#include <array>
#include <optional>
#include <sstream>
#include <string_view>

namespace marigold::ctl {
namespace {

using std::chrono::milliseconds;

constexpr std::string_view CallEnded = "call_ended";
constexpr std::string_view TargetCall = "target_call";

/// A part of the node's state that decisions depend on, with the log events
/// that change it and the fields of these events that are shown.
struct StateKind {
  std::string_view Name_;
  std::vector<std::string_view> Events_;
  std::vector<std::string_view> Fields_;
};

const std::array<StateKind, 7> &stateKinds() {
  static const std::array<StateKind, 7> Table{
      {{"node", {"node_started", "drain_started", "node_exits"}, {}},
       {"paused", {"process_paused"}, {"pause_ms"}},
       {"configuration", {"version_adopted", "version_refused"}, {"adopted"}},
       {"source",
        {"source_lost", "source_back", "store_silent", "store_answers_again",
         "source_behind", "source_caught_up"},
        {"reason"}},
       {"targets", {"targets_read"}, {"targets"}},
       {"own target",
        {"own_target", "target_up", "target_down", "target_draining",
         "target_crashed"},
        {"instance", "slots", "leaving"}},
       {"own state", {"own_state"}, {"state"}}}};
  return Table;
}

/// True for fields that are not listed among the inputs of a decision: those
/// printed in its heading, and the program and version.
bool isHeaderField(std::string_view Name) {
  constexpr std::array<std::string_view, 8> Names{
      "program", "version",  "host",   "failure_domain",
      "id",      "decision", "reason", "outcome"};
  return std::ranges::find(Names, Name) != Names.end();
}

/// Description of an error code in parentheses; empty if Reason is not the
/// text of an error code, for example an HTTP status.
std::string descriptionSuffix(const std::string &Reason) {
  auto Code = errorFromText(Reason);
  return Code ? " (" + std::string(errorDescription(*Code)) + ")" : "";
}

void appendFields(std::ostringstream &Out, const LogRecord &Record,
                  const std::vector<std::string_view> &Names) {
  for (std::string_view Name : Names)
    if (const std::string &Value = Record.field(Name); !Value.empty())
      Out << " " << Name << "=" << Value;
}

} // namespace

void CallHistory::add(const LogRecord &Record) {
  bool IsCall = Record.Event_ == CallEnded || Record.Event_ == TargetCall;
  if (!IsCall)
    StateEvents_[Record.field("host")].push_back(Record);
  else if (belongsToRequest(Record.field("id")))
    Decisions_.push_back(Record);
}

bool CallHistory::belongsToRequest(const std::string &Id) const {
  return Id.starts_with(Id_) &&
         (Id.size() == Id_.size() || Id[Id_.size()] == '.');
}

std::string CallHistory::text() const {
  std::vector<LogRecord> Ordered = Decisions_;
  std::ranges::stable_sort(Ordered, {}, &LogRecord::Time_);
  std::ostringstream Out;
  Out << "request " << Id_ << ", times by the clock of each host\n";
  for (const LogRecord &Decision : Ordered) {
    auto Offset = Decision.Time_ - Ordered.front().Time_;
    bool Ended = Decision.Event_ == CallEnded;
    const std::string &Result = Decision.field(Ended ? "outcome" : "decision");
    const std::string &Reason = Decision.field("reason");
    Out << "\n+" << Offset.count() << " ms  " << Decision.field("host") << " ("
        << Decision.field("failure_domain") << ") "
        << (Ended ? "ended the call: " : "at the target: ") << Result << ", "
        << Reason << descriptionSuffix(Reason) << "\n";
    if (Decision.field("id") != Id_)
      Out << "    nested call " << Decision.field("id") << "\n";
    Out << "    inputs:";
    for (const auto &[Name, Value] : Decision.Fields_)
      if (!isHeaderField(Name) && !Value.empty())
        Out << " " << Name << "=" << Value;
    Out << "\n    believed: " << stateAt(Decision) << "\n";
  }
  Out << "\n" << endSummary(Ordered) << "\n";
  return Out.str();
}

/// For each kind of state, the host's latest event up to the decision and its
/// age in milliseconds.
std::string CallHistory::stateAt(const LogRecord &Decision) const {
  std::ostringstream Out;
  auto Host = StateEvents_.find(Decision.field("host"));
  for (const StateKind &Kind : stateKinds()) {
    const LogRecord *Newest = nullptr;
    if (Host != StateEvents_.end())
      for (const LogRecord &Record : Host->second)
        if (Record.Time_ <= Decision.Time_ &&
            std::ranges::find(Kind.Events_, Record.Event_) !=
                Kind.Events_.end())
          Newest = &Record;
    if (!Newest)
      continue;
    if (Out.tellp() > 0)
      Out << "; ";
    Out << Newest->Event_;
    appendFields(Out, *Newest, Kind.Fields_);
    Out << " " << (Decision.Time_ - Newest->Time_).count() << " ms before";
  }
  return Out.tellp() > 0 ? Out.str() : "nothing in these logs";
}

/// Says how the request ended and which node caused it: the node of the last
/// target tried if there was one, otherwise the caller's node.
std::string
CallHistory::endSummary(const std::vector<LogRecord> &Ordered) const {
  const LogRecord *End = nullptr;
  for (const LogRecord &Decision : Ordered)
    if (Decision.Event_ == CallEnded && Decision.field("id") == Id_)
      End = &Decision;
  if (!End)
    return "end: no line of the caller's node. Its log is missing, or the line "
           "was left out (call-log-rate, see log_lines_dropped_total).";
  std::ostringstream Out;
  Out << "end: " << End->field("outcome") << ", status " << End->field("status")
      << ", " << End->field("reason")
      << descriptionSuffix(End->field("reason"));
  // Comma-separated list of attempts in the form HOST/REASON.
  const std::string &Tried = End->field("tried");
  if (Tried.empty()) {
    Out << "\ncause: decided by the caller's node before any target was asked";
    return Out.str();
  }
  std::string Last = Tried.substr(Tried.rfind(',') + 1);
  std::size_t Slash = Last.rfind('/');
  std::string Reason = Slash == std::string::npos ? "" : Last.substr(Slash + 1);
  if (Reason == "ok") {
    Out << "\ncause: the target at " << Last.substr(0, Slash)
        << " answered so, after " << std::ranges::count(Tried, ',')
        << " other attempts";
    return Out.str();
  }
  Out << "\ncause: the last of " << 1 + std::ranges::count(Tried, ',')
      << " attempts, at " << Last.substr(0, Slash) << ", ended with " << Reason
      << descriptionSuffix(Reason);
  bool HasTargetLine = std::ranges::any_of(Ordered, [&](const LogRecord &Line) {
    return Line.Event_ == TargetCall &&
           Line.field("host") == Last.substr(0, Slash) &&
           Line.field("id") == Id_;
  });
  if (!HasTargetLine)
    Out << "; no line of that host is in these logs";
  return Out.str();
}

} // namespace marigold::ctl
