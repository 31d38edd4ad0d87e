#pragma once

#include "Schema/generated/Messages.h"
#include "Support/Archive.h"
#include "Support/Clock.h"
#include "Support/Metrics.h"
#include "Support/Result.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace marigold::transport {

class PeerConnection;
using PeerConnectionPtr = std::shared_ptr<PeerConnection>;

/// Limits of peer connections. The defaults are those of the design page.
struct PeerLimits {
  /// Largest frame body in bytes, except that of a SyncReply.
  std::size_t Frame_ = std::size_t{64} * 1024;
  /// Largest body of a SyncReply in bytes.
  std::size_t SnapshotFrame_ = std::size_t{2} * 1024 * 1024;
  /// Largest piece of a body in one data frame in bytes.
  std::size_t Chunk_ = std::size_t{16} * 1024;
  /// Credit of a new stream in bytes, in each direction.
  std::size_t Window_ = std::size_t{256} * 1024;
  /// Control frames that wait to be written, in bytes. A connection whose
  /// peer reads so slowly that more accumulates is closed.
  std::size_t ControlQueue_ = std::size_t{8} * 1024 * 1024;
  /// Bodies that wait to be written, in bytes; more are refused.
  std::size_t BodyQueue_ = std::size_t{64} * 1024 * 1024;
  /// Request bodies under reception on one connection, in bytes; further calls
  /// with a body are refused with QueueFull.
  std::size_t Reception_ = std::size_t{64} * 1024 * 1024;
  /// Streams that are open at once in one direction.
  std::size_t Streams_ = 4096;
  /// Largest body of a reply in bytes.
  std::uint64_t Reply_ = std::size_t{16} * 1024 * 1024;
  /// Time within which both Hello frames must have arrived.
  Duration Handshake_ = std::chrono::seconds(2);
  /// A connection without streams is closed after this time without a frame.
  Duration Idle_ = std::chrono::seconds(60);
};

class EgressPacer;

/// What a node needs for all its peer connections.
struct PeerOptions {
  /// XXH3 hash of the mesh name.
  std::uint64_t Mesh_ = 0;
  /// This node's own record for the Hello frame.
  std::function<HostRecord()> OwnRecord_;
  /// Counts malformed messages and open connections; may be null.
  MetricsRegistry *Metrics_ = nullptr;
  /// Shares the host's link among its connections; may be null.
  std::shared_ptr<EgressPacer> Pacer_ = nullptr;
  /// Limits.
  PeerLimits Limits_;
};

/// A complete reply to a call.
struct PeerReply {
  /// Status and header fields.
  ReplyStart Start_;
  /// Body, exactly Start_.BodySize_ bytes.
  std::string Body_;
  /// Load of the target and its service time.
  ReplyEnd End_;
};

/// A stream ended because its connection was lost or refused the call.
struct StreamLost {
  /// Whether any byte of the call may have left this process. If not, the call
  /// certainly did not run.
  bool Written_ = false;
  /// Why.
  Failure Why_;
};

/// How a stream ended.
using StreamResult = std::variant<PeerReply, CallRefused, KeyReply, StreamLost>;

/// Receives the end of a stream. Runs on the connection's strand, or directly
/// in the call that opens the stream if the connection is already closed.
using StreamCallback = std::function<void(StreamResult)>;

/// Receives what a peer sends of its own accord. All calls for one connection
/// come from its strand, one at a time; those of different connections come in
/// parallel. A handler must outlive its connections.
class PeerHandler {
public:
  virtual ~PeerHandler() = default;

  /// The handshake is complete.
  virtual void onOpen(const PeerConnectionPtr &) {}

  /// The connection is closed; it delivers nothing more. Called once, and only
  /// after onOpen.
  virtual void onClosed(const PeerConnectionPtr &, const Failure &) {}

  /// A call begins. A code refuses it before its body is received; the
  /// connection then sends CallRefused with the load.
  virtual std::optional<CallRefused> onCallStart(const PeerConnectionPtr &,
                                                 const CallStart &);

  /// A call is complete, its body included. The handler answers it later with
  /// reply or refuse, unless the stream is cancelled.
  virtual void onCall(const PeerConnectionPtr &, CallStart, std::string Body);

  /// The peer no longer waits for the stream, or the connection was lost (then
  /// called for each stream that was not answered, before onClosed). Calls
  /// whose body is incomplete are dropped without a call of this function.
  virtual void onCallCancel(const PeerConnectionPtr &, std::uint32_t) {}

  /// The peer asks for a key. The handler answers with sendKey or refuse.
  virtual void onKeyRequest(const PeerConnectionPtr &, const KeyRequest &);

  /// Size on the wire of a received frame that is not part of a call, for the
  /// counters of control traffic. Called before the frame is handled.
  virtual void onControlBytes(MessageType, std::size_t) {}

  /// The peer asks for a configuration version.
  virtual void onSyncRequest(const PeerConnectionPtr &, SyncRequest) {}

  /// The peer sends a configuration version.
  virtual void onSyncReply(const PeerConnectionPtr &, SyncReply) {}

  /// The peer sends its host records of differing buckets.
  virtual void onHostExchange(const PeerConnectionPtr &, HostExchange) {}

  /// The peer announces a change of a host.
  virtual void onHostStateNotice(const PeerConnectionPtr &, HostStateNotice) {}
};

/// One TCP connection between two nodes, with many streams. All functions are
/// safe to call from any thread and never block. Bodies are sent in chunks;
/// streams take turns, so that a large body delays no other stream. With a
/// pacer, large bodies go in the order of EgressQueue.
class PeerConnection {
public:
  virtual ~PeerConnection() = default;

  /// The record that the peer gave in its Hello.
  virtual const HostRecord &peer() const = 0;

  /// Whether frames can be sent.
  virtual bool isOpen() const = 0;

  /// Sends a call and returns its stream number; Start.Stream_ and
  /// Start.BodySize_ are filled in. Done is called exactly once unless the
  /// stream is cancelled. The body is shared, so that a retry needs no copy.
  virtual std::uint32_t call(CallStart Start,
                             std::shared_ptr<const std::string> Body,
                             StreamCallback Done) = 0;

  /// Asks for a key; otherwise like call.
  virtual std::uint32_t requestKey(std::string Service,
                                   StreamCallback Done) = 0;

  /// Gives up a stream that call or requestKey opened and tells the peer. Its
  /// callback is not called any more, except by a result that is being
  /// delivered at this moment.
  virtual void cancel(std::uint32_t Stream) = 0;

  /// Answers a call of the peer. Stream numbers and body size are filled in.
  virtual void reply(std::uint32_t Stream, ReplyStart Start, std::string Body,
                     ReplyEnd End) = 0;

  /// Refuses a call or key request of the peer.
  virtual void refuse(const CallRefused &Refusal) = 0;

  /// Answers a key request of the peer.
  virtual void sendKey(const KeyReply &Reply) = 0;

  /// Sends one of SyncRequest, SyncReply, HostExchange, HostStateNotice.
  /// Returns the number of bytes of the frame, for control traffic counters,
  /// or 0 if the connection is closed or the frame exceeds its limit.
  template <class Message> std::size_t send(const Message &Value) {
    return sendEncoded(MessageTypeOf<Message>::Value_, encodeBody(Value));
  }

  /// Closes the connection; open streams end as lost.
  virtual void close(Failure Why) = 0;

protected:
  virtual std::size_t sendEncoded(MessageType Type, std::string Body) = 0;
};

} // namespace marigold::transport
