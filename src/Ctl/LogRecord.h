#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace marigold::ctl {

/// Time of a log line by the clock of its host.
using LogTime = std::chrono::sys_time<std::chrono::milliseconds>;

/// One structured line of a node's log.
struct LogRecord {
  LogTime Time_;
  /// Name of the event.
  std::string Event_;
  /// The other fields in the order of the line.
  std::vector<std::pair<std::string, std::string>> Fields_;

  /// Value of a field; empty when the line has none of that name.
  const std::string &field(std::string_view Name) const;
};

/// What a line of a log file holds.
enum class LogLineKind : std::uint8_t {
  /// No event: output of another program, or an empty line.
  Other,
  Record,
  /// An event without a readable time or with an unfinished value, as the last
  /// line of a log that was cut.
  Malformed
};

/// Reads one line into Record. Text before the time, such as that of a log
/// collector, is skipped.
LogLineKind parseLogLine(std::string_view Line, LogRecord &Record);

} // namespace marigold::ctl
