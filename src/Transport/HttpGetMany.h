#pragma once

#include "Transport/HttpGet.h"

#include <vector>

namespace marigold::transport {

/// Runs GET requests, at most Parallel at a time, and blocks until all have
/// ended. The results are in the order of the requests. For command-line
/// programs; nodes use httpGet.
std::vector<Result<HttpGetResponse>>
httpGetMany(std::vector<HttpGetRequest> Requests, std::size_t Parallel);

} // namespace marigold::transport
