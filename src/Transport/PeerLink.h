#pragma once

#include "Transport/EgressPacer.h"
#include "Transport/PeerConnection.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <deque>
#include <mutex>
#include <unordered_map>
#include <vector>

namespace marigold::transport {

/// The implementation of PeerConnection. Members without a lock belong to the
/// connection's strand.
class PeerLink : public PeerConnection,
                 public std::enable_shared_from_this<PeerLink> {
public:
  /// Told once when the handshake is complete or the connection has failed
  /// before that.
  using Ready = std::function<void(Result<PeerConnectionPtr>)>;

  /// The socket is connected and its executor is a strand. The side that
  /// opened the connection numbers its streams with odd numbers, the other
  /// with even ones. Expected is the identity that the peer must have, if
  /// known.
  PeerLink(boost::asio::ip::tcp::socket Socket, PeerHandler &Handler,
           const PeerOptions &Options, bool Initiator,
           std::optional<HostId> Expected, Ready OnReady);

  /// Sends Hello and reads from now on. Call on the strand.
  void start();

  const HostRecord &peer() const override { return Peer_; }
  bool isOpen() const override { return Open_ && !Retired_; }
  std::uint32_t call(CallStart Start, std::shared_ptr<const std::string> Body,
                     StreamCallback Done) override;
  std::uint32_t requestKey(std::string Service, StreamCallback Done) override;
  void cancel(std::uint32_t Stream) override;
  void reply(std::uint32_t Stream, ReplyStart Start, std::string Body,
             ReplyEnd End) override;
  void refuse(const CallRefused &Refusal) override;
  void sendKey(const KeyReply &Reply) override;
  void close(Failure Why) override;

  /// Time of the last frame, for choosing a connection to give up.
  TimePoint lastUse() const { return TimePoint(Duration(LastUse_.load())); }

  /// Streams that are open in either direction.
  std::size_t streams() const { return StreamCount_; }

protected:
  std::size_t sendEncoded(MessageType Type, std::string Body) override;

private:
  using Command = std::function<void(PeerLink &)>;
  using FrameReceiver = Result<void> (PeerLink::*)(std::string_view Body);

  /// A stream that this side opened.
  struct LocalStream {
    StreamCallback Done_;
    bool Key_ = false;
    bool Written_ = false;
    std::optional<ReplyStart> Start_;
    std::string Body_;
    std::size_t UncreditedBytes_ = 0;
  };

  /// A stream that the peer opened.
  struct RemoteStream {
    CallStart Start_;
    std::string Body_;
    std::size_t UncreditedBytes_ = 0;
    bool Complete_ = false;
    /// When the reply is wanted.
    BodyDeadlines Deadlines_;
  };

  /// What is to be written on one stream: a first frame, a body in chunks, a
  /// last frame.
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

  /// Part of one write: own text followed by a range of a shared body.
  struct WriteSegment {
    std::string Text_;
    std::shared_ptr<const std::string> Body_;
    std::size_t Offset_ = 0;
    std::size_t Size_ = 0;
  };

  // Commands of other threads.
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
  Result<void> acceptStreamNumber(std::uint32_t Stream);
  Result<LocalStream *> findLocalStream(std::uint32_t Stream);
  void finishLocalStream(std::uint32_t Stream, StreamResult Value);
  void grant(std::uint32_t Stream, std::size_t &UncreditedBytes,
             std::size_t Size);
  void updateStreamCount();

  // Writing.
  void openStream(std::uint32_t Stream, LocalStream Entry, std::string Head,
                  std::shared_ptr<const std::string> Body, std::string Tail,
                  const BodyDeadlines &Deadlines);
  void sendControl(std::string Frame);
  void sendStream(std::uint32_t Stream, Outgoing Entry);
  void refuseOnStrand(const CallRefused &Refusal);
  void dropOutgoing(std::uint32_t Stream);
  void flush();
  std::deque<std::uint32_t> &readyQueue(const Outgoing &Entry);
  /// Whether a piece of the first stream of ReadyBulk_ may be sent now; brings
  /// the stream whose body is due first there.
  bool mayWriteBulk();
  /// Time at which the body of this stream is due.
  TimePoint dueOf(std::uint32_t Stream, TimePoint Now) const;
  void addBacklog(std::int64_t Bytes);
  bool appendStreamSegment(std::deque<std::uint32_t> &Queue);
  void onWritten(boost::system::error_code Error);

  void armTimer(Duration Delay);
  void onTimer();
  void shutDown(Failure Why);

  boost::asio::ip::tcp::socket Socket_;
  boost::asio::steady_timer Timer_;
  PeerHandler &Handler_;
  const PeerOptions Options_;
  const bool Initiator_;
  const std::optional<HostId> Expected_;
  Ready OnReady_;
  HostRecord Peer_;
  std::atomic<bool> Open_ = false;
  // All stream numbers are used up; what is open is finished.
  std::atomic<bool> Retired_ = false;
  bool Closed_ = false;
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
  /// Streams with something to write, those with a large body apart: these take
  /// turns, or share the link as the pacer decides.
  std::deque<std::uint32_t> Ready_;
  std::deque<std::uint32_t> ReadyBulk_;
  /// Set while a turn of the pacer is waited for: the time given to it.
  std::optional<TimePoint> EnqueuedDue_;
  std::size_t QueuedBodyBytes_ = 0;
  std::deque<std::string> Control_;
  std::size_t ControlBytes_ = 0;
  bool Writing_ = false;
  std::vector<WriteSegment> Segments_;
  std::vector<boost::asio::const_buffer> Batch_;
  std::size_t BatchBytes_ = 0;
};

/// A frame ready to be written: length, type and body.
std::string makeFrame(MessageType Type, std::string_view Body);

} // namespace marigold::transport
