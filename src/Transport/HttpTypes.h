#pragma once

#include "Schema/generated/Errors.h"
#include "Schema/generated/Messages.h"
#include "Transport/MemoryAccount.h"

#include "Support/Clock.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace marigold::transport {

/// Maximum size of an HTTP header section in bytes.
inline constexpr std::size_t HttpHeaderLimit = std::size_t{16} * 1024;

/// Complete HTTP request. Header field names are in lower case. Hop-by-hop
/// fields such as Connection are omitted.
struct HttpRequest {
  /// Method as received, case-sensitive.
  std::string Method_;
  /// Path and query, always with a leading slash.
  std::string Target_;
  /// Value of the Host field without the port, in lower case.
  std::string Host_;
  /// End-to-end header fields without Host and Content-Length.
  std::vector<Header> Headers_;
  /// Body, with the transfer coding decoded.
  std::string Body_;
  /// Time at which the header section was complete.
  TimePoint Arrival_{};
};

/// Complete HTTP response without hop-by-hop fields and without Content-Length,
/// which is added when it is sent.
struct HttpResponse {
  unsigned Status_ = 200;
  /// End-to-end header fields, names in lower case.
  std::vector<Header> Headers_;
  std::string Body_;
  /// What the account counts for the body; may be null.
  MemoryReservationPtr Memory_ = {};
};

/// Whether a status is one of a final response. Nothing else is an answer: a
/// client cannot tell what a status below 100 or above 599 means, and the
/// statuses from 100 to 199 announce an answer that follows.
constexpr bool isFinalStatus(unsigned Status) {
  return Status >= 200 && Status <= 599;
}

/// Whether a status is one of an informational response, behind which the final
/// one follows on the same connection. After status 101 another protocol
/// follows, for which nodes never ask.
constexpr bool isInformationalStatus(unsigned Status) {
  return Status >= 100 && Status <= 199 && Status != 101;
}

/// Value of the first field with the given lower-case name; empty if there is
/// none.
std::string_view findHeader(const std::vector<Header> &Headers,
                            std::string_view Name);

/// Creates an error response: the HTTP status of the code, its outcome and
/// reason in x-marigold-outcome and x-marigold-reason, and its description as
/// the body.
HttpResponse errorResponse(ErrorCode Code);

/// Whether the field with the given lower-case name is hop-by-hop and therefore
/// not forwarded.
bool isHopByHop(std::string_view LowerName);

} // namespace marigold::transport
