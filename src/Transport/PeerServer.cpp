#include "Transport/PeerServer.h"

#include "Transport/Listener.h"
#include "Transport/PeerLink.h"

#include <boost/asio/dispatch.hpp>

#include <algorithm>
#include <mutex>

namespace marigold::transport {

namespace asio = boost::asio;
using asio::ip::tcp;

class PeerServer::Impl : public std::enable_shared_from_this<Impl> {
public:
  Impl(asio::io_context &Io, PeerHandler &Handler, PeerOptions Options)
      : Listener_(Io), Handler_(Handler), Options_(std::move(Options)) {}

  Result<void> listen(const Address &Local) {
    return Listener_.listen(Local,
                            [Weak = weak_from_this()](tcp::socket Socket) {
                              if (auto Self = Weak.lock())
                                Self->accept(std::move(Socket));
                            });
  }

  void accept(tcp::socket Socket) {
    auto Executor = Socket.get_executor();
    auto Link = std::make_shared<PeerLink>(
        std::move(Socket), Handler_, Options_, false, std::nullopt, nullptr);
    {
      std::lock_guard Lock(Mutex_);
      if (Stopped_)
        return;
      std::erase_if(Links_, [](const auto &Weak) { return Weak.expired(); });
      Links_.push_back(Link);
    }
    asio::dispatch(Executor, [Link] { Link->start(); });
  }

  void stop() {
    Listener_.stop();
    {
      // The listener may still be passing on a connection.
      std::lock_guard Lock(Mutex_);
      Stopped_ = true;
    }
    for (const auto &Link : links())
      Link->close(fail(ErrorCode::ConnectionFailed, "stopped"));
  }

  std::vector<std::shared_ptr<PeerLink>> links() const {
    std::vector<std::shared_ptr<PeerLink>> Found;
    std::lock_guard Lock(Mutex_);
    for (const auto &Weak : Links_)
      if (auto Link = Weak.lock())
        Found.push_back(std::move(Link));
    return Found;
  }

  Listener Listener_;
  PeerHandler &Handler_;
  const PeerOptions Options_;
  mutable std::mutex Mutex_;
  std::vector<std::weak_ptr<PeerLink>> Links_;
  bool Stopped_ = false;
};

PeerServer::PeerServer(asio::io_context &Io, PeerHandler &Handler,
                       PeerOptions Options)
    : Impl_(std::make_shared<Impl>(Io, Handler, std::move(Options))) {}

PeerServer::~PeerServer() { stop(); }

Result<void> PeerServer::listen(const Address &Local) {
  return Impl_->listen(Local);
}

std::uint16_t PeerServer::port() const { return Impl_->Listener_.port(); }

std::size_t PeerServer::broadcast(const HostStateNotice &Notice) {
  std::size_t Bytes = 0;
  for (const auto &Link : Impl_->links())
    Bytes += Link->send(Notice);
  return Bytes;
}

std::size_t PeerServer::connections() const {
  auto Links = Impl_->links();
  return static_cast<std::size_t>(
      std::count_if(Links.begin(), Links.end(),
                    [](const auto &Link) { return Link->isOpen(); }));
}

std::size_t PeerServer::openStreams() const {
  std::size_t Count = 0;
  for (const auto &Link : Impl_->links())
    Count += Link->streams();
  return Count;
}

void PeerServer::stop() { Impl_->stop(); }

} // namespace marigold::transport
