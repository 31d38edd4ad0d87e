#include "Transport/PeerLink.h"

#include <boost/asio/post.hpp>

#include <utility>

namespace marigold::transport {

namespace asio = boost::asio;

namespace {

/// Objective and deadline of the bodies of a call. Calls on the own routes of a
/// service (not Routed_) have no objective.
BodyDeadlines deadlinesOf(const CallStart &Start) {
  TimePoint Now = std::chrono::steady_clock::now();
  BodyDeadlines Deadlines;
  Deadlines.Deadline_ = timeAfter(Now, Start.Remaining_);
  if (Start.Routed_)
    Deadlines.Objective_ = timeAfter(Now, Start.Objective_);
  return Deadlines;
}

Failure unexpected(std::string Detail) {
  return fail(ErrorCode::MessageUnexpected, std::move(Detail));
}

/// Appends received data to a body of a known size, so that the body takes no
/// more memory than the account counts.
void appendData(std::string &Body, std::string Data, std::uint64_t BodySize) {
  if (Data.size() == BodySize) {
    Body = std::move(Data);
    return;
  }
  Body.reserve(BodySize);
  Body += Data;
}

CallRefused refusal(std::uint32_t Stream, ErrorCode Code) {
  return {Stream, static_cast<std::uint16_t>(Code), {}};
}

} // namespace

std::optional<CallRefused> PeerHandler::onCallStart(const PeerConnectionPtr &,
                                                    const CallStart &) {
  return std::nullopt;
}

void PeerHandler::onCall(const PeerConnectionPtr &Connection, CallStart Start,
                         std::shared_ptr<const std::string>) {
  Connection->refuse(refusal(Start.Stream_, ErrorCode::WrongService));
}

void PeerHandler::onKeyRequest(const PeerConnectionPtr &Connection,
                               const KeyRequest &Request) {
  Connection->refuse(refusal(Request.Stream_, ErrorCode::WrongService));
}

// Frame receivers indexed by type byte; null for types that are not sent over
// TCP.

const std::vector<PeerLink::FrameReceiver> &PeerLink::receivers() {
  static const std::vector<FrameReceiver> Table = [] {
    std::vector<FrameReceiver> Rows(256, nullptr);
    auto Set = [&](MessageType Type, FrameReceiver Function) {
      Rows[static_cast<std::size_t>(Type)] = Function;
    };
    Set(MessageType::Hello, &PeerLink::decode<Hello>);
    Set(MessageType::CallStart, &PeerLink::decode<CallStart>);
    Set(MessageType::CallData, &PeerLink::decode<CallData>);
    Set(MessageType::CallEnd, &PeerLink::decode<CallEnd>);
    Set(MessageType::CallCancel, &PeerLink::decode<CallCancel>);
    Set(MessageType::ReplyStart, &PeerLink::decode<ReplyStart>);
    Set(MessageType::ReplyData, &PeerLink::decode<ReplyData>);
    Set(MessageType::ReplyEnd, &PeerLink::decode<ReplyEnd>);
    Set(MessageType::CallRefused, &PeerLink::decode<CallRefused>);
    Set(MessageType::WindowUpdate, &PeerLink::decode<WindowUpdate>);
    Set(MessageType::KeyRequest, &PeerLink::decode<KeyRequest>);
    Set(MessageType::KeyReply, &PeerLink::decode<KeyReply>);
    Set(MessageType::SyncRequest,
        &PeerLink::decodeControl<SyncRequest, &PeerHandler::onSyncRequest>);
    Set(MessageType::SyncReply,
        &PeerLink::decodeControl<SyncReply, &PeerHandler::onSyncReply>);
    Set(MessageType::HostExchange,
        &PeerLink::decodeControl<HostExchange, &PeerHandler::onHostExchange>);
    Set(MessageType::HostStateNotice,
        &PeerLink::decodeControl<HostStateNotice,
                                 &PeerHandler::onHostStateNotice>);
    return Rows;
  }();
  return Table;
}

template <class Message> Result<void> PeerLink::decode(std::string_view Body) {
  BOOST_OUTCOME_TRY(auto Value, decodeBody<Message>(Body));
  return receive(std::move(Value));
}

template <class Message,
          void (PeerHandler::*Function)(const PeerConnectionPtr &, Message)>
Result<void> PeerLink::decodeControl(std::string_view Body) {
  BOOST_OUTCOME_TRY(auto Value, decodeBody<Message>(Body));
  Handler_.onControlBytes(MessageTypeOf<Message>::Value_, Body.size() + 5);
  (Handler_.*Function)(shared_from_this(), std::move(Value));
  return success();
}

Result<void> PeerLink::dispatchFrame(std::uint8_t Type, std::string_view Body) {
  FrameReceiver Receiver = receivers()[Type];
  if (!Receiver)
    return marigold::fail(ErrorCode::MessageMalformed,
                          "unsupported frame type " + std::to_string(Type));
  bool IsHello = Type == static_cast<std::uint8_t>(MessageType::Hello);
  if (IsHello == Open_)
    return unexpected(std::string(messageName(Type)));
  return (this->*Receiver)(Body);
}

Result<void> PeerLink::receive(Hello Value) {
  if (Value.Protocol_ != PeerProtocolVersion || Value.Mesh_ != Options_.Mesh_)
    return marigold::fail(ErrorCode::ProtocolVersion,
                          "peer has protocol " +
                              std::to_string(Value.Protocol_) + ", mesh hash " +
                              std::to_string(Value.Mesh_));
  if (Expected_ && Value.Sender_.Id_ != *Expected_)
    return marigold::fail(ErrorCode::ProtocolVersion,
                          "peer identity does not match the expected host");
  Peer_ = std::move(Value.Sender_);
  Open_ = true;
  if (Options_.Metrics_)
    Options_.Metrics_->add(Metric::PeerConnections, 1);
  armTimer(Options_.Limits_.Idle_ / 2);
  Handler_.onOpen(shared_from_this());
  if (OnReady_)
    std::exchange(OnReady_, nullptr)(PeerConnectionPtr(shared_from_this()));
  return success();
}

// Streams opened by this side.

std::uint32_t PeerLink::call(CallStart Start,
                             std::shared_ptr<const std::string> Body,
                             StreamCallback Done) {
  return submitStream([&](std::uint32_t Stream) {
    Start.Stream_ = Stream;
    Start.BodySize_ = Body ? Body->size() : 0;
    BodyDeadlines Deadlines = deadlinesOf(Start);
    return [Start = std::move(Start), Body = std::move(Body),
            Done = std::move(Done), Deadlines](PeerLink &Link) mutable {
      std::uint32_t Number = Start.Stream_;
      LocalStream Entry;
      Entry.Done_ = std::move(Done);
      Entry.Deadlines_ = Deadlines;
      Link.openStream(
          Number, std::move(Entry),
          makeFrame(MessageType::CallStart, encodeBody(Start)), std::move(Body),
          makeFrame(MessageType::CallEnd, encodeBody(CallEnd{Number})),
          Deadlines);
    };
  });
}

std::uint32_t PeerLink::requestKey(std::string Service, StreamCallback Done) {
  return submitStream([&](std::uint32_t Stream) {
    return [Stream, Service = std::move(Service),
            Done = std::move(Done)](PeerLink &Link) mutable {
      LocalStream Entry;
      Entry.Done_ = std::move(Done);
      Entry.Key_ = true;
      Link.openStream(Stream, std::move(Entry),
                      makeFrame(MessageType::KeyRequest,
                                encodeBody(KeyRequest{Stream, Service})),
                      nullptr, {}, {});
    };
  });
}

void PeerLink::openStream(std::uint32_t Stream, LocalStream Entry,
                          std::string Head,
                          std::shared_ptr<const std::string> Body,
                          std::string Tail, const BodyDeadlines &Deadlines) {
  LastLocalStream_ = Stream;
  const PeerLimits &Limits = Options_.Limits_;
  std::size_t Size = Body ? Body->size() : 0;
  std::optional<Failure> Cause;
  if (!isOpen())
    Cause = marigold::fail(ErrorCode::ConnectionFailed, "closed");
  else if (LocalStreams_.size() >= Limits.Streams_)
    Cause = marigold::fail(ErrorCode::QueueFull, "stream limit reached");
  else if (Size != 0 && QueuedBodyBytes_ + Size > Limits.BodyQueue_)
    Cause = marigold::fail(ErrorCode::QueueFull, "outgoing body queue is full");
  else if (Head.size() > Limits.Frame_)
    Cause =
        marigold::fail(ErrorCode::HeaderTooLarge,
                       "first frame of the request exceeds the frame limit");
  if (Cause) {
    Entry.Done_(StreamLost{false, std::move(*Cause)});
    return;
  }
  LocalStreams_.emplace(Stream, std::move(Entry));
  updateStreamCount();
  Outgoing Data;
  Data.Head_ = std::move(Head);
  Data.Body_ = std::move(Body);
  Data.Tail_ = std::move(Tail);
  Data.DataType_ = MessageType::CallData;
  Data.Deadlines_ = Deadlines;
  sendStream(Stream, std::move(Data));
}

void PeerLink::cancel(std::uint32_t Stream) {
  submit([Stream](PeerLink &Link) {
    auto Position = Link.LocalStreams_.find(Stream);
    if (Position == Link.LocalStreams_.end())
      return;
    bool Started = Position->second.Started_;
    Link.LocalStreams_.erase(Position);
    Link.dropOutgoing(Stream);
    Link.updateStreamCount();
    if (Started)
      Link.sendControl(
          makeFrame(MessageType::CallCancel, encodeBody(CallCancel{Stream})));
  });
}

Result<PeerLink::LocalStream *>
PeerLink::findLocalStream(std::uint32_t Stream) {
  auto Position = LocalStreams_.find(Stream);
  if (Position != LocalStreams_.end())
    return &Position->second;
  // The stream was cancelled or has ended while frames for it were in transit.
  if (isLocal(Stream) && Stream <= LastLocalStream_)
    return nullptr;
  return unexpected("unknown stream " + std::to_string(Stream));
}

void PeerLink::finishLocalStream(std::uint32_t Stream, StreamResult Value) {
  auto Position = LocalStreams_.find(Stream);
  StreamCallback Done = std::move(Position->second.Done_);
  LocalStreams_.erase(Position);
  dropOutgoing(Stream);
  updateStreamCount();
  Done(std::move(Value));
}

Result<void> PeerLink::receive(ReplyStart Value) {
  BOOST_OUTCOME_TRY(LocalStream * Entry, findLocalStream(Value.Stream_));
  if (!Entry)
    return success();
  if (Entry->Start_ || Entry->Key_)
    return unexpected("ReplyStart");
  std::uint32_t Stream = Value.Stream_;
  Result<MemoryReservationPtr> Memory = MemoryReservationPtr();
  if (Value.BodySize_ != 0 && Value.BodySize_ <= Options_.Limits_.Reply_)
    Memory = reserveMemory(Options_.Memory_, MemoryUse::Answers,
                           Value.BodySize_, std::chrono::steady_clock::now());
  if (Value.BodySize_ > Options_.Limits_.Reply_ || !Memory) {
    sendControl(
        makeFrame(MessageType::CallCancel, encodeBody(CallCancel{Stream})));
    finishLocalStream(Stream, refusal(Stream, ErrorCode::AnswerTooLarge));
    return success();
  }
  Entry->Answer_.Memory_ = std::move(Memory.value());
  if (admitsBody(Value.BodySize_))
    Entry->Answer_.Admitted_ = Options_.Ingress_->addAnswer(
        Value.BodySize_, Entry->Deadlines_, granter(Stream));
  Entry->Start_ = std::move(Value);
  return success();
}

Result<void> PeerLink::receive(ReplyData Value) {
  BOOST_OUTCOME_TRY(LocalStream * Entry, findLocalStream(Value.Stream_));
  if (!Entry)
    return success();
  if (!Entry->Start_)
    return unexpected("ReplyData");
  return receiveData(Value.Stream_, Entry->Answer_, std::move(Value.Data_),
                     Entry->Start_->BodySize_);
}

Result<void> PeerLink::receive(ReplyEnd Value) {
  BOOST_OUTCOME_TRY(LocalStream * Entry, findLocalStream(Value.Stream_));
  if (!Entry)
    return success();
  if (!Entry->Start_ || Entry->Answer_.Data_.size() != Entry->Start_->BodySize_)
    return unexpected("ReplyEnd");
  PeerReply Reply{std::move(*Entry->Start_), std::move(Entry->Answer_.Data_),
                  Value, std::move(Entry->Answer_.Memory_)};
  std::uint32_t Stream = Reply.End_.Stream_;
  finishLocalStream(Stream, std::move(Reply));
  return success();
}

Result<void> PeerLink::receive(CallRefused Value) {
  if (!errorFromNumber(Value.Code_))
    return marigold::fail(ErrorCode::MessageMalformed,
                          "unknown error code " + std::to_string(Value.Code_));
  BOOST_OUTCOME_TRY(LocalStream * Entry, findLocalStream(Value.Stream_));
  if (Entry)
    finishLocalStream(Value.Stream_, Value);
  return success();
}

Result<void> PeerLink::receive(KeyReply Value) {
  BOOST_OUTCOME_TRY(LocalStream * Entry, findLocalStream(Value.Stream_));
  if (!Entry)
    return success();
  if (!Entry->Key_)
    return unexpected("KeyReply");
  std::uint32_t Stream = Value.Stream_;
  finishLocalStream(Stream, std::move(Value));
  return success();
}

// Streams opened by the peer.

Result<bool> PeerLink::acceptStreamNumber(std::uint32_t Stream) {
  if (isLocal(Stream) || RemoteStreams_.contains(Stream) ||
      Outgoing_.contains(Stream))
    return unexpected("invalid number of new stream " + std::to_string(Stream));
  if (Stream > LastRemoteStream_) {
    LastRemoteStream_ = Stream;
    return true;
  }
  if (Options_.Metrics_)
    Options_.Metrics_->add(Metric::MessagesMalformedTotal);
  return false;
}

void PeerLink::refuseUnread(const CallStart &Start, ErrorCode Code,
                            Duration RetryAfter) {
  if (Options_.Metrics_)
    Options_.Metrics_->add(Metric::RefusedTotal, 1, errorText(Code));
  // An earlier request with the same key may have run, and the key is not
  // released here, so the outcome must not be reported as not-run.
  if (!Start.Key_.empty())
    Code = ErrorCode::KeyOwnerUnreachable;
  CallRefused Refusal = refusal(Start.Stream_, Code);
  Refusal.Load_ = Handler_.load();
  Refusal.RetryAfter_ =
      std::chrono::ceil<std::chrono::milliseconds>(RetryAfter);
  refuseOnStrand(Refusal);
}

Result<void> PeerLink::receive(CallStart Value) {
  std::uint32_t Stream = Value.Stream_;
  BOOST_OUTCOME_TRY(bool Accepted, acceptStreamNumber(Stream));
  const PeerLimits &Limits = Options_.Limits_;
  if (!Accepted || RemoteStreams_.size() >= Limits.Streams_ ||
      (Value.BodySize_ != 0 &&
       ReceivingBytes_ + Value.BodySize_ > Limits.Reception_)) {
    refuseUnread(Value, ErrorCode::QueueFull);
    return success();
  }
  if (auto Refusal = Handler_.onCallStart(shared_from_this(), Value)) {
    Refusal->Stream_ = Stream;
    refuseOnStrand(*Refusal);
    return success();
  }
  RemoteStream Entry;
  if (Value.BodySize_ != 0) {
    auto Memory =
        reserveMemory(Options_.Memory_, MemoryUse::Calls, Value.BodySize_,
                      std::chrono::steady_clock::now());
    if (!Memory) {
      refuseUnread(Value, ErrorCode::NodeMemory);
      return success();
    }
    Entry.Body_.Memory_ = std::move(Memory.value());
  }
  Entry.Deadlines_ = deadlinesOf(Value);
  if (admitsBody(Value.BodySize_)) {
    Entry.Body_.Admitted_ = Options_.Ingress_->addCall(
        Value.BodySize_, Entry.Deadlines_, granter(Stream));
    if (!Entry.Body_.Admitted_) {
      refuseUnread(Value, ErrorCode::HopelessWait,
                   Options_.Ingress_->backlogTime());
      return success();
    }
  }
  ReceivingBytes_ += Value.BodySize_;
  Entry.StartedAt_ = std::chrono::steady_clock::now();
  Entry.Start_ = std::move(Value);
  RemoteStreams_.emplace(Stream, std::move(Entry));
  updateStreamCount();
  return success();
}

Result<void> PeerLink::receive(CallData Value) {
  auto Position = RemoteStreams_.find(Value.Stream_);
  if (Position == RemoteStreams_.end()) {
    // The stream was refused or has ended while data was in transit.
    if (!isLocal(Value.Stream_) && Value.Stream_ <= LastRemoteStream_)
      return success();
    return unexpected("CallData");
  }
  RemoteStream &Entry = Position->second;
  if (Entry.Complete_)
    return unexpected("CallData");
  return receiveData(Value.Stream_, Entry.Body_, std::move(Value.Data_),
                     Entry.Start_.BodySize_);
}

Result<void> PeerLink::receive(CallEnd Value) {
  auto Position = RemoteStreams_.find(Value.Stream_);
  if (Position == RemoteStreams_.end()) {
    if (!isLocal(Value.Stream_) && Value.Stream_ <= LastRemoteStream_)
      return success();
    return unexpected("CallEnd");
  }
  RemoteStream &Entry = Position->second;
  if (Entry.Complete_ || Entry.Body_.Data_.size() != Entry.Start_.BodySize_)
    return unexpected("CallEnd before the end of the body or repeated");
  Entry.Complete_ = true;
  ReceivingBytes_ -= Entry.Start_.BodySize_;
  // The times left are those of the first frame. The body may have taken long.
  auto Taken = std::chrono::duration_cast<std::chrono::microseconds>(
      std::chrono::steady_clock::now() - Entry.StartedAt_);
  Entry.Start_.Remaining_ = std::max(Entry.Start_.Remaining_ - Taken,
                                     std::chrono::microseconds::zero());
  Entry.Start_.Objective_ -= Taken;
  Entry.Body_.Admitted_.reset();
  Handler_.onCall(
      shared_from_this(), std::move(Entry.Start_),
      shareBody(std::move(Entry.Body_.Data_), std::move(Entry.Body_.Memory_)));
  return success();
}

Result<void> PeerLink::receive(CallCancel Value) {
  if (isLocal(Value.Stream_) || Value.Stream_ > LastRemoteStream_)
    return unexpected("CallCancel");
  auto Position = RemoteStreams_.find(Value.Stream_);
  if (Position == RemoteStreams_.end()) {
    // The call has ended, and its reply may be on the way. The peer grants no
    // more credit for it, so the rest of its body would stay here.
    if (Options_.Metrics_ && Outgoing_.contains(Value.Stream_))
      Options_.Metrics_->add(Metric::RepliesCancelledTotal);
    dropOutgoing(Value.Stream_);
    updateStreamCount();
    return success();
  }
  bool Complete = Position->second.Complete_;
  if (!Complete)
    ReceivingBytes_ -= Position->second.Start_.BodySize_;
  RemoteStreams_.erase(Position);
  updateStreamCount();
  if (Complete)
    Handler_.onCallCancel(shared_from_this(), Value.Stream_);
  return success();
}

Result<void> PeerLink::receive(KeyRequest Value) {
  BOOST_OUTCOME_TRY(bool Accepted, acceptStreamNumber(Value.Stream_));
  if (!Accepted) {
    refuseOnStrand(refusal(Value.Stream_, ErrorCode::QueueFull));
    return success();
  }
  RemoteStream Entry;
  Entry.Complete_ = true;
  RemoteStreams_.emplace(Value.Stream_, std::move(Entry));
  updateStreamCount();
  Handler_.onKeyRequest(shared_from_this(), Value);
  return success();
}

void PeerLink::reply(std::uint32_t Stream, ReplyStart Start,
                     std::shared_ptr<const std::string> Body, ReplyEnd End) {
  Start.Stream_ = End.Stream_ = Stream;
  Start.BodySize_ = Body ? Body->size() : 0;
  submit([Start = std::move(Start), Body = std::move(Body),
          End](PeerLink &Link) mutable {
    auto Position = Link.RemoteStreams_.find(End.Stream_);
    if (Position == Link.RemoteStreams_.end())
      return;
    Outgoing Data;
    Data.Head_ = makeFrame(MessageType::ReplyStart, encodeBody(Start));
    const PeerLimits &Limits = Link.Options_.Limits_;
    if (Data.Head_.size() > Limits.Frame_ ||
        Link.QueuedBodyBytes_ + Start.BodySize_ > Limits.BodyQueue_) {
      Link.refuseOnStrand(refusal(End.Stream_, ErrorCode::AnswerTooLarge));
      return;
    }
    Data.Deadlines_ = Position->second.Deadlines_;
    // The node of the peer sends the whole body once more, so the time for that
    // transfer is subtracted from the objective.
    if (Link.Options_.Pacer_)
      Data.Deadlines_.Objective_ -=
          Link.Options_.Pacer_->unloadedTransferTime(Start.BodySize_);
    Link.RemoteStreams_.erase(Position);
    Link.updateStreamCount();
    if (Start.BodySize_ != 0)
      Data.Body_ = std::move(Body);
    Data.Tail_ = makeFrame(MessageType::ReplyEnd, encodeBody(End));
    Data.DataType_ = MessageType::ReplyData;
    Link.sendStream(End.Stream_, std::move(Data));
  });
}

void PeerLink::refuse(const CallRefused &Refusal) {
  submit([Refusal](PeerLink &Link) {
    if (Link.RemoteStreams_.contains(Refusal.Stream_))
      Link.refuseOnStrand(Refusal);
  });
}

void PeerLink::refuseOnStrand(const CallRefused &Refusal) {
  RemoteStreams_.erase(Refusal.Stream_);
  updateStreamCount();
  sendControl(makeFrame(MessageType::CallRefused, encodeBody(Refusal)));
}

void PeerLink::sendKey(const KeyReply &Reply) {
  submit([Reply](PeerLink &Link) {
    if (Link.RemoteStreams_.erase(Reply.Stream_) == 0)
      return;
    Link.updateStreamCount();
    Link.sendControl(makeFrame(MessageType::KeyReply, encodeBody(Reply)));
  });
}

// Flow control and messages that belong to no stream.

Result<void> PeerLink::receiveData(std::uint32_t Stream, IncomingBody &Into,
                                   std::string Data, std::uint64_t BodySize) {
  std::size_t Size = Data.size();
  if (Size == 0 || Into.Data_.size() + Size > BodySize)
    return unexpected("data beyond the body or without content");
  if (!Into.Admitted_ &&
      Into.UncreditedBytes_ + Size > Options_.Limits_.Window_)
    return unexpected("data beyond the window");
  appendData(Into.Data_, std::move(Data), BodySize);
  if (Into.Admitted_)
    Into.Admitted_->onReceived(Size);
  else
    grantWindow(Stream, Into, Size);
  return success();
}

void PeerLink::grantWindow(std::uint32_t Stream, IncomingBody &Into,
                           std::size_t Size) {
  // Credit is granted in units of half a window: one WindowUpdate per eight
  // data frames, and the sender does not stall while this side keeps up.
  Into.UncreditedBytes_ += Size;
  if (Into.UncreditedBytes_ < Options_.Limits_.Window_ / 2)
    return;
  auto Credit =
      static_cast<std::uint32_t>(std::exchange(Into.UncreditedBytes_, 0));
  sendControl(makeFrame(MessageType::WindowUpdate,
                        encodeBody(WindowUpdate{Stream, Credit})));
}

bool PeerLink::admitsBody(std::uint64_t Size) const {
  return Options_.Ingress_ && PeerWaits_ && Size > BulkThreshold;
}

IngressPacer::Granted PeerLink::granter(std::uint32_t Stream) {
  return [Weak = weak_from_this(), Stream](std::size_t Bytes) {
    auto Self = Weak.lock();
    if (!Self)
      return;
    // Posted even on the strand of the connection: the stream may not be
    // stored yet, or this may run while it is erased.
    asio::post(Self->Socket_.get_executor(), [Self, Stream, Bytes] {
      if (!Self->LocalStreams_.contains(Stream) &&
          !Self->RemoteStreams_.contains(Stream))
        return;
      Self->sendControl(makeFrame(
          MessageType::WindowUpdate,
          encodeBody(WindowUpdate{Stream, static_cast<std::uint32_t>(Bytes)})));
      Self->flush();
    });
  };
}

Result<void> PeerLink::receive(WindowUpdate Value) {
  if (Value.Credit_ == 0)
    return unexpected("WindowUpdate without credit");
  if (Value.Stream_ == AdmissionStream) {
    onAdmission(Value.Credit_);
    return success();
  }
  auto Position = Outgoing_.find(Value.Stream_);
  if (Position == Outgoing_.end())
    return success();
  Outgoing &Entry = Position->second;
  Entry.Credit_ += Value.Credit_;
  if (Entry.Credit_ > Options_.Limits_.Window_)
    return unexpected("WindowUpdate beyond the window");
  if (!Entry.Queued_) {
    Entry.Queued_ = true;
    readyQueue(Position->second).push_back(Value.Stream_);
  }
  return success();
}

std::size_t PeerLink::sendEncoded(MessageType Type, std::string Body) {
  std::size_t Limit = Type == MessageType::SyncReply
                          ? Options_.Limits_.SnapshotFrame_
                          : Options_.Limits_.Frame_;
  if (!isOpen() || Body.size() > Limit)
    return 0;
  std::string Frame = makeFrame(Type, Body);
  std::size_t Size = Frame.size();
  submit([Frame = std::move(Frame)](PeerLink &Link) mutable {
    Link.sendControl(std::move(Frame));
  });
  return Size;
}

void PeerLink::updateStreamCount() {
  StreamCount_ =
      LocalStreams_.size() + RemoteStreams_.size() + Outgoing_.size();
  // Posted, because the callers still use the connection.
  if (Retired_ && StreamCount_ == 0 && !Closed_)
    asio::post(Socket_.get_executor(),
               [Self = shared_from_this()] { Self->closeIfUnused(); });
}

} // namespace marigold::transport
