#include "Mesh/InMemoryMesh.h"

#include "Support/Addresses.h"
#include "Support/Archive.h"

#include <algorithm>

namespace marigold::testing {

using namespace std::chrono_literals;

namespace {

constexpr Duration TickInterval = 50ms;
constexpr std::uint32_t FirstIpv4 = 0x0a000001;
constexpr std::uint64_t FirstIncarnation = 1'700'000'000'000;

} // namespace

config::ServiceModel makeModel(std::uint32_t Epoch, std::uint32_t Number) {
  config::ServiceModel Model;
  Model.Epoch_ = Epoch;
  Model.Mesh_ = "test";
  for (const char *Name : {"crew-desk", "guide-shelf", "leak-board"})
    Model.Services_.push_back(config::defaultService(Name));
  Model.Services_[0].Slots_ = 1 + Number % 1000;
  Model.Services_[2].DependsOn_ = {"crew-desk"};
  return Model;
}

InMemoryMesh::InMemoryMesh(std::size_t Nodes, std::uint64_t Seed,
                           distribution::SourceMode Mode)
    : Rng_(Seed), Mode_(Mode), Now_(std::chrono::hours(1)), Slots_(Nodes) {
  for (std::size_t Node = 0; Node < Nodes; ++Node)
    start(Node);
}

void InMemoryMesh::run(Duration Length) {
  TimePoint End = Now_ + Length;
  while (!Events_.empty() && Events_.begin()->first.first <= End) {
    auto Next = Events_.extract(Events_.begin());
    Now_ = Next.key().first;
    Next.mapped()();
  }
  Now_ = End;
}

bool InMemoryMesh::converge(const ConfigVersion &Version, Duration Limit) {
  auto Converged = [&] {
    return std::all_of(Slots_.begin(), Slots_.end(), [&](const Slot &Each) {
      return !Each.Node_ || Each.Node_->Store_.version() == Version;
    });
  };
  for (TimePoint End = Now_ + Limit; Now_ < End && !Converged();)
    run(TickInterval);
  return Converged();
}

ConfigVersion InMemoryMesh::publish(std::uint32_t Epoch) {
  if (Epoch != 0)
    Epoch_ = Epoch;
  ConfigVersion Version{Epoch_, Index_ + 1};
  changeSource(
      config::buildSnapshot(makeModel(Epoch_, ++TextNumber_), Version));
  Published_.insert({Version, Text_->digest()});
  return Version;
}

void InMemoryMesh::publishInvalid() { changeSource(nullptr); }

void InMemoryMesh::loseHistory() {
  Index_ = 0;
  publish();
}

void InMemoryMesh::changeSource(config::SnapshotPointer Text) {
  ++Index_;
  Text_ = std::move(Text);
  std::map<std::uint64_t, Watch> Waiting = std::move(Watches_);
  Watches_.clear();
  for (const auto &[Number, Each] : Waiting)
    answerWatch(Each);
}

void InMemoryMesh::crash(std::size_t Node) {
  Slots_[Node].Node_.reset();
  Deaths_.erase(idOf(Node));
}

void InMemoryMesh::start(std::size_t Node) {
  Slot &Started = Slots_[Node];
  ++Started.StartCount_;
  Started.LastVersion_ = {};
  Started.PausedUntil_ = {};
  auto Uptime = std::chrono::duration_cast<std::chrono::milliseconds>(
      Now_.time_since_epoch());
  HostRecord Own;
  Own.Id_ = idOf(Node);
  Own.Incarnation_ =
      FirstIncarnation + static_cast<std::uint64_t>(Uptime.count());
  Own.Service_ = Node % 2 == 0 ? "crew-desk" : "leak-board";
  Own.FailureDomain_ = "domain-" + std::to_string(Node % 3);
  Own.Region_ = "region";
  std::vector<HostId> Seeds;
  for (std::size_t Seed = 0; Seed < std::min<std::size_t>(4, size()); ++Seed)
    if (Seed != Node)
      Seeds.push_back(idOf(Seed));
  MeshNodeHooks Hooks;
  Hooks.SendDatagram_ = [this, Node](const HostId &To, std::string Bytes) {
    sendDatagram(Node, To, std::move(Bytes));
  };
  Hooks.SendSync_ = [this, Node](const HostId &To, const SyncRequest &Request) {
    sendSync(Node, To, Request);
  };
  Hooks.SendExchange_ = [this, Node](const HostId &To, HostExchange Message) {
    std::size_t Peer = indexOf(To);
    if (reaches(Node, Peer))
      scheduleAtNode(Peer, delay(), [this, Message](MeshNode &Receiver) {
        Receiver.onExchange(Message, Now_);
      });
  };
  Hooks.CallSource_ = [this, Node](const distribution::SourceAction &Action) {
    callSource(Node, Action);
  };
  Hooks.DeathDeclared_ = [this](const HostRecord &Record) {
    std::size_t Of = indexOf(Record.Id_);
    if (Of < size() && isUp(Of))
      ++FalseDeaths_;
    else
      Deaths_.try_emplace(Record.Id_, Now_);
  };
  Started.Node_ = std::make_unique<MeshNode>(
      Own, std::move(Seeds), Mode_, std::move(Hooks), Rng_.next(), Now_);
  scheduleTick(Node);
}

void InMemoryMesh::pause(std::size_t Node, Duration Length) {
  Slots_[Node].PausedUntil_ = Now_ + Length;
}

HostId InMemoryMesh::idOf(std::size_t Node) const {
  return {static_cast<std::uint32_t>(FirstIpv4 + Node), 7400};
}

std::size_t InMemoryMesh::indexOf(const HostId &Id) const {
  std::size_t Node = Id.Ipv4_ - FirstIpv4;
  return Id.Port_ == 7400 && Node < size() ? Node : size();
}

ConfigVersion InMemoryMesh::highest() const {
  ConfigVersion Highest;
  for (const Slot &Each : Slots_)
    if (Each.Node_)
      Highest = std::max(Highest, Each.Node_->Store_.version());
  return Highest;
}

std::size_t InMemoryMesh::nodesSeeing(std::size_t Of, HostState State) const {
  return static_cast<std::size_t>(
      std::count_if(Slots_.begin(), Slots_.end(), [&](const Slot &Each) {
        const membership::HostEntry *Entry =
            Each.Node_ ? Each.Node_->Table_.find(idOf(Of)) : nullptr;
        return Entry && Entry->Record_.State_ == State;
      }));
}

bool InMemoryMesh::hostTablesAgree() const {
  auto Running = static_cast<std::size_t>(
      std::count_if(Slots_.begin(), Slots_.end(),
                    [](const Slot &Each) { return Each.Node_ != nullptr; }));
  for (std::size_t Of = 0; Of < size(); ++Of)
    if (isUp(Of) && nodesSeeing(Of, HostState::Ready) != Running)
      return false;
  return std::all_of(Slots_.begin(), Slots_.end(), [&](const Slot &Each) {
    return !Each.Node_ || Each.Node_->Table_.liveCount() == Running;
  });
}

void InMemoryMesh::schedule(Duration Delay, std::function<void()> Event) {
  Events_.emplace(std::pair(Now_ + Delay, NextEvent_++), std::move(Event));
}

void InMemoryMesh::scheduleAtNode(std::size_t Node, Duration Delay,
                                  std::function<void(MeshNode &)> Event) {
  std::uint64_t Starts = Slots_[Node].StartCount_;
  schedule(Delay, [this, Node, Starts, Event = std::move(Event)] {
    Slot &Receiver = Slots_[Node];
    if (!Receiver.Node_ || Receiver.StartCount_ != Starts)
      return;
    if (Now_ < Receiver.PausedUntil_) {
      scheduleAtNode(Node, Receiver.PausedUntil_ - Now_, Event);
      return;
    }
    Event(*Receiver.Node_);
    checkInvariants(Node);
  });
}

void InMemoryMesh::scheduleTick(std::size_t Node) {
  scheduleAtNode(Node, Duration(Rng_.upTo(TickInterval)) + TickInterval / 2,
                 [this, Node](MeshNode &Ticked) {
                   Ticked.tick(Now_);
                   scheduleTick(Node);
                 });
}

void InMemoryMesh::deliver(std::size_t Node, std::string Bytes) {
  scheduleAtNode(Node, delay(),
                 [this, Bytes = std::move(Bytes)](MeshNode &Receiver) {
                   Receiver.onDatagram(Bytes, Now_);
                 });
}

void InMemoryMesh::sendDatagram(std::size_t From, const HostId &To,
                                std::string Bytes) {
  ++Datagrams_;
  DatagramBytes_ += Bytes.size();
  if (Bytes.size() > membership::MaxDatagramBytes)
    Violations_.push_back("datagram of " + std::to_string(Bytes.size()));
  std::size_t Peer = indexOf(To);
  if (!reaches(From, Peer) || Rng_.chance(Faults_.Loss_))
    return;
  if (Rng_.chance(Faults_.Duplicate_))
    deliver(Peer, Bytes);
  if (Rng_.chance(Faults_.Corrupt_))
    corrupt(Bytes);
  deliver(Peer, std::move(Bytes));
}

void InMemoryMesh::sendSync(std::size_t From, const HostId &To,
                            const SyncRequest &Request) {
  std::size_t Peer = indexOf(To);
  auto Answer = [this, From, To, Request](const Result<SyncReply> &Reply) {
    scheduleAtNode(From, delay(),
                   [this, To, Request, Reply](MeshNode &Requester) {
                     Requester.onSyncReply(To, Request, Reply, Now_);
                   });
  };
  if (!reaches(From, Peer) || !isUp(Peer) || Rng_.chance(Faults_.Loss_)) {
    Answer(fail(ErrorCode::ConnectionFailed));
    return;
  }
  scheduleAtNode(Peer, delay(), [this, Answer, Request](MeshNode &Responder) {
    std::string Bytes = encodeBody(Responder.onSyncRequest(Request));
    if (Rng_.chance(Faults_.Corrupt_))
      corrupt(Bytes);
    Answer(decodeBody<SyncReply>(Bytes));
  });
}

void InMemoryMesh::callSource(std::size_t From,
                              const distribution::SourceAction &Action) {
  ++SourceCalls_;
  bool IsText = std::holds_alternative<distribution::FetchText>(Action);
  TextFetches_ += IsText;
  const auto *Keys = std::get_if<distribution::WatchKeys>(&Action);
  distribution::SourceCall Call = IsText ? distribution::SourceCall::Text
                                  : Keys ? distribution::SourceCall::Keys
                                         : distribution::SourceCall::Hosts;
  if (SourceDown_ || Index_ == 0) {
    scheduleAtNode(From, 5ms, [this, Call](MeshNode &Caller) {
      Caller.onSourceFailure(Call, Now_);
    });
  } else if (IsText) {
    scheduleAtNode(From, 5ms,
                   [this, Index = Index_, Text = Text_](MeshNode &Caller) {
                     Caller.onText(Index, Text, Now_);
                   });
  } else if (!Keys) {
    scheduleAtNode(From, 5ms,
                   [this](MeshNode &Caller) { Caller.Source_.onHosts(Now_); });
  } else {
    Watch Waiting{From, Keys->Index_, Slots_[From].StartCount_};
    if (Keys->Index_ != Index_) {
      answerWatch(Waiting);
      return;
    }
    std::uint64_t Number = NextWatch_++;
    Watches_[Number] = Waiting;
    schedule(Keys->Wait_, [this, Number] {
      auto Found = Watches_.find(Number);
      if (Found == Watches_.end())
        return;
      answerWatch(Found->second);
      Watches_.erase(Found);
    });
  }
}

void InMemoryMesh::answerWatch(const Watch &Waiting) {
  if (Slots_[Waiting.Node_].StartCount_ != Waiting.StartCount_)
    return;
  scheduleAtNode(Waiting.Node_, 5ms, [this, Index = Index_](MeshNode &Caller) {
    if (SourceDown_)
      Caller.onSourceFailure(distribution::SourceCall::Keys, Now_);
    else
      Caller.onKeys(Index, Now_);
  });
}

void InMemoryMesh::checkInvariants(std::size_t Node) {
  Slot &Checked = Slots_[Node];
  const distribution::VersionStore &Store = Checked.Node_->Store_;
  ConfigVersion Version = Store.version();
  if (Version == Checked.LastVersion_)
    return;
  std::string Where = "node " + std::to_string(Node) + ": ";
  if (Version < Checked.LastVersion_)
    Violations_.push_back(Where + "went back to " + toText(Version));
  if (!Published_.contains({Version, Store.digest()}))
    Violations_.push_back(Where + "holds unpublished " + toText(Version));
  if (!config::validateSnapshot(*Store.current()))
    Violations_.push_back(Where + "holds invalid " + toText(Version));
  Checked.LastVersion_ = Version;
}

bool InMemoryMesh::reaches(std::size_t From, std::size_t To) const {
  return To < size() && Slots_[From].Group_ == Slots_[To].Group_;
}

Duration InMemoryMesh::delay() {
  return Faults_.MinDelay_ + Rng_.upTo(Faults_.MaxDelay_ - Faults_.MinDelay_);
}

void InMemoryMesh::corrupt(std::string &Bytes) {
  if (Bytes.empty())
    return;
  for (std::uint64_t Count = 1 + Rng_.below(3); Count > 0; --Count)
    Bytes[Rng_.below(Bytes.size())] = static_cast<char>(Rng_.next());
}

} // namespace marigold::testing
