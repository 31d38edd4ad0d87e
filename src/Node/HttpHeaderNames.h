#pragma once

#include <string>

namespace marigold::node {

/// Names of the header fields in which callers, nodes and targets of one
/// platform exchange information about a request, and what the platform means
/// by them. All are in lower case; an empty name means that the platform has no
/// such field.
struct HttpHeaderNames {
  /// Request identifier set by the caller. Targets repeat it in their answers.
  std::string RequestId_ = "x-request-id";
  /// Whether a node gives an identifier to requests without one. It tells the
  /// answer to a request from a second copy of an earlier answer.
  bool AssignRequestId_ = true;
  /// Idempotency key, with which a caller can resend a request that must not
  /// run twice.
  std::string Key_ = "idempotency-key";
  /// Time for which the sender of the request waits for the answer, in
  /// milliseconds.
  std::string Deadline_ = "x-marigold-deadline-ms";
  /// Number of calls above this one in the call chain.
  std::string Depth_ = "x-marigold-depth";
  /// Service that runs beside the node at which the request entered the mesh;
  /// set by nodes, never taken from callers.
  std::string CallerService_;
  /// Instance that the target must be to run the request; set by nodes.
  std::string ExpectedInstance_;
  /// Present in the answer of a target that did not run the request. Without
  /// it, an answer of a target counts as proof that the request ran.
  std::string NotRun_ = "x-marigold-not-run";
  /// Present in every answer of a target that ran the request.
  std::string Signature_;
  /// Present in the answers of a target to health checks: its instance.
  std::string AnsweringInstance_;
  /// Time in milliseconds for which a target stays cold, in its answers to
  /// health checks; absent or 0 if it is warm.
  std::string ColdLeft_;
  /// Load as the target itself reports it with its answers.
  std::string TargetLoad_;
  /// Whether callers take the statuses 408, 421, 429 and 503 as a statement
  /// that the request has not run. An answer of a target with such a status but
  /// without the field NotRun_ is then not passed on.
  bool StatusMeansNotRun_ = false;
  /// Whether a Host field that names no virtual host names a service. If not,
  /// virtual hosts and services are named independently of one another.
  bool HostsAreServices_ = true;
};

/// The default names, those of marigolddale's own interface.
inline const HttpHeaderNames &defaultHeaderNames() {
  static const HttpHeaderNames Names;
  return Names;
}

} // namespace marigold::node
