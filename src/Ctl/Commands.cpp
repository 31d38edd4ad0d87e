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

/// Timeout of one query, unless less time remains for the command.
constexpr Duration QueryTimeout = std::chrono::seconds(2);

/// Interval between query rounds of the wait command. It is short compared
/// with the 3 s within which a version has to be active on all nodes.
constexpr Duration PollInterval = std::chrono::milliseconds(250);

/// Executes one command with a deadline for the whole command.
class Command {
public:
  Command(const CtlSettings &Settings, const Environment &Env)
      : Settings_(Settings), Env_(Env),
        Deadline_(Env.Now_() + Settings.Timeout_) {}

  ExitCode check(const std::string &File) {
    auto Text = readFile(File);
    if (!Text)
      return ExitCode::Usage;
    auto Parsed = config::parseText(*Text, File);
    if (!Parsed) {
      if (Settings_.Json_)
        Env_.Out_ << checkJson(File, Parsed.error(), nullptr, "");
      else
        printErrors(Parsed.error(), Env_.Out_);
      return ExitCode::Negative;
    }
    const config::ServiceModel &Model = Parsed.value();
    std::string Digest = config::digestText(
        config::buildSnapshot(Model, {Model.Epoch_, 0})->digest());
    if (Settings_.Json_)
      Env_.Out_ << checkJson(File, {}, &Model, Digest);
    else
      Env_.Out_ << File << ": valid, epoch " << Model.Epoch_ << ", mesh "
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
      Env_.Out_ << diffJson(Changes);
    else
      for (const config::ModelChange &Change : Changes)
        Env_.Out_ << toText(Change) << "\n";
    return Changes.empty() ? ExitCode::Success : ExitCode::Negative;
  }

  ExitCode explain(const std::string &Id,
                   const std::vector<std::string> &Files) {
    CallHistory History(Id);
    for (const std::string &File : Files)
      if (!readLog(File, History))
        return ExitCode::Usage;
    if (!History.found()) {
      Env_.Err_ << "marigoldctl: no line names request " << Id
                << "; successes are left out of the log under load\n";
      return ExitCode::Negative;
    }
    Env_.Out_ << History.text();
    return ExitCode::Success;
  }

  ExitCode status() {
    FleetView Fleet(Settings_.Nodes_);
    bool Complete = queryRound(Fleet, std::nullopt);
    if (!Fleet.anyReached()) {
      Env_.Err_ << "marigoldctl: no node answered\n";
      return ExitCode::Unreachable;
    }
    Env_.Out_ << (Settings_.Json_ ? statusJson(Fleet) : statusText(Fleet));
    if (!Complete)
      return ExitCode::TimedOut;
    return needsAttention(Fleet) ? ExitCode::Negative : ExitCode::Success;
  }

  ExitCode wait(const ConfigVersion &Wanted) {
    FleetView Fleet(Settings_.Nodes_);
    std::string LastProgress;
    while (true) {
      queryRound(Fleet, Wanted);
      RolloutState State = Fleet.rollout(Wanted);
      std::string Progress = progressText(Wanted, State);
      if (Progress != LastProgress)
        Env_.Err_ << Progress << std::endl;
      LastProgress = std::move(Progress);
      if (State.Verdict_ != RolloutState::Verdict::Pending)
        return finishWait(Wanted, Fleet, State.Verdict_);
      Duration Rest = remaining();
      if (Rest <= Duration(0))
        return finishWait(Wanted, Fleet, State.Verdict_);
      Env_.Sleep_(std::min(PollInterval, Rest));
    }
  }

private:
  Duration remaining() const { return Deadline_ - Env_.Now_(); }

  /// Queries nodes in batches and checks the deadline before each, so that the
  /// command's timeout also holds for a large fleet. Returns false if the
  /// deadline passed before all batches were sent.
  bool query(FleetView &Fleet, const std::vector<StatusRequest> &Requests) {
    const std::size_t BatchSize = QueryLimits().Parallel_;
    for (std::size_t First = 0; First < Requests.size(); First += BatchSize) {
      Duration Timeout = std::min(QueryTimeout, remaining());
      if (Timeout <= Duration(0))
        return false;
      std::vector<StatusRequest> Batch(
          Requests.begin() + static_cast<std::ptrdiff_t>(First),
          Requests.begin() + static_cast<std::ptrdiff_t>(
                                 std::min(First + BatchSize, Requests.size())));
      for (StatusReply &Reply : Env_.Query_(Batch, Timeout))
        Fleet.record(Reply.Admin_, std::move(Reply.Status_));
    }
    return true;
  }

  /// Queries the known nodes and then the nodes found in their answers.
  /// Returns false if the deadline passed first.
  bool queryRound(FleetView &Fleet, std::optional<ConfigVersion> Wanted) {
    std::vector<StatusRequest> First = Fleet.nextRequests(Wanted);
    if (!query(Fleet, First))
      return false;
    std::set<Address> Asked;
    for (const StatusRequest &Request : First)
      Asked.insert(Request.Admin_);
    std::vector<StatusRequest> Discovered = Fleet.nextRequests(Wanted);
    std::erase_if(Discovered, [&](const StatusRequest &Request) {
      return Asked.contains(Request.Admin_);
    });
    return query(Fleet, Discovered);
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
    Env_.Out_ << (Settings_.Json_ ? waitJson(Wanted, Fleet, Result)
                                  : waitText(Wanted, Fleet));
    return Code;
  }

  /// Adds the records of a log file to the history. Malformed lines are
  /// skipped and their number is reported. Returns false if the file cannot be
  /// read.
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
      Env_.Err_ << "marigoldctl: cannot read " << File << "\n";
      return false;
    }
    if (Malformed != 0)
      Env_.Err_ << "marigoldctl: " << Malformed << " lines of " << File
                << " cannot be read, the first is line " << FirstMalformed
                << "\n";
    return true;
  }

  /// Reads at most MaxTextBytes + 1 bytes of a file: an oversized file is not
  /// read in full, but the parser still sees that it is too large.
  std::optional<std::string> readFile(const std::string &File) {
    std::ifstream Input(File, std::ios::binary);
    std::string Text(config::MaxTextBytes + 1, '\0');
    if (Input)
      Input.read(Text.data(), static_cast<std::streamsize>(Text.size()));
    if (!Input.is_open() || Input.bad() || (Input.fail() && !Input.eof())) {
      Env_.Err_ << "marigoldctl: cannot read " << File << "\n";
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
    printErrors(Parsed.error(), Env_.Err_);
    return std::nullopt;
  }

  static void printErrors(const config::Diagnostics &Errors,
                          std::ostream &Stream) {
    for (const config::Diagnostic &Error : Errors)
      Stream << toText(Error) << "\n";
  }

  const CtlSettings &Settings_;
  const Environment &Env_;
  TimePoint Deadline_;
};

ExitCode usageError(const Environment &Env, const std::string &Message) {
  Env.Err_ << "marigoldctl: " << Message << "\nusage: marigoldctl " << Usage
           << "\n";
  return ExitCode::Usage;
}

} // namespace

ExitCode runCommand(const CtlSettings &Settings,
                    const std::vector<std::string> &Arguments,
                    const Environment &Env) {
  if (Arguments.empty())
    return usageError(Env, "no command");
  const std::string &Name = Arguments.front();
  if (Name == "explain") {
    if (Arguments.size() < 3)
      return usageError(Env, "explain needs an id and at least one log");
    return Command(Settings, Env)
        .explain(Arguments[1], {Arguments.begin() + 2, Arguments.end()});
  }
  bool Local = Name == "check" || Name == "diff";
  if (!Local && Name != "status" && Name != "wait")
    return usageError(Env, "unknown command " + Name);
  std::size_t Expected = Name == "status" ? 1 : Name == "diff" ? 3 : 2;
  if (Arguments.size() != Expected)
    return usageError(Env, "wrong number of arguments for " + Name);
  if (!Local && Settings.Nodes_.empty())
    return usageError(Env, Name + " needs --nodes");

  Command Run(Settings, Env);
  if (Name == "check")
    return Run.check(Arguments[1]);
  if (Name == "diff")
    return Run.diff(Arguments[1], Arguments[2]);
  if (Name == "status")
    return Run.status();
  auto Version = parseVersion(Arguments[1]);
  if (!Version)
    return usageError(Env,
                      "VERSION is epoch.revision: " + Version.error().Detail_);
  return Run.wait(Version.value());
}

ExitCode runCommand(const CtlSettings &Settings,
                    const std::vector<std::string> &Arguments) {
  Environment Env{
      std::cout, std::cerr,
      [](const std::vector<StatusRequest> &Requests, Duration Timeout) {
        QueryLimits Limits;
        Limits.Timeout_ = Timeout;
        return queryStatus(Requests, Limits);
      },
      std::chrono::steady_clock::now,
      [](Duration Pause) { std::this_thread::sleep_for(Pause); }};
  return runCommand(Settings, Arguments, Env);
}

} // namespace marigold::ctl
