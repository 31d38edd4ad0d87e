#include "Transport/DeadPeer.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace marigold::transport {
namespace {

/// Idle time before the first keep-alive probe and interval between probes, in
/// seconds; the minimum that the kernel supports.
constexpr int ProbeSeconds = 1;
/// Number of unanswered probes after which the kernel closes the connection.
constexpr int Probes = 2;

} // namespace

void detectDeadPeer(boost::asio::ip::tcp::socket &Socket,
                    std::chrono::milliseconds UserTimeout) {
  auto Limit = static_cast<unsigned>(UserTimeout.count());
  int Handle = Socket.native_handle();
  int On = 1;
  // Errors are ignored: the connection still works with the kernel defaults.
  ::setsockopt(Handle, SOL_SOCKET, SO_KEEPALIVE, &On, sizeof(On));
  ::setsockopt(Handle, IPPROTO_TCP, TCP_KEEPIDLE, &ProbeSeconds,
               sizeof(ProbeSeconds));
  ::setsockopt(Handle, IPPROTO_TCP, TCP_KEEPINTVL, &ProbeSeconds,
               sizeof(ProbeSeconds));
  ::setsockopt(Handle, IPPROTO_TCP, TCP_KEEPCNT, &Probes, sizeof(Probes));
  ::setsockopt(Handle, IPPROTO_TCP, TCP_USER_TIMEOUT, &Limit, sizeof(Limit));
}

} // namespace marigold::transport
