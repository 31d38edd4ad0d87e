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

/// Answer to callHttp.
struct HttpAnswer {
  /// Status code.
  unsigned Status_ = 0;
  /// Header fields with names as received.
  HttpFields Fields_;
  /// Whole body.
  std::string Body_;

  /// Value of a field, without regard to case; empty when absent.
  std::string field(std::string_view Name) const;
};

/// Makes one HTTP/1.1 call on a connection of its own and waits for the whole
/// answer. For tests and tools. Fails with ConnectionFailed or TimedOut.
Result<HttpAnswer>
callHttp(const Address &Where, const std::string &Method,
         const std::string &Target, const HttpFields &Fields = {},
         const std::string &Body = {},
         std::chrono::milliseconds Timeout = std::chrono::seconds(30));

} // namespace marigold::standins
