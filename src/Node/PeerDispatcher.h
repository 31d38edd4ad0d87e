#pragma once

#include "Transport/PeerConnection.h"

#include <utility>

namespace marigold::node {

/// Dispatches the frames of peer connections to the request path (calls and
/// keys) or to the control plane (synchronization and notices). Both are
/// notified of opened and closed connections.
class PeerDispatcher : public transport::PeerHandler {
public:
  /// Both handlers must outlive the dispatcher.
  PeerDispatcher(transport::PeerHandler &Calls, transport::PeerHandler &Control)
      : Calls_(Calls), Control_(Control) {}

  void onOpen(const transport::PeerConnectionPtr &Connection) override {
    Calls_.onOpen(Connection);
    Control_.onOpen(Connection);
  }
  void onClosed(const transport::PeerConnectionPtr &Connection,
                const Failure &Cause) override {
    Calls_.onClosed(Connection, Cause);
    Control_.onClosed(Connection, Cause);
  }
  std::optional<CallRefused>
  onCallStart(const transport::PeerConnectionPtr &Connection,
              const CallStart &Start) override {
    return Calls_.onCallStart(Connection, Start);
  }
  LoadReport load() const override { return Calls_.load(); }
  void onCall(const transport::PeerConnectionPtr &Connection, CallStart Start,
              std::shared_ptr<const std::string> Body) override {
    Calls_.onCall(Connection, std::move(Start), std::move(Body));
  }
  void onCallCancel(const transport::PeerConnectionPtr &Connection,
                    std::uint32_t Stream) override {
    Calls_.onCallCancel(Connection, Stream);
  }
  void onKeyRequest(const transport::PeerConnectionPtr &Connection,
                    const KeyRequest &Request) override {
    Calls_.onKeyRequest(Connection, Request);
  }
  void onControlBytes(MessageType Type, std::size_t Bytes) override {
    Control_.onControlBytes(Type, Bytes);
  }
  void onSyncRequest(const transport::PeerConnectionPtr &Connection,
                     SyncRequest Request) override {
    Control_.onSyncRequest(Connection, std::move(Request));
  }
  void onSyncReply(const transport::PeerConnectionPtr &Connection,
                   SyncReply Reply) override {
    Control_.onSyncReply(Connection, std::move(Reply));
  }
  void onHostExchange(const transport::PeerConnectionPtr &Connection,
                      HostExchange Exchange) override {
    Control_.onHostExchange(Connection, std::move(Exchange));
  }
  void onHostStateNotice(const transport::PeerConnectionPtr &Connection,
                         HostStateNotice Notice) override {
    Control_.onHostStateNotice(Connection, std::move(Notice));
  }

private:
  transport::PeerHandler &Calls_;
  transport::PeerHandler &Control_;
};

} // namespace marigold::node
