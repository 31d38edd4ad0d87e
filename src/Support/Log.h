#pragma once

#include "Schema/generated/Messages.h"

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace marigold {

/// Severity of a log line, in ascending order.
enum class LogLevel { Debug, Info, Warning, Error };

/// A key-value pair of a structured log line.
using LogField = std::pair<std::string_view, std::string>;

/// Configures logging to standard output for the whole process. Level is the
/// value of the log-level setting. Call once, before any thread starts.
void configureLogging(std::string_view Level, std::string_view Program);

/// Sets the host and failure domain fields of all further lines.
void setLogHost(std::string_view Host, std::string_view FailureDomain);

/// Sets the configuration version field of all further lines.
void setLogVersion(const ConfigVersion &Version);

/// Writes one line "event=... key=value ...". Use it for changes of state; use
/// metrics for frequent events.
void logEvent(LogLevel Level, std::string_view Event,
              std::initializer_list<LogField> Fields = {});

/// Buffers all further lines until flushLog, which saves one system call per
/// line. Before this call, each line is written immediately.
void bufferLog();

/// Writes the buffered lines. Call every few milliseconds and at the end of the
/// process. Never blocks on the output: what cannot be written stays in the
/// buffer, and lines that do not fit into the buffer are dropped and counted.
void flushLog();

/// Number of lines dropped since the process started because the buffer was
/// full.
std::uint64_t droppedLogLines();

} // namespace marigold
