#pragma once

#include "Ctl/LogRecord.h"

#include <map>
#include <string>
#include <vector>

namespace marigold::ctl {

/// Correlates the log lines of several nodes into the history of one request:
/// its decisions in chronological order, each with the state that the deciding
/// node had logged up to then.
class CallHistory {
public:
  /// Selects the request with this id and its nested calls, whose ids start
  /// with the request's id followed by a dot.
  explicit CallHistory(std::string Id) : Id_(std::move(Id)) {}

  /// Adds one log record. The records of one host must be added in log order.
  void add(const LogRecord &Record);

  /// True if any record belongs to the request.
  bool found() const { return !Decisions_.empty(); }

  /// Formats the history as text; the last lines say how and why the request
  /// ended.
  std::string text() const;

private:
  bool belongsToRequest(const std::string &Id) const;
  std::string stateAt(const LogRecord &Decision) const;
  std::string endSummary(const std::vector<LogRecord> &Ordered) const;

  std::string Id_;
  std::vector<LogRecord> Decisions_;
  /// Records of all other events, by host.
  std::map<std::string, std::vector<LogRecord>> StateEvents_;
};

} // namespace marigold::ctl
