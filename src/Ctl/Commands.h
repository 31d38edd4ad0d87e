#pragma once

#include "Ctl/StatusClient.h"
#include "Schema/generated/Settings.h"

#include <functional>
#include <iosfwd>
#include <string>
#include <vector>

namespace marigold::ctl {

/// Exit codes of marigoldctl.
enum class ExitCode : int {
  /// The command succeeded.
  Success = 0,
  /// The command ran with a negative result: the configuration is invalid, the
  /// files differ, the fleet needs attention, the version was refused or is in
  /// conflict, or no log contains the request.
  Negative = 1,
  /// The command line is invalid, a file cannot be read, or a file to compare
  /// is not a valid configuration.
  Usage = 2,
  /// No node answered.
  Unreachable = 3,
  /// The timeout expired before the version was active on all nodes or before
  /// all nodes were queried.
  TimedOut = 4
};

/// External dependencies of the commands; tests replace them.
struct Environment {
  /// Stream for results.
  std::ostream &Out_;
  /// Stream for progress and errors.
  std::ostream &Err_;
  /// Sends the status queries; each one times out after the given duration.
  std::function<std::vector<StatusReply>(const std::vector<StatusRequest> &,
                                         Duration)>
      Query_;
  /// Returns the current time.
  std::function<TimePoint()> Now_;
  /// Blocks for the given duration.
  std::function<void(Duration)> Sleep_;
};

/// Runs the command in Arguments: check FILE, diff OLD NEW, status,
/// wait VERSION or explain ID LOG...
ExitCode runCommand(const CtlSettings &Settings,
                    const std::vector<std::string> &Arguments,
                    const Environment &Env);

/// Runs a command with the standard streams, the steady clock and the network.
ExitCode runCommand(const CtlSettings &Settings,
                    const std::vector<std::string> &Arguments);

/// Command synopsis for --help and usage errors.
inline constexpr const char *Usage =
    "check FILE | diff OLD NEW | status | wait VERSION | explain ID LOG...";

} // namespace marigold::ctl
