#include "Transport/PeerLink.h"

#include "Transport/DeadPeer.h"
#include "Transport/EgressPacer.h"

#include "Support/Addresses.h"
#include "Support/Log.h"

#include <boost/asio/bind_executor.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/write.hpp>

#include <cstring>

namespace marigold::transport {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

// A frame starts with its length (4 bytes, big-endian, covering type and body)
// and its type (1 byte).
constexpr std::size_t LengthSize = 4;
constexpr std::size_t FrameHead = LengthSize + 1;
constexpr std::size_t ReadSize = std::size_t{16} * 1024;
// Maximum size of a write in bytes. Larger batches save system calls but make
// control frames wait longer behind data.
constexpr std::size_t BatchLimit = std::size_t{64} * 1024;
// Time from which on a write counts as slow: the peer, or the link to it, takes
// less than is sent.
constexpr Duration SlowWrite = std::chrono::milliseconds(250);
// After this stream number a connection opens no more streams, so that numbers
// never wrap. The margin to the maximum covers calls being submitted
// concurrently.
constexpr std::uint32_t LastStreamNumber = 0xffff0000;

void storeLength(char *Out, std::size_t Length) {
  for (unsigned Index = 0; Index < 4; ++Index)
    Out[Index] = static_cast<char>((Length >> (24 - 8 * Index)) & 0xff);
}

std::size_t loadLength(const char *In) {
  std::size_t Length = 0;
  for (unsigned Index = 0; Index < 4; ++Index)
    Length = Length << 8 | static_cast<unsigned char>(In[Index]);
  return Length;
}

bool isBulk(const std::shared_ptr<const std::string> &Body) {
  return Body && Body->size() > BulkThreshold;
}

} // namespace

std::string makeFrame(MessageType Type, std::string_view Body) {
  std::string Frame(FrameHead, '\0');
  storeLength(Frame.data(), Body.size() + 1);
  Frame[LengthSize] = static_cast<char>(Type);
  Frame.append(Body);
  return Frame;
}

PeerLink::PeerLink(tcp::socket Socket, PeerHandler &Handler,
                   const PeerOptions &Options, bool Initiator,
                   std::optional<HostId> Expected, Ready OnReady)
    : Socket_(std::move(Socket)), Timer_(Socket_.get_executor()),
      Handler_(Handler), Options_(Options), Initiator_(Initiator),
      Expected_(Expected), OnReady_(std::move(OnReady)),
      LastUse_(std::chrono::steady_clock::now().time_since_epoch().count()),
      NextStream_(Initiator ? 1 : 2), Input_(ReadSize) {}

void PeerLink::start() {
  boost::system::error_code Ignored;
  Socket_.set_option(tcp::no_delay(true), Ignored);
  detectDeadPeer(Socket_, BulkUserTimeout);
  sendControl(
      makeFrame(MessageType::Hello,
                encodeBody(Hello{PeerProtocolVersion, Options_.Mesh_,
                                 Options_.OwnRecord_ ? Options_.OwnRecord_()
                                                     : HostRecord{}})));
  sendControl(
      makeFrame(MessageType::WindowUpdate,
                encodeBody(WindowUpdate{AdmissionStream,
                                        Options_.Ingress_ ? AdmitsBodies
                                                          : WaitsForCredit})));
  flush();
  armTimer(Options_.Limits_.Handshake_);
  read();
}

// Commands submitted from other threads. Stream numbers are assigned and
// commands queued under one lock, so that streams reach the strand in the order
// of their numbers.

void PeerLink::submit(Command Task) {
  {
    std::lock_guard Lock(CommandMutex_);
    Commands_.push_back(std::move(Task));
    if (std::exchange(CommandsScheduled_, true))
      return;
  }
  scheduleCommands();
}

std::uint32_t
PeerLink::submitStream(const std::function<Command(std::uint32_t)> &MakeTask) {
  std::uint32_t Stream = 0;
  {
    std::lock_guard Lock(CommandMutex_);
    Stream = NextStream_;
    NextStream_ += 2;
    if (Stream > LastStreamNumber)
      Retired_ = true;
    Commands_.push_back(MakeTask(Stream));
    if (std::exchange(CommandsScheduled_, true))
      return Stream;
  }
  scheduleCommands();
  return Stream;
}

void PeerLink::scheduleCommands() {
  asio::dispatch(Socket_.get_executor(),
                 [Self = shared_from_this()] { Self->runCommands(); });
}

void PeerLink::runCommands() {
  std::vector<Command> Tasks;
  {
    std::lock_guard Lock(CommandMutex_);
    Tasks.swap(Commands_);
    CommandsScheduled_ = false;
  }
  for (Command &Task : Tasks)
    Task(*this);
  flush();
}

// Reading.

void PeerLink::read() {
  if (InputBegin_ == InputEnd_)
    InputBegin_ = InputEnd_ = 0;
  if (InputEnd_ == Input_.size()) {
    std::memmove(Input_.data(), Input_.data() + InputBegin_,
                 InputEnd_ - InputBegin_);
    InputEnd_ -= InputBegin_;
    InputBegin_ = 0;
  }
  // The frame is larger than the buffer. parseFrames has already checked its
  // size limit.
  if (InputEnd_ == Input_.size())
    Input_.resize(Input_.size() * 2);
  Socket_.async_read_some(
      asio::buffer(Input_.data() + InputEnd_, Input_.size() - InputEnd_),
      [Self = shared_from_this()](boost::system::error_code Error,
                                  std::size_t Size) {
        Self->onRead(Error, Size);
      });
}

void PeerLink::onRead(boost::system::error_code Error, std::size_t Size) {
  if (Closed_)
    return;
  if (Error) {
    shutDown(fail(ErrorCode::ConnectionFailed, Error.message()));
    return;
  }
  InputEnd_ += Size;
  LastUse_ = std::chrono::steady_clock::now().time_since_epoch().count();
  // Written after all received frames have been handled: the frame behind the
  // peer's Hello may be the one that says that bodies have to wait.
  Parsing_ = true;
  Result<void> Parsed = parseFrames();
  Parsing_ = false;
  if (Closed_)
    return;
  if (!Parsed) {
    if (Options_.Metrics_ && Parsed.error().Code_ != ErrorCode::ProtocolVersion)
      Options_.Metrics_->add(Metric::MessagesMalformedTotal);
    shutDown(Parsed.error());
    return;
  }
  flush();
  if (InputBegin_ == InputEnd_ && Input_.size() > ReadSize) {
    Input_.resize(ReadSize);
    Input_.shrink_to_fit();
  }
  read();
}

Result<void> PeerLink::parseFrames() {
  while (InputEnd_ - InputBegin_ >= LengthSize) {
    const char *Begin = Input_.data() + InputBegin_;
    std::size_t Length = loadLength(Begin);
    if (Length == 0)
      return marigold::fail(ErrorCode::MessageMalformed, "empty frame");
    if (InputEnd_ - InputBegin_ < FrameHead)
      return success();
    auto Type = static_cast<std::uint8_t>(Begin[LengthSize]);
    const PeerLimits &Limits = Options_.Limits_;
    std::size_t Limit =
        Type == static_cast<std::uint8_t>(MessageType::SyncReply)
            ? Limits.SnapshotFrame_
            : Limits.Frame_;
    if (Length - 1 > Limit)
      return marigold::fail(ErrorCode::MessageTooLarge,
                            std::to_string(Length - 1) +
                                "-byte body exceeds the limit of " +
                                std::string(messageName(Type)));
    if (InputEnd_ - InputBegin_ < LengthSize + Length)
      return success();
    BOOST_OUTCOME_TRY(
        dispatchFrame(Type, std::string_view(Begin + FrameHead, Length - 1)));
    if (Closed_)
      return success();
    InputBegin_ += LengthSize + Length;
  }
  return success();
}

// Writing.

void PeerLink::sendControl(std::string Frame) {
  if (Closed_)
    return;
  ControlBytes_ += Frame.size();
  Control_.push_back(std::move(Frame));
  if (ControlBytes_ > Options_.Limits_.ControlQueue_)
    shutDown(marigold::fail(ErrorCode::ConnectionFailed,
                            "control queue is full: peer reads too slowly"));
}

void PeerLink::sendStream(std::uint32_t Stream, Outgoing Entry) {
  if (Entry.Body_)
    QueuedBodyBytes_ += Entry.Body_->size();
  Entry.Credit_ = waitsForCredit(Entry) ? 0 : Options_.Limits_.Window_;
  Entry.Queued_ = true;
  if (isBulk(Entry.Body_))
    addBacklog(static_cast<std::int64_t>(Entry.Body_->size()));
  readyQueue(Entry).push_back(Stream);
  Outgoing_.insert_or_assign(Stream, std::move(Entry));
}

void PeerLink::dropOutgoing(std::uint32_t Stream) {
  auto Position = Outgoing_.find(Stream);
  if (Position == Outgoing_.end())
    return;
  const Outgoing &Entry = Position->second;
  if (Entry.Body_)
    QueuedBodyBytes_ -= Entry.Body_->size();
  if (isBulk(Entry.Body_))
    addBacklog(static_cast<std::int64_t>(Entry.Offset_) -
               static_cast<std::int64_t>(Entry.Body_->size()));
  // A stream that stays in the queue of large bodies would use up link time.
  if (Entry.Queued_)
    std::erase(readyQueue(Entry), Stream);
  Outgoing_.erase(Position);
}

std::deque<std::uint32_t> &PeerLink::readyQueue(const Outgoing &Entry) {
  return Entry.HeadSent_ && isBulk(Entry.Body_) ? ReadyBulk_ : Ready_;
}

void PeerLink::addBacklog(std::int64_t Bytes) {
  if (Options_.Pacer_)
    Options_.Pacer_->addBacklog(Bytes);
  if (Options_.Metrics_)
    Options_.Metrics_->add(Metric::EgressBacklogBytes, Bytes);
}

bool PeerLink::waitsForCredit(const Outgoing &Entry) const {
  return PeerAdmits_ && isBulk(Entry.Body_);
}

void PeerLink::onAdmission(std::uint32_t Admission) {
  PeerWaits_ = true;
  if (Admission < AdmitsBodies || std::exchange(PeerAdmits_, true))
    return;
  // Streams that were opened when the handshake ended.
  for (auto &[Stream, Entry] : Outgoing_) {
    if (!waitsForCredit(Entry))
      continue;
    Entry.Credit_ = 0;
    if (Entry.HeadSent_ && std::exchange(Entry.Queued_, false))
      std::erase(ReadyBulk_, Stream);
  }
}

TimePoint PeerLink::dueTimeOf(std::uint32_t Stream, TimePoint Now) const {
  const Outgoing &Entry = Outgoing_.at(Stream);
  return dueTime(Entry.Deadlines_,
                 Options_.Pacer_->unloadedTransferTime(Entry.Body_->size() -
                                                       Entry.Offset_),
                 Now);
}

bool PeerLink::mayWriteBulk() {
  if (!Options_.Pacer_)
    return true;
  TimePoint Now = std::chrono::steady_clock::now();
  auto DueOf = [&](std::uint32_t Stream) { return dueTimeOf(Stream, Now); };
  auto First = std::ranges::min_element(ReadyBulk_, {}, DueOf);
  std::iter_swap(First, ReadyBulk_.begin());
  TimePoint Due = DueOf(ReadyBulk_.front());
  if (EnqueuedDue_ && *EnqueuedDue_ <= Due)
    return false;
  if (!EnqueuedDue_ && Options_.Pacer_->allow(Options_.Limits_.Chunk_))
    return true;
  EnqueuedDue_ = Due;
  Options_.Pacer_->enqueue(this, Due, [Weak = weak_from_this()] {
    if (auto Self = Weak.lock())
      asio::post(Self->Socket_.get_executor(), [Self] {
        Self->EnqueuedDue_.reset();
        Self->flush();
      });
  });
  return false;
}

void PeerLink::appendStreamSegment(std::deque<std::uint32_t> &Queue) {
  std::uint32_t Stream = Queue.front();
  Queue.pop_front();
  Outgoing &Entry = Outgoing_.at(Stream);
  Entry.Queued_ = false;
  WriteSegment Part;
  auto Own = LocalStreams_.find(Stream);
  bool Starts = !Entry.HeadSent_;
  if (Starts) {
    Part.Text_ = std::move(Entry.Head_);
    Entry.HeadSent_ = true;
    if (Own != LocalStreams_.end())
      Own->second.Started_ = true;
  }
  std::size_t Total = Entry.Body_ ? Entry.Body_->size() : 0;
  std::size_t Size =
      std::min<std::size_t>({Total - Entry.Offset_, Options_.Limits_.Chunk_,
                             static_cast<std::size_t>(Entry.Credit_)});
  // Only the body of a large message waits for the link. Its first frame is
  // sent in the order of the stream numbers, which the peer requires.
  if (Starts && isBulk(Entry.Body_))
    Size = 0;
  if (Size != 0) {
    // The data frame is encoded here to avoid copying the body: its header is
    // built here and its data refers to the shared body. The encoding must
    // match CallData and ReplyData.
    std::string Body;
    WireOutput Ar(Body);
    Ar.saveVarint(Stream);
    Ar.saveVarint(Size);
    std::string Frame = makeFrame(Entry.DataType_, Body);
    storeLength(Frame.data(), Body.size() + Size + 1);
    Part.Text_ += Frame;
    Part.Body_ = Entry.Body_;
    Part.Offset_ = Entry.Offset_;
    Part.Size_ = Size;
    Entry.Offset_ += Size;
    Entry.Credit_ -= Size;
    if (isBulk(Entry.Body_))
      addBacklog(-static_cast<std::int64_t>(Size));
  }
  bool Finished = Entry.Offset_ == Total;
  std::string Tail = Finished ? std::move(Entry.Tail_) : std::string();
  bool Again = !Finished && Entry.Credit_ != 0;
  BatchBytes_ += Part.Text_.size() + Part.Size_ + Tail.size();
  if (Part.Size_ == 0)
    Part.Text_ += Tail;
  Segments_.push_back(std::move(Part));
  if (Segments_.back().Size_ != 0 && !Tail.empty())
    Segments_.push_back({std::move(Tail), nullptr, 0, 0});
  if (Finished) {
    if (Own != LocalStreams_.end())
      Own->second.Complete_ = true;
    dropOutgoing(Stream);
  } else if (Again) {
    Entry.Queued_ = true;
    readyQueue(Entry).push_back(Stream);
  }
}

void PeerLink::flush() {
  if (Writing_ || Parsing_ || Closed_)
    return;
  Segments_.clear();
  Batch_.clear();
  BatchBytes_ = 0;
  while (!Control_.empty() && BatchBytes_ < BatchLimit) {
    BatchBytes_ += Control_.front().size();
    ControlBytes_ -= Control_.front().size();
    Segments_.push_back({std::move(Control_.front()), nullptr, 0, 0});
    Control_.pop_front();
  }
  while (!Ready_.empty() && BatchBytes_ < BatchLimit)
    appendStreamSegment(Ready_);
  if (Options_.Pacer_ && BatchBytes_ != 0)
    Options_.Pacer_->charge(BatchBytes_);
  while (!ReadyBulk_.empty() && BatchBytes_ < BatchLimit && mayWriteBulk())
    appendStreamSegment(ReadyBulk_);
  if (Segments_.empty())
    return;
  for (const WriteSegment &Part : Segments_) {
    Batch_.push_back(asio::buffer(Part.Text_));
    if (Part.Size_ != 0)
      Batch_.push_back(
          asio::buffer(Part.Body_->data() + Part.Offset_, Part.Size_));
  }
  Writing_ = true;
  WriteStartedAt_ = std::chrono::steady_clock::now();
  asio::async_write(
      Socket_, Batch_,
      [Self = shared_from_this()](boost::system::error_code Error,
                                  std::size_t) { Self->onWritten(Error); });
}

void PeerLink::onWritten(boost::system::error_code Error) {
  Writing_ = false;
  Duration Taken = std::chrono::steady_clock::now() - WriteStartedAt_;
  if (Taken >= SlowWrite) {
    if (Options_.Metrics_)
      Options_.Metrics_->add(Metric::PeerWritesSlowTotal);
    logEvent(
        LogLevel::Info, "peer_write_slow",
        {{"peer", toText(Peer_.Id_)},
         {"ms", std::to_string(
                    std::chrono::duration_cast<std::chrono::milliseconds>(Taken)
                        .count())},
         {"bytes", std::to_string(BatchBytes_)}});
  }
  if (Closed_)
    return;
  updateStreamCount();
  if (Error) {
    shutDown(marigold::fail(ErrorCode::ConnectionFailed, Error.message()));
    return;
  }
  flush();
}

// Timeouts and shutdown.

void PeerLink::armTimer(Duration Delay) {
  Timer_.expires_after(Delay);
  Timer_.async_wait(
      [Self = shared_from_this()](boost::system::error_code Error) {
        if (!Error && !Self->Closed_)
          Self->onTimer();
      });
}

void PeerLink::onTimer() {
  if (!Open_) {
    shutDown(marigold::fail(ErrorCode::TimedOut,
                            "handshake timed out: no Hello from peer"));
    return;
  }
  Duration Idle = std::chrono::steady_clock::now() - lastUse();
  if (Idle >= Options_.Limits_.Idle_ && StreamCount_ == 0) {
    shutDown(marigold::fail(ErrorCode::ConnectionFailed, "idle"));
    return;
  }
  armTimer(Options_.Limits_.Idle_ / 2);
}

void PeerLink::close(Failure Cause) {
  asio::dispatch(Socket_.get_executor(), [Self = shared_from_this(),
                                          Cause = std::move(Cause)]() mutable {
    Self->shutDown(std::move(Cause));
  });
}

void PeerLink::retire() {
  Retired_ = true;
  asio::post(Socket_.get_executor(),
             [Self = shared_from_this()] { Self->closeIfUnused(); });
}

void PeerLink::closeIfUnused() {
  updateStreamCount();
  if (Retired_ && StreamCount_ == 0)
    shutDown(marigold::fail(ErrorCode::ConnectionFailed, "retired"));
}

void PeerLink::shutDown(Failure Cause) {
  if (Closed_)
    return;
  Closed_ = true;
  bool WasOpen = Open_.exchange(false);
  auto Self = shared_from_this();
  boost::system::error_code Ignored;
  Socket_.close(Ignored);
  Timer_.cancel();
  if (!WasOpen) {
    if (OnReady_)
      std::exchange(OnReady_, nullptr)(Cause);
  } else if (Options_.Metrics_) {
    Options_.Metrics_->add(Metric::PeerConnections, -1);
  }
  auto Lost = std::exchange(LocalStreams_, {});
  for (auto &[Stream, Entry] : Lost)
    Entry.Done_(StreamLost{Entry.Complete_, Cause});
  auto Dropped = std::exchange(RemoteStreams_, {});
  for (auto &[Stream, Entry] : Dropped)
    if (Entry.Complete_)
      Handler_.onCallCancel(Self, Stream);
  for (auto &[Stream, Entry] : Outgoing_)
    Entry.Queued_ = false;
  Ready_.clear();
  ReadyBulk_.clear();
  // Unsent bytes must be removed from the backlog of the pacer.
  while (!Outgoing_.empty())
    dropOutgoing(Outgoing_.begin()->first);
  Control_.clear();
  updateStreamCount();
  if (WasOpen)
    Handler_.onClosed(Self, Cause);
}

} // namespace marigold::transport
