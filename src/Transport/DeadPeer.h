#pragma once

#include "Support/Clock.h"

#include <boost/asio/ip/tcp.hpp>

namespace marigold::transport {

/// Enables TCP keep-alive probes after one second without traffic and sets
/// TCP_USER_TIMEOUT, the limit for unacknowledged data, to UserTimeout. A host
/// that loses power or its network sends no reset; without this, connections to
/// it would hang for many minutes.
void detectDeadPeer(boost::asio::ip::tcp::socket &Socket,
                    std::chrono::milliseconds UserTimeout);

/// User timeout for exchanges that take milliseconds: allows three
/// retransmissions on a network with delays of up to 100 ms.
inline constexpr std::chrono::milliseconds ShortUserTimeout{2000};

/// User timeout for connections with large bodies, over links that may queue
/// seconds of data.
inline constexpr std::chrono::milliseconds BulkUserTimeout{4000};

} // namespace marigold::transport
