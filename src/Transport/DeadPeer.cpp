#include "Transport/DeadPeer.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace marigold::transport {
namespace {

/// Time without a packet before the first probe, and between two probes, in
/// seconds; the shortest that the kernel takes.
constexpr int ProbeSeconds = 1;
/// Unanswered probes that end the connection.
constexpr int Probes = 2;

} // namespace

void detectDeadPeer(boost::asio::ip::tcp::socket &Socket,
                    std::chrono::milliseconds UserTimeout) {
  auto Limit = static_cast<unsigned>(UserTimeout.count());
  int Handle = Socket.native_handle();
  int On = 1;
  // A failure leaves the kernel's defaults, with which connections still work.
  ::setsockopt(Handle, SOL_SOCKET, SO_KEEPALIVE, &On, sizeof(On));
  ::setsockopt(Handle, IPPROTO_TCP, TCP_KEEPIDLE, &ProbeSeconds,
               sizeof(ProbeSeconds));
  ::setsockopt(Handle, IPPROTO_TCP, TCP_KEEPINTVL, &ProbeSeconds,
               sizeof(ProbeSeconds));
  ::setsockopt(Handle, IPPROTO_TCP, TCP_KEEPCNT, &Probes, sizeof(Probes));
  ::setsockopt(Handle, IPPROTO_TCP, TCP_USER_TIMEOUT, &Limit, sizeof(Limit));
}

} // namespace marigold::transport
