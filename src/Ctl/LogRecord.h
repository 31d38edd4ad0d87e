#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace marigold::ctl {

/// Time of a log line according to the clock of its host.
using LogTime = std::chrono::sys_time<std::chrono::milliseconds>;

/// A structured line of a node's log.
struct LogRecord {
  LogTime Time_;
  /// Name of the event.
  std::string Event_;
  /// The other fields in the order in which they appear.
  std::vector<std::pair<std::string, std::string>> Fields_;

  /// Value of a field; empty if the line has no field of that name.
  const std::string &field(std::string_view Name) const;
};

/// Kind of a line in a log file.
enum class LogLineKind : std::uint8_t {
  /// Not an event: output of another program or an empty line.
  Other,
  Record,
  /// An event without a valid time, or with an incomplete field as at the end
  /// of a truncated log.
  Malformed
};

/// Parses one line into Record, which is only complete if the result is
/// LogLineKind::Record. Text before the time, such as the prefix of a log
/// collector, is skipped.
LogLineKind parseLogLine(std::string_view Line, LogRecord &Record);

} // namespace marigold::ctl
