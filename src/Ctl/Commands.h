#pragma once

#include "Ctl/StatusClient.h"
#include "Schema/generated/Settings.h"

#include <functional>
#include <iosfwd>
#include <string>
#include <vector>

namespace marigold::ctl {

/// Exit codes of the program.
enum class ExitCode : int {
  /// The command succeeded.
  Success = 0,
  /// The command ran and the answer is no: an invalid text, a difference, a
  /// fleet that needs attention, a version that was refused, a request that no
  /// log names.
  Negative = 1,
  /// The command line is wrong or a file cannot be read.
  Usage = 2,
  /// No node answered.
  Unreachable = 3,
  /// The version is not active everywhere within the timeout.
  TimedOut = 4
};

/// What the commands need from outside, replaced in tests.
struct Environment {
  /// Results.
  std::ostream &Out_;
  /// Progress and errors.
  std::ostream &Err_;
  /// Sends a round of queries, each of which takes at most the given time.
  std::function<std::vector<StatusReply>(const std::vector<StatusRequest> &,
                                         Duration)>
      Query_;
  /// Time now.
  std::function<TimePoint()> Now_;
  /// Waits.
  std::function<void(Duration)> Sleep_;
};

/// Runs the command that Arguments name: check FILE, diff OLD NEW, status,
/// wait VERSION, explain ID LOG...
ExitCode runCommand(const CtlSettings &Settings,
                    const std::vector<std::string> &Arguments,
                    const Environment &Env);

/// Runs a command with the process's streams, clock and network.
ExitCode runCommand(const CtlSettings &Settings,
                    const std::vector<std::string> &Arguments);

/// Names of the commands and their arguments for --help and errors.
inline constexpr const char *Usage =
    "check FILE | diff OLD NEW | status | wait VERSION | explain ID LOG...";

} // namespace marigold::ctl
