#pragma once

#include "Node/CallerCall.h"

namespace marigold::node {

/// Answers the paths below /.marigold/ of the caller port: POST
/// /.marigold/keys?service=S returns a key as the body (text/plain) and in the
/// field Idempotency-Key.
void handleReservedPath(const std::shared_ptr<CallerContext> &Context,
                        const transport::HttpRequest &Request,
                        std::shared_ptr<transport::HttpExchange> Exchange);

} // namespace marigold::node
