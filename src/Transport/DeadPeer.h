#pragma once

#include "Support/Clock.h"

#include <boost/asio/ip/tcp.hpp>

namespace marigold::transport {

/// Lets the kernel end a connection whose other side no longer answers:
/// keep-alive probes after a second of silence, and a limit on unacknowledged
/// data of UserTimeout. A host that lost its power or its network sends no
/// reset, so that a connection to it would hang for many minutes otherwise.
void detectDeadPeer(boost::asio::ip::tcp::socket &Socket,
                    std::chrono::milliseconds UserTimeout);

/// Limit for exchanges that take milliseconds: three retransmissions on a
/// network with delays of up to 100 ms.
inline constexpr std::chrono::milliseconds ShortUserTimeout{2000};

/// Limit for connections that carry large bodies, over links whose queue may
/// hold seconds of data.
inline constexpr std::chrono::milliseconds BulkUserTimeout{4000};

} // namespace marigold::transport
