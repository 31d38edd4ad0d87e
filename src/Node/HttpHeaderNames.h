#pragma once

#include <string>

namespace marigold::node {

/// Names of the header fields through which callers, nodes and targets of one
/// deployment tell each other of a request. All in lower case; an empty name
/// means that the deployment has no such field.
struct HttpHeaderNames {
  /// Identifier that the caller gave to the request. Targets repeat it in
  /// their answers.
  std::string RequestId_ = "x-request-id";
  /// Key under which a request that may not be repeated is sent again.
  std::string Key_ = "idempotency-key";
  /// Milliseconds for which the sender of the request will wait.
  std::string Deadline_ = "x-marigold-deadline-ms";
  /// Number of calls above this one.
  std::string Depth_ = "x-marigold-depth";
  /// Service that runs beside the node at which the request began; set by
  /// nodes, never taken from callers.
  std::string CallerService_;
  /// Instance that the target must be to run the request; set by nodes.
  std::string ExpectedInstance_;
  /// Present in an answer whose target did not run the request.
  std::string NotRun_;
  /// Present in every answer of a target that ran the request.
  std::string Signature_;
};

/// The names of marigolddale's own interface.
inline const HttpHeaderNames &defaultHeaderNames() {
  static const HttpHeaderNames Names;
  return Names;
}

} // namespace marigold::node
