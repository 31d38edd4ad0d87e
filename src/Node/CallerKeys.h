#pragma once

#include "Node/CallerCall.h"

namespace marigold::node {

/// Answers requests to the reserved paths below /.marigold/ of the caller port.
/// POST /.marigold/keys?service=S returns a new idempotency key as the body
/// (text/plain).
void handleReservedPath(const std::shared_ptr<CallerContext> &Context,
                        const transport::HttpRequest &Request,
                        std::shared_ptr<transport::HttpExchange> Exchange);

} // namespace marigold::node
