#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace marigold::transport {

/// Lets the kernel end a connection whose other side no longer answers:
/// keep-alive probes after a second of silence, and a limit on unacknowledged
/// data. A host that lost its power or its network sends no reset, so that a
/// connection to it would hang for many minutes otherwise.
void detectDeadPeer(boost::asio::ip::tcp::socket &Socket);

} // namespace marigold::transport
