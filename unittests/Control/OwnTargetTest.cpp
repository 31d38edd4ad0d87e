#include "Node/ControlCore.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <memory>

namespace marigold::node {
namespace {

using std::chrono::milliseconds;

constexpr HostId WorkerHost{1, 7400};
constexpr HostId OtherHost{2, 7400};

HostRecord nodeRecord(const HostId &Id, const std::string &Service) {
  HostRecord Record;
  Record.Id_ = Id;
  Record.Incarnation_ = 100;
  Record.State_ = HostState::Ready;
  Record.Service_ = Service;
  Record.FailureDomain_ = "za";
  Record.Region_ = "r";
  return Record;
}

/// A node beside the target "worker" of service "beta", and a node on another
/// host that knows the record of the former.
struct OwnTargetFixture {
  OwnTargetFixture() {
    Own_->onHello(nodeRecord(OtherHost, "alpha"), Now_, Effects_);
    Other_->onHello(nodeRecord(WorkerHost, "beta"), Now_, Effects_);
  }

  static ListedTarget entry(const std::string &Instance,
                            const std::string &Service,
                            std::int64_t StartedAt) {
    ListedTarget Target;
    Target.Instance_ = Instance;
    Target.Node_ = WorkerHost;
    Target.Service_ = Service;
    Target.FailureDomain_ = "za";
    Target.Slots_ = 9;
    Target.StartedAt_ = milliseconds(StartedAt);
    Target.Sequence_ = 1;
    return Target;
  }

  void list(std::vector<ListedTarget> Targets) {
    membership::HostList List;
    List.ReadAt_ = Now_;
    List.Targets_ = std::move(Targets);
    List.Revision_ = ++Revision_;
    List.ContentRevision_ = Revision_;
    for (ControlCore *Core : {Own_.get(), Other_.get()})
      Core->onSourceHosts(List, Now_, Effects_);
  }

  void answer(const std::string &Instance) {
    Own_->setAnsweringInstance(Instance, Effects_);
  }

  /// Number of hosts to which the other node may send requests of a service.
  std::size_t usable(std::string_view Service) const {
    return static_cast<std::size_t>(std::ranges::count(
        Other_->targetsOf(Service), HostState::Ready, &HostRecord::State_));
  }

  static NodeSettings settings() {
    NodeSettings Values;
    Values.FailureDomain_ = "za";
    Values.Region_ = "r";
    return Values;
  }

  TimePoint Now_{std::chrono::seconds(1000)};
  std::uint64_t Revision_ = 0;
  ControlEffects Effects_;
  NodeSettings Settings_ = settings();
  ListedTarget Worker_ = entry("worker", "beta", 1000);
  std::unique_ptr<ControlCore> Own_ = std::make_unique<ControlCore>(
      Settings_, nodeRecord(WorkerHost, "beta"), 1, Now_);
  std::unique_ptr<ControlCore> Other_ = std::make_unique<ControlCore>(
      Settings_, nodeRecord(OtherHost, "alpha"), 2, Now_);
};

/// An entry of another writer for the worker's host.
struct Impostor {
  const char *Name_;
  std::string Service_;
  std::int64_t StartedAt_;
  bool Leaving_;
};

const std::vector<Impostor> Impostors{
    {"unknown service, younger", "host-agent", 2000, false},
    {"unknown service, older", "host-agent", 1, false},
    {"other service, younger", "alpha", 2000, false},
    {"other service, leaving", "alpha", 2000, true},
    {"same service, younger", "beta", 2000, false},
    {"same service, older", "beta", 1, false},
    {"same service, leaving", "beta", 2000, true},
};

} // namespace

// Guards against a target that is out of use because another writer stores an
// entry with its address, whatever that entry says and whenever it comes.
TEST_CASE_FIXTURE(OwnTargetFixture,
                  "entry of another writer does not displace the target") {
  for (const Impostor &Row : Impostors)
    for (std::size_t Count : {1, 750})
      for (bool WorkerFirst : {true, false}) {
        CAPTURE(Row.Name_);
        CAPTURE(Count);
        CAPTURE(WorkerFirst);
        std::vector<ListedTarget> Others;
        for (std::size_t Index = 0; Index < Count; ++Index) {
          Others.push_back(entry("agent-" + std::to_string(Index), Row.Service_,
                                 Row.StartedAt_));
          Others.back().Leaving_ = Row.Leaving_;
        }
        list(WorkerFirst ? std::vector{Worker_} : Others);
        std::vector<ListedTarget> All = Others;
        All.push_back(Worker_);
        list(All);
        CHECK(Own_->ownTarget().Contested_ != 0);
        // Before the target has answered, an entry of its service is used.
        CHECK(Own_->ownTarget().Service_ == "beta");
        answer("worker");
        CHECK(Own_->ownTarget().Instance_ == "worker");
        CHECK(Own_->ownTarget().Service_ == "beta");
        CHECK_FALSE(Own_->ownTarget().Leaving_);
        CHECK_FALSE(refusalBy(Own_->ownTarget(), "beta"));
        CHECK(usable("beta") == 1);
        CHECK(usable("host-agent") == 0);
        CHECK(usable("alpha") == 0);
        list({Worker_});
        CHECK(Own_->ownTarget().Contested_ == 0);
        CHECK(Own_->ownTarget().Instance_ == "worker");
        answer("");
        list({});
      }
}

// Guards against requests to a target that leaves or is gone while an entry of
// another writer says that it is ready.
TEST_CASE_FIXTURE(OwnTargetFixture,
                  "entry of another writer does not keep a target in use") {
  ListedTarget Agent = entry("agent", "beta", 2000);
  list({Worker_, Agent});
  answer("worker");
  Worker_.Leaving_ = true;
  ++Worker_.Sequence_;
  list({Worker_, Agent});
  CHECK(refusalBy(Own_->ownTarget(), "beta") == ErrorCode::Draining);
  list({Agent});
  // The target refuses requests that expect another instance.
  CHECK(Own_->ownTarget().Instance_ == "agent");
}

// Guards against a node that goes on with the entry of a target that ended
// when another one has taken its place.
TEST_CASE_FIXTURE(OwnTargetFixture,
                  "target that replaces another one is taken when it answers") {
  list({Worker_});
  answer("worker");
  list({Worker_, entry("next", "beta", 3000)});
  CHECK(Own_->ownTarget().Instance_ == "worker");
  answer("next");
  CHECK(Own_->ownTarget().Instance_ == "next");
  CHECK(usable("beta") == 1);
}

// Guards against peers that go by the service which a host had before its
// address went to another one.
TEST_CASE_FIXTURE(OwnTargetFixture,
                  "service of a host that changed is passed on to peers") {
  list({Worker_, entry("next", "gamma", 3000)});
  CHECK(usable("beta") == 1);
  Own_->setOwnService("gamma", Now_, Effects_);
  Other_->onHello(Own_->ownRecord(), Now_, Effects_);
  CHECK(usable("gamma") == 1);
  CHECK(usable("beta") == 0);
  CHECK(Own_->ownTarget().Instance_ == "next");
}

} // namespace marigold::node
