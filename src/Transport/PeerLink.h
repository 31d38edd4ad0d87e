#pragma once

#include "Transport/EgressPacer.h"
#include "Transport/IngressPacer.h"
#include "Transport/PeerConnection.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <deque>
#include <mutex>
#include <unordered_map>
#include <vector>

namespace marigold::transport {

/// Implementation of PeerConnection. Members without a lock are accessed only
/// on the strand of the connection.
class PeerLink : public PeerConnection,
                 public std::enable_shared_from_this<PeerLink> {
public:
  /// Called once, when the handshake is complete or has failed.
  using Ready = std::function<void(Result<PeerConnectionPtr>)>;

  /// Socket must be connected and its executor must be a strand. The initiator
  /// of the connection uses odd stream numbers, the other side even ones.
  /// Expected is the required identity of the peer, if known.
  PeerLink(boost::asio::ip::tcp::socket Socket, PeerHandler &Handler,
           const PeerOptions &Options, bool Initiator,
           std::optional<HostId> Expected, Ready OnReady);

  /// Sends Hello and starts reading. Must be called on the strand.
  void start();

  const HostRecord &peer() const override { return Peer_; }
  bool isOpen() const override { return Open_ && !Retired_; }
  std::uint32_t call(CallStart Start, std::shared_ptr<const std::string> Body,
                     StreamCallback Done) override;
  std::uint32_t requestKey(std::string Service, StreamCallback Done) override;
  void cancel(std::uint32_t Stream) override;
  using PeerConnection::reply;
  void reply(std::uint32_t Stream, ReplyStart Start,
             std::shared_ptr<const std::string> Body, ReplyEnd End) override;
  void refuse(const CallRefused &Refusal) override;
  void sendKey(const KeyReply &Reply) override;
  void close(Failure Cause) override;

  /// Accepts no new calls and closes the connection once the calls in progress
  /// have ended.
  void retire();

  /// Time of the last received data, for choosing the connection to evict.
  TimePoint lastUse() const { return TimePoint(Duration(LastUse_.load())); }

  /// Number of open streams in both directions.
  std::size_t streams() const { return StreamCount_; }

protected:
  std::size_t sendEncoded(MessageType Type, std::string Body) override;

private:
  using Command = std::function<void(PeerLink &)>;
  using FrameReceiver = Result<void> (PeerLink::*)(std::string_view Body);

  /// Body that is being received.
  struct IncomingBody {
    std::string Data_;
    MemoryReservationPtr Memory_;
    /// Bytes received since the last WindowUpdate; only without Admitted_.
    std::size_t UncreditedBytes_ = 0;
    /// Set for a large body that waits for credit.
    std::unique_ptr<IngressBody> Admitted_;
  };

  /// Stream opened by this side.
  struct LocalStream {
    StreamCallback Done_;
    bool Key_ = false;
    /// The first frame may have been sent, so the peer may know the stream.
    bool Started_ = false;
    /// The last frame may have been sent, so the peer may act on the call.
    bool Complete_ = false;
    std::optional<ReplyStart> Start_;
    IncomingBody Answer_;
    /// Objective and deadline of the call.
    BodyDeadlines Deadlines_;
  };

  /// Stream opened by the peer.
  struct RemoteStream {
    CallStart Start_;
    IncomingBody Body_;
    bool Complete_ = false;
    TimePoint StartedAt_{};
    /// Objective and deadline of the reply.
    BodyDeadlines Deadlines_;
  };

  /// Data to send on a stream: a first frame, a body in chunks and a last
  /// frame.
  struct Outgoing {
    std::string Head_;
    std::shared_ptr<const std::string> Body_;
    std::size_t Offset_ = 0;
    std::string Tail_;
    std::uint64_t Credit_ = 0;
    MessageType DataType_ = MessageType::CallData;
    BodyDeadlines Deadlines_;
    bool HeadSent_ = false;
    bool Queued_ = false;
  };

  /// Part of a write: text owned by the segment, followed by a range of a
  /// shared body.
  struct WriteSegment {
    std::string Text_;
    std::shared_ptr<const std::string> Body_;
    std::size_t Offset_ = 0;
    std::size_t Size_ = 0;
  };

  // Commands submitted from other threads.
  void submit(Command Task);
  std::uint32_t
  submitStream(const std::function<Command(std::uint32_t)> &MakeTask);
  void scheduleCommands();
  void runCommands();

  // Reading.
  void read();
  void onRead(boost::system::error_code Error, std::size_t Size);
  Result<void> parseFrames();
  Result<void> dispatchFrame(std::uint8_t Type, std::string_view Body);
  static const std::vector<FrameReceiver> &receivers();
  template <class Message> Result<void> decode(std::string_view Body);
  template <class Message,
            void (PeerHandler::*Function)(const PeerConnectionPtr &, Message)>
  Result<void> decodeControl(std::string_view Body);

  Result<void> receive(Hello Value);
  Result<void> receive(CallStart Value);
  Result<void> receive(CallData Value);
  Result<void> receive(CallEnd Value);
  Result<void> receive(CallCancel Value);
  Result<void> receive(ReplyStart Value);
  Result<void> receive(ReplyData Value);
  Result<void> receive(ReplyEnd Value);
  Result<void> receive(CallRefused Value);
  Result<void> receive(WindowUpdate Value);
  Result<void> receive(KeyRequest Value);
  Result<void> receive(KeyReply Value);

  bool isLocal(std::uint32_t Stream) const {
    return (Stream % 2 == 1) == Initiator_;
  }
  /// Checks the number of a new stream of the peer. Returns false if the stream
  /// comes after one with a higher number and has to be refused. Fails if the
  /// number is in use or not one of the peer's.
  Result<bool> acceptStreamNumber(std::uint32_t Stream);
  Result<LocalStream *> findLocalStream(std::uint32_t Stream);
  void finishLocalStream(std::uint32_t Stream, StreamResult Value);
  /// Adds received data to a body of BodySize bytes and grants credit for it.
  /// Fails if the data exceeds the body or the credit.
  Result<void> receiveData(std::uint32_t Stream, IncomingBody &Into,
                           std::string Data, std::uint64_t BodySize);
  void grantWindow(std::uint32_t Stream, IncomingBody &Into, std::size_t Size);
  /// Whether a body that the peer sends waits for credit.
  bool admitsBody(std::uint64_t Size) const;
  /// Returns a function that grants credit for a stream.
  IngressPacer::Granted granter(std::uint32_t Stream);
  void updateStreamCount();

  // Writing.
  void openStream(std::uint32_t Stream, LocalStream Entry, std::string Head,
                  std::shared_ptr<const std::string> Body, std::string Tail,
                  const BodyDeadlines &Deadlines);
  void sendControl(std::string Frame);
  void sendStream(std::uint32_t Stream, Outgoing Entry);
  void refuseOnStrand(const CallRefused &Refusal);
  /// Refuses a call before its body is received.
  void refuseUnread(const CallStart &Start, ErrorCode Code,
                    Duration RetryAfter = Duration::zero());
  void dropOutgoing(std::uint32_t Stream);
  void flush();
  std::deque<std::uint32_t> &readyQueue(const Outgoing &Entry);
  /// Moves the stream with the earliest due time to the front of ReadyBulk_ and
  /// returns whether a chunk of it may be sent now. If not, the connection is
  /// queued at the pacer.
  bool mayWriteBulk();
  /// Whether this body must wait for credit before its first byte.
  bool waitsForCredit(const Outgoing &Entry) const;
  /// Handles what the peer says about the admission of large bodies.
  void onAdmission(std::uint32_t Admission);
  /// Due time of the body that this stream sends.
  TimePoint dueTimeOf(std::uint32_t Stream, TimePoint Now) const;
  void addBacklog(std::int64_t Bytes);
  void appendStreamSegment(std::deque<std::uint32_t> &Queue);
  void onWritten(boost::system::error_code Error);

  void armTimer(Duration Delay);
  void onTimer();
  void shutDown(Failure Cause);
  /// Closes a retired connection that has no streams left.
  void closeIfUnused();

  boost::asio::ip::tcp::socket Socket_;
  boost::asio::steady_timer Timer_;
  PeerHandler &Handler_;
  const PeerOptions Options_;
  const bool Initiator_;
  const std::optional<HostId> Expected_;
  Ready OnReady_;
  HostRecord Peer_;
  std::atomic<bool> Open_ = false;
  // Set when all stream numbers have been used. Open streams are completed, no
  // new ones are opened.
  std::atomic<bool> Retired_ = false;
  bool Closed_ = false;
  /// What the peer said with AdmissionStream: its large bodies wait for credit,
  /// and those that are sent to it have to.
  bool PeerWaits_ = false;
  bool PeerAdmits_ = false;
  std::atomic<TimePoint::rep> LastUse_;
  std::atomic<std::size_t> StreamCount_ = 0;

  std::mutex CommandMutex_;
  std::vector<Command> Commands_;
  bool CommandsScheduled_ = false;
  bool CommandsClosed_ = false;
  std::uint32_t NextStream_;

  std::vector<char> Input_;
  std::size_t InputBegin_ = 0;
  std::size_t InputEnd_ = 0;

  std::unordered_map<std::uint32_t, LocalStream> LocalStreams_;
  std::unordered_map<std::uint32_t, RemoteStream> RemoteStreams_;
  std::uint32_t LastLocalStream_ = 0;
  std::uint32_t LastRemoteStream_ = 0;
  std::size_t ReceivingBytes_ = 0;

  std::unordered_map<std::uint32_t, Outgoing> Outgoing_;
  /// Streams with data to send. All streams start in Ready_, which keeps their
  /// first frames in the order of their numbers. Large bodies follow from
  /// ReadyBulk_, round-robin or in the order of the pacer if there is one.
  std::deque<std::uint32_t> Ready_;
  std::deque<std::uint32_t> ReadyBulk_;
  /// Due time passed to the pacer while this connection is queued there.
  std::optional<TimePoint> EnqueuedDue_;
  std::size_t QueuedBodyBytes_ = 0;
  std::deque<std::string> Control_;
  std::size_t ControlBytes_ = 0;
  bool Writing_ = false;
  bool Parsing_ = false;
  TimePoint WriteStartedAt_{};
  std::vector<WriteSegment> Segments_;
  std::vector<boost::asio::const_buffer> Batch_;
  std::size_t BatchBytes_ = 0;
};

/// Encodes a frame: length, type and body.
std::string makeFrame(MessageType Type, std::string_view Body);

} // namespace marigold::transport
