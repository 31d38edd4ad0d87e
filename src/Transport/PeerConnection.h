#pragma once

#include "Transport/MemoryAccount.h"

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

/// Bodies larger than this many bytes (one chunk) are sent chunk by chunk as
/// the link permits.
inline constexpr std::size_t BulkThreshold = std::size_t{16} * 1024;

/// Number that no stream has. A WindowUpdate of it follows the Hello of a node
/// that knows the admission of large bodies; its credit is one of the values
/// below. Older builds ignore the frame.
inline constexpr std::uint32_t AdmissionStream = 0;
/// The node waits for credit before it sends a body larger than BulkThreshold
/// to a peer that admits bodies.
inline constexpr std::uint32_t WaitsForCredit = 1;
/// As above, and the node admits the large bodies that it receives: it grants
/// credit from their first byte on.
inline constexpr std::uint32_t AdmitsBodies = 2;

/// Limits of peer connections. The defaults match the design documentation.
struct PeerLimits {
  /// Maximum frame body size in bytes, except for SyncReply.
  std::size_t Frame_ = std::size_t{64} * 1024;
  /// Maximum body size of a SyncReply in bytes. A text of 1 MiB takes less
  /// than 2 MiB; the rest is for the list of targets.
  std::size_t SnapshotFrame_ = std::size_t{4} * 1024 * 1024;
  /// Maximum number of body bytes per data frame.
  std::size_t Chunk_ = std::size_t{16} * 1024;
  /// Initial flow-control credit of a stream in bytes, per direction, and the
  /// maximum. Large bodies start without credit if the receiver admits them.
  std::size_t Window_ = std::size_t{256} * 1024;
  /// Maximum size in bytes of the queue of control frames. A connection whose
  /// peer reads so slowly that the queue exceeds it is closed.
  std::size_t ControlQueue_ = std::size_t{8} * 1024 * 1024;
  /// Maximum total size in bytes of the bodies queued for sending; further
  /// bodies are refused.
  std::size_t BodyQueue_ = std::size_t{64} * 1024 * 1024;
  /// Maximum total size in bytes of the request bodies being received on one
  /// connection; further calls with a body are refused with QueueFull.
  std::size_t Reception_ = std::size_t{64} * 1024 * 1024;
  /// Maximum number of open streams per direction.
  std::size_t Streams_ = 4096;
  /// Maximum body size of a reply in bytes.
  std::uint64_t Reply_ = std::size_t{16} * 1024 * 1024;
  /// Handshake timeout: both Hello frames must arrive within it.
  Duration Handshake_ = std::chrono::seconds(2);
  /// A connection without open streams is closed after this time without a
  /// received frame.
  Duration Idle_ = std::chrono::seconds(60);
};

class EgressPacer;
class IngressPacer;

/// Options common to all peer connections of a node.
struct PeerOptions {
  /// XXH3 hash of the mesh name.
  std::uint64_t Mesh_ = 0;
  /// Returns this node's record for the Hello frame.
  std::function<HostRecord()> OwnRecord_;
  /// Receives the counters of malformed messages and open connections; may be
  /// null.
  MetricsRegistry *Metrics_ = nullptr;
  /// Schedules the traffic on the host's link; may be null.
  std::shared_ptr<EgressPacer> Pacer_ = nullptr;
  /// Grants credit for the large bodies that this host receives; may be null.
  /// Peers of older builds send up to PeerLimits::Window_ at once (see
  /// AdmissionStream).
  std::shared_ptr<IngressPacer> Ingress_ = nullptr;
  /// Account of the memory of the bodies that are received; may be null. A call
  /// for which it has no room is refused with NodeMemory, an answer fails with
  /// AnswerTooLarge.
  std::shared_ptr<MemoryAccount> Memory_ = nullptr;
  PeerLimits Limits_;
};

/// Complete reply to a call.
struct PeerReply {
  ReplyStart Start_;
  /// Body, exactly Start_.BodySize_ bytes.
  std::string Body_;
  /// Load and service time of the target.
  ReplyEnd End_;
  /// What the account counts for the body; may be null.
  MemoryReservationPtr Memory_ = {};
};

/// Result of a stream that ended because its connection was lost or could not
/// accept the call.
struct StreamLost {
  /// Whether the whole call may have been sent. If not, the call certainly did
  /// not run.
  bool Written_ = false;
  Failure Cause_;
};

/// Result of a stream.
using StreamResult = std::variant<PeerReply, CallRefused, KeyReply, StreamLost>;

/// Called when a stream ends. Runs on the strand of the connection, or within
/// the call that opens the stream if the connection is already closed.
using StreamCallback = std::function<void(StreamResult)>;

/// Handles messages that a peer sends unrequested. Calls for one connection are
/// serialized on its strand; calls for different connections may be concurrent.
/// A handler must outlive its connections.
class PeerHandler {
public:
  virtual ~PeerHandler() = default;

  /// Called when the handshake is complete.
  virtual void onOpen(const PeerConnectionPtr &) {}

  /// Called once when the connection has closed, after all its other events.
  /// Not called unless onOpen was called.
  virtual void onClosed(const PeerConnectionPtr &, const Failure &) {}

  /// Called at the start of a call. Returning a CallRefused refuses the call
  /// before its body is received; the connection sends it, with the load, to
  /// the peer.
  virtual std::optional<CallRefused> onCallStart(const PeerConnectionPtr &,
                                                 const CallStart &);

  /// Returns the load of the target, which goes with the refusals of the
  /// connection itself.
  virtual LoadReport load() const { return {}; }

  /// Called when a call and its body, which may be empty but not null, have
  /// been received. The handler later answers with reply or refuse, unless the
  /// stream is cancelled.
  virtual void onCall(const PeerConnectionPtr &, CallStart,
                      std::shared_ptr<const std::string> Body);

  /// Called when the peer has cancelled a stream, and for each unanswered
  /// stream when the connection is lost, before onClosed. Calls whose body is
  /// incomplete are discarded without calling this function.
  virtual void onCallCancel(const PeerConnectionPtr &, std::uint32_t) {}

  /// Called when the peer requests a key. The handler answers with sendKey or
  /// refuse.
  virtual void onKeyRequest(const PeerConnectionPtr &, const KeyRequest &);

  /// Called for each received frame that is not part of a call, before it is
  /// handled, with its size on the wire in bytes. For the control traffic
  /// counters.
  virtual void onControlBytes(MessageType, std::size_t) {}

  /// Called when the peer requests a configuration version.
  virtual void onSyncRequest(const PeerConnectionPtr &, SyncRequest) {}

  /// Called when the peer sends a configuration version.
  virtual void onSyncReply(const PeerConnectionPtr &, SyncReply) {}

  /// Called when the peer sends its host records of the buckets that differ.
  virtual void onHostExchange(const PeerConnectionPtr &, HostExchange) {}

  /// Called when the peer announces a change of a host.
  virtual void onHostStateNotice(const PeerConnectionPtr &, HostStateNotice) {}
};

/// TCP connection between two nodes that multiplexes many streams. Thread-safe;
/// no function blocks. Bodies are sent in chunks, round-robin over the streams,
/// so that a large body does not delay other streams. With a pacer, large
/// bodies are sent in the order of EgressQueue.
class PeerConnection {
public:
  virtual ~PeerConnection() = default;

  /// Host record from the Hello frame of the peer.
  virtual const HostRecord &peer() const = 0;

  /// Whether the connection can open streams and send messages.
  virtual bool isOpen() const = 0;

  /// Sends a call and returns its stream number. Start.Stream_ and
  /// Start.BodySize_ are set by this function. Done is called exactly once
  /// unless the stream is cancelled. The body is shared, so that a retry needs
  /// no copy.
  virtual std::uint32_t call(CallStart Start,
                             std::shared_ptr<const std::string> Body,
                             StreamCallback Done) = 0;

  /// Requests a key; otherwise like call.
  virtual std::uint32_t requestKey(std::string Service,
                                   StreamCallback Done) = 0;

  /// Cancels a stream opened by call or requestKey and notifies the peer. Its
  /// callback is not called afterwards, unless a result is being delivered
  /// concurrently.
  virtual void cancel(std::uint32_t Stream) = 0;

  /// Answers a call of the peer. The stream number and body size in Start and
  /// End are set by this function.
  virtual void reply(std::uint32_t Stream, ReplyStart Start,
                     std::shared_ptr<const std::string> Body, ReplyEnd End) = 0;

  /// As above, with a body that no account counts.
  void reply(std::uint32_t Stream, ReplyStart Start, std::string Body,
             ReplyEnd End) {
    reply(Stream, std::move(Start),
          std::make_shared<const std::string>(std::move(Body)), End);
  }

  /// Refuses a call or key request of the peer.
  virtual void refuse(const CallRefused &Refusal) = 0;

  /// Answers a key request of the peer.
  virtual void sendKey(const KeyReply &Reply) = 0;

  /// Sends a SyncRequest, SyncReply, HostExchange or HostStateNotice. Returns
  /// the frame size in bytes for the control traffic counters, or 0 if the
  /// connection is closed or the body exceeds its limit.
  template <class Message> std::size_t send(const Message &Value) {
    return sendEncoded(MessageTypeOf<Message>::Value_, encodeBody(Value));
  }

  /// Closes the connection; open streams end with StreamLost.
  virtual void close(Failure Cause) = 0;

protected:
  virtual std::size_t sendEncoded(MessageType Type, std::string Body) = 0;
};

} // namespace marigold::transport
