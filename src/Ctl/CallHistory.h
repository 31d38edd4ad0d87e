#pragma once

#include "Ctl/LogRecord.h"

#include <map>
#include <string>
#include <vector>

namespace marigold::ctl {

/// Joins the log lines of several nodes into the history of one request: each
/// decision in order of time, and what the node that made it believed then.
class CallHistory {
public:
  /// Follows the request with this id, and the calls whose ids begin with it
  /// and a dot.
  explicit CallHistory(std::string Id) : Id_(std::move(Id)) {}

  /// Takes one line; lines of one host in the order of its log.
  void add(const LogRecord &Record);

  /// Whether some line names the request.
  bool found() const { return !Decisions_.empty(); }

  /// The history as text, with the cause of the request's end last.
  std::string text() const;

private:
  bool belongsToRequest(const std::string &Id) const;
  std::string stateAt(const LogRecord &Decision) const;
  std::string endSummary(const std::vector<LogRecord> &Ordered) const;

  std::string Id_;
  std::vector<LogRecord> Decisions_;
  /// Lines of other events by host.
  std::map<std::string, std::vector<LogRecord>> StateEvents_;
};

} // namespace marigold::ctl
