#pragma once

#include "Schema/SettingTypes.h"
#include "Support/Result.h"

#include <chrono>
#include <string>
#include <utility>
#include <vector>

namespace marigold::standins {

/// Header fields of a request.
using HttpFields = std::vector<std::pair<std::string, std::string>>;

/// Response received by callHttp().
struct HttpAnswer {
  /// HTTP status code.
  unsigned Status_ = 0;
  /// Header fields with names as received.
  HttpFields Fields_;
  std::string Body_;

  /// Value of a header field; empty if absent. Names are case-insensitive.
  std::string field(std::string_view Name) const;
};

/// Sends one HTTP/1.1 request on a new connection and blocks until the complete
/// response is received. For tests and tools. Fails with ConnectionFailed or
/// TimedOut.
Result<HttpAnswer>
callHttp(const Address &Where, const std::string &Method,
         const std::string &Target, const HttpFields &Fields = {},
         const std::string &Body = {},
         std::chrono::milliseconds Timeout = std::chrono::seconds(30));

} // namespace marigold::standins
