#include "Ctl/Commands.h"
#include "Config/Limits.h"
#include "Config/Snapshot.h"
#include "Config/TextParser.h"
#include "Ctl/CallHistory.h"
#include "Ctl/Report.h"
#include "Support/Addresses.h"

#include <algorithm>
#include <fstream>
#include <iostream>
#include <optional>
#include <set>
#include <thread>

namespace marigold::ctl {
namespace {

/// Longest time of one query; the rest of the command's timeout if shorter.
constexpr Duration QueryTimeout = std::chrono::seconds(2);

/// Pause between two rounds of wait. Short against the 3 s within which a
/// version has to be active everywhere.
constexpr Duration PollInterval = std::chrono::milliseconds(250);

/// One run of the program.
class Command {
public:
  Command(const CtlSettings &Settings, const Environment &Outside)
      : Settings_(Settings), Outside_(Outside),
        Deadline_(Outside.Now_() + Settings.Timeout_) {}

  ExitCode check(const std::string &File) {
    auto Text = readFile(File);
    if (!Text)
      return ExitCode::Usage;
    auto Parsed = config::parseText(*Text, File);
    if (!Parsed) {
      if (Settings_.Json_)
        Outside_.Out_ << checkJson(File, Parsed.error(), nullptr, "");
      else
        printErrors(Parsed.error(), Outside_.Out_);
      return ExitCode::Negative;
    }
    const config::ServiceModel &Model = Parsed.value();
    std::string Digest = config::digestText(
        config::buildSnapshot(Model, {Model.Epoch_, 0})->digest());
    if (Settings_.Json_)
      Outside_.Out_ << checkJson(File, {}, &Model, Digest);
    else
      Outside_.Out_ << File << ": valid, epoch " << Model.Epoch_ << ", mesh "
                    << Model.Mesh_ << ", " << Model.Services_.size()
                    << " services, digest " << Digest << "\n";
    return ExitCode::Success;
  }

  ExitCode diff(const std::string &OldFile, const std::string &NewFile) {
    auto Old = readModel(OldFile);
    auto New = readModel(NewFile);
    if (!Old || !New)
      return ExitCode::Usage;
    auto Changes = config::diffModels(*Old, *New);
    if (Settings_.Json_)
      Outside_.Out_ << diffJson(Changes);
    else
      for (const config::ModelChange &Change : Changes)
        Outside_.Out_ << toText(Change) << "\n";
    return Changes.empty() ? ExitCode::Success : ExitCode::Negative;
  }

  ExitCode explain(const std::string &Id,
                   const std::vector<std::string> &Files) {
    CallHistory History(Id);
    for (const std::string &File : Files)
      if (!readLog(File, History))
        return ExitCode::Usage;
    if (!History.found()) {
      Outside_.Err_ << "marigoldctl: no line names request " << Id
                    << "; successes are left out of the log under load\n";
      return ExitCode::Negative;
    }
    Outside_.Out_ << History.text();
    return ExitCode::Success;
  }

  ExitCode status() {
    FleetView Fleet(Settings_.Nodes_);
    bool Complete = queryRound(Fleet, std::nullopt);
    if (!Fleet.anyReached()) {
      Outside_.Err_ << "marigoldctl: none of the nodes answers\n";
      return ExitCode::Unreachable;
    }
    Outside_.Out_ << (Settings_.Json_ ? statusJson(Fleet) : statusText(Fleet));
    if (!Complete)
      return ExitCode::TimedOut;
    return needsAttention(Fleet) ? ExitCode::Negative : ExitCode::Success;
  }

  ExitCode wait(const ConfigVersion &Wanted) {
    FleetView Fleet(Settings_.Nodes_);
    std::string Shown;
    while (true) {
      queryRound(Fleet, Wanted);
      RolloutState State = Fleet.rollout(Wanted);
      std::string Progress = progressText(Wanted, State);
      if (Progress != Shown)
        Outside_.Err_ << Progress << std::endl;
      Shown = std::move(Progress);
      if (State.Verdict_ != RolloutState::Verdict::Pending)
        return finishWait(Wanted, Fleet, State.Verdict_);
      Duration Rest = remaining();
      if (Rest <= Duration(0))
        return finishWait(Wanted, Fleet, State.Verdict_);
      Outside_.Sleep_(std::min(PollInterval, Rest));
    }
  }

private:
  Duration remaining() const { return Deadline_ - Outside_.Now_(); }

  /// Asks nodes in portions, so that the command's timeout holds for a large
  /// fleet as well. False when time ran out.
  bool query(FleetView &Fleet, const std::vector<StatusRequest> &Requests) {
    const std::size_t Portion = QueryLimits().Parallel_;
    for (std::size_t First = 0; First < Requests.size(); First += Portion) {
      Duration Timeout = std::min(QueryTimeout, remaining());
      if (Timeout <= Duration(0))
        return false;
      std::vector<StatusRequest> Part(
          Requests.begin() + static_cast<std::ptrdiff_t>(First),
          Requests.begin() + static_cast<std::ptrdiff_t>(
                                 std::min(First + Portion, Requests.size())));
      for (StatusReply &Reply : Outside_.Query_(Part, Timeout))
        Fleet.record(Reply.Admin_, std::move(Reply.Status_));
    }
    return true;
  }

  /// Asks all nodes that are known and then those that the answers name.
  bool queryRound(FleetView &Fleet, std::optional<ConfigVersion> Wanted) {
    std::vector<StatusRequest> First = Fleet.nextRequests(Wanted);
    if (!query(Fleet, First))
      return false;
    std::set<Address> Asked;
    for (const StatusRequest &Request : First)
      Asked.insert(Request.Admin_);
    std::vector<StatusRequest> Named = Fleet.nextRequests(Wanted);
    std::erase_if(Named, [&](const StatusRequest &Request) {
      return Asked.contains(Request.Admin_);
    });
    return query(Fleet, Named);
  }

  ExitCode finishWait(const ConfigVersion &Wanted, const FleetView &Fleet,
                      RolloutState::Verdict Verdict) {
    ExitCode Code = ExitCode::TimedOut;
    std::string_view Result = "timed-out";
    switch (Verdict) {
    case RolloutState::Verdict::Done:
      Code = ExitCode::Success;
      Result = "active";
      break;
    case RolloutState::Verdict::Refused:
      Code = ExitCode::Negative;
      Result = "refused";
      break;
    case RolloutState::Verdict::Conflict:
      Code = ExitCode::Negative;
      Result = "conflict";
      break;
    case RolloutState::Verdict::Pending:
      if (!Fleet.anyReached()) {
        Code = ExitCode::Unreachable;
        Result = "unreachable";
      }
      break;
    }
    Outside_.Out_ << (Settings_.Json_ ? waitJson(Wanted, Fleet, Result)
                                      : waitText(Wanted, Fleet));
    return Code;
  }

  /// Reads a log line by line; lines that cannot be read are reported.
  bool readLog(const std::string &File, CallHistory &History) {
    std::ifstream Input(File);
    std::size_t Number = 0;
    std::size_t Malformed = 0;
    std::size_t FirstMalformed = 0;
    LogRecord Record;
    for (std::string Line; std::getline(Input, Line);) {
      ++Number;
      LogLineKind Kind = parseLogLine(Line, Record);
      if (Kind == LogLineKind::Record)
        History.add(Record);
      if (Kind == LogLineKind::Malformed && Malformed++ == 0)
        FirstMalformed = Number;
    }
    if (!Input.is_open() || Input.bad()) {
      Outside_.Err_ << "marigoldctl: cannot read " << File << "\n";
      return false;
    }
    if (Malformed != 0)
      Outside_.Err_ << "marigoldctl: " << Malformed << " lines of " << File
                    << " cannot be read, the first is line " << FirstMalformed
                    << "\n";
    return true;
  }

  /// Content of a file, up to one byte more than a text may have.
  std::optional<std::string> readFile(const std::string &File) {
    std::ifstream Input(File, std::ios::binary);
    std::string Text(config::MaxTextBytes + 1, '\0');
    if (Input)
      Input.read(Text.data(), static_cast<std::streamsize>(Text.size()));
    if (!Input.is_open() || Input.bad() || (Input.fail() && !Input.eof())) {
      Outside_.Err_ << "marigoldctl: cannot read " << File << "\n";
      return std::nullopt;
    }
    Text.resize(static_cast<std::size_t>(Input.gcount()));
    return Text;
  }

  std::optional<config::ServiceModel> readModel(const std::string &File) {
    auto Text = readFile(File);
    if (!Text)
      return std::nullopt;
    auto Parsed = config::parseText(*Text, File);
    if (Parsed)
      return std::move(Parsed.value());
    printErrors(Parsed.error(), Outside_.Err_);
    return std::nullopt;
  }

  static void printErrors(const config::Diagnostics &Errors,
                          std::ostream &Stream) {
    for (const config::Diagnostic &Error : Errors)
      Stream << toText(Error) << "\n";
  }

  const CtlSettings &Settings_;
  const Environment &Outside_;
  TimePoint Deadline_;
};

ExitCode usageError(const Environment &Outside, const std::string &Message) {
  Outside.Err_ << "marigoldctl: " << Message << "\nusage: marigoldctl " << Usage
               << "\n";
  return ExitCode::Usage;
}

} // namespace

ExitCode runCommand(const CtlSettings &Settings,
                    const std::vector<std::string> &Arguments,
                    const Environment &Outside) {
  if (Arguments.empty())
    return usageError(Outside, "no command");
  const std::string &Name = Arguments.front();
  if (Name == "explain") {
    if (Arguments.size() < 3)
      return usageError(Outside, "explain needs an id and at least one log");
    return Command(Settings, Outside)
        .explain(Arguments[1], {Arguments.begin() + 2, Arguments.end()});
  }
  bool Local = Name == "check" || Name == "diff";
  if (!Local && Name != "status" && Name != "wait")
    return usageError(Outside, "unknown command " + Name);
  std::size_t Expected = Name == "status" ? 1 : Name == "diff" ? 3 : 2;
  if (Arguments.size() != Expected)
    return usageError(Outside, "wrong number of arguments for " + Name);
  if (!Local && Settings.Nodes_.empty())
    return usageError(Outside, Name + " needs --nodes");

  Command Run(Settings, Outside);
  if (Name == "check")
    return Run.check(Arguments[1]);
  if (Name == "diff")
    return Run.diff(Arguments[1], Arguments[2]);
  if (Name == "status")
    return Run.status();
  auto Version = parseVersion(Arguments[1]);
  if (!Version)
    return usageError(Outside,
                      "VERSION is epoch.revision: " + Version.error().Detail_);
  return Run.wait(Version.value());
}

ExitCode runCommand(const CtlSettings &Settings,
                    const std::vector<std::string> &Arguments) {
  Environment Outside{
      std::cout, std::cerr,
      [](const std::vector<StatusRequest> &Requests, Duration Timeout) {
        QueryLimits Limits;
        Limits.Timeout_ = Timeout;
        return queryStatus(Requests, Limits);
      },
      std::chrono::steady_clock::now,
      [](Duration Pause) { std::this_thread::sleep_for(Pause); }};
  return runCommand(Settings, Arguments, Outside);
}

} // namespace marigold::ctl
