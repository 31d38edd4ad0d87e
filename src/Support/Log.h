#pragma once

#include "Schema/generated/Messages.h"

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace marigold {

/// Importance of a log line.
enum class LogLevel { Debug, Info, Warning, Error };

/// One key and value of a structured log line.
using LogField = std::pair<std::string_view, std::string>;

/// Sets up logging to standard error for the whole process. Level is the
/// text of the log-level setting. Call once, before any thread starts.
void configureLogging(std::string_view Level, std::string_view Program);

/// Sets the host and failure domain that each line carries.
void setLogHost(std::string_view Host, std::string_view FailureDomain);

/// Sets the configuration version that each line carries from now on.
void setLogVersion(const ConfigVersion &Version);

/// Writes one line "event=... key=value ...". Meant for changes of state;
/// everything frequent is a metric.
void logEvent(LogLevel Level, std::string_view Event,
              std::initializer_list<LogField> Fields = {});

/// Collects lines from now on until flushLog, which saves a system call a
/// line. Without it each line is written at once.
void bufferLog();

/// Writes what is collected; to be called every few milliseconds and at the
/// end of the process. Never waits for the output: what it does not take stays
/// in the buffer, and lines that no longer fit are dropped and counted.
void flushLog();

/// Lines dropped since the start because the output took no more.
std::uint64_t droppedLogLines();

} // namespace marigold
