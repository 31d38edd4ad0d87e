#pragma once

#include "Schema/generated/Errors.h"
#include "Schema/generated/Messages.h"
#include "Support/Clock.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace marigold::transport {

/// Largest header section of an HTTP message in bytes.
inline constexpr std::size_t HttpHeaderLimit = std::size_t{16} * 1024;

/// A complete HTTP request. Names of header fields are in lower case. Fields
/// that hold for one connection only (such as Connection) are left out.
struct HttpRequest {
  /// Method as received, case-sensitive.
  std::string Method_;
  /// Path and query, always with a leading slash.
  std::string Target_;
  /// Value of the Host field without a port.
  std::string Host_;
  /// End-to-end header fields without Host and Content-Length.
  std::vector<Header> Headers_;
  /// Body with its transfer coding removed.
  std::string Body_;
  /// Time at which the header section was complete.
  TimePoint Arrival_{};
};

/// A complete HTTP response, without the fields that hold for one connection
/// only and without Content-Length, which the writer adds.
struct HttpResponse {
  /// Status code.
  unsigned Status_ = 200;
  /// End-to-end header fields, names in lower case.
  std::vector<Header> Headers_;
  /// Body.
  std::string Body_;
};

/// Value of the first field with this lower-case name; empty if there is none.
std::string_view findHeader(const std::vector<Header> &Headers,
                            std::string_view Name);

/// Response for a failure: the status, outcome and reason of the code as
/// x-marigold-outcome and x-marigold-reason, and the description as body.
HttpResponse errorResponse(ErrorCode Code);

/// Whether a field with this lower-case name holds for one connection only, so
/// that it is not passed on.
bool isHopByHop(std::string_view LowerName);

} // namespace marigold::transport
