#include "ControlHarness.h"

#include "Support/Archive.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <set>

namespace marigold::node {
namespace {

/// Nodes of service "desk" in one failure domain.
struct CrashNoticeFixture : ControlHarness {
  CrashNoticeFixture() : ControlHarness(1) {
    source().Index_ = 10;
    source().Text_ = textWithSlots(10);
  }

  static HostRecord record(unsigned Number, std::uint64_t Incarnation = 1) {
    HostRecord Record;
    Record.Id_ = {0x0a000000 + Number, 7400};
    Record.Incarnation_ = Incarnation;
    Record.Sequence_ = 1;
    Record.State_ = HostState::Ready;
    Record.Service_ = "desk";
    Record.FailureDomain_ = "domain-1";
    Record.Region_ = "test";
    return Record;
  }
};

} // namespace

// Guards against a request that goes on crashing targets of a large service
// because most of its nodes never hear of the crashes.
TEST_CASE_FIXTURE(CrashNoticeFixture,
                  "crash notice is sent to every node of the service") {
  for (unsigned Hosts : {2U, 65U, 300U}) {
    CAPTURE(Hosts);
    add(Hosts, "domain-1");
    ControlCore &Core = *node(Hosts).Core_;
    ControlEffects Ignored;
    for (unsigned Number = 1; Number <= Hosts; ++Number)
      Core.onHello(record(Number), now(), Ignored);
    ControlEffects Out;
    CrashNotice Notice{7, "desk", {1, 2}};
    Core.sendCrashNotice(Notice, Out);
    std::set<HostId> Receivers;
    for (const OutgoingDatagram &Sent : Out.Datagrams_) {
      Receivers.insert(Sent.To_);
      CHECK(Sent.Data_ == encodeMessage(Notice));
    }
    CHECK(Receivers.size() == Hosts);
    CHECK_FALSE(Receivers.contains(idOf(Hosts)));
  }
}

// Guards against a request that crashes targets again after a rolling restart,
// since the nodes that held it back have forgotten it, and against a flood of
// notices from every node of a large service to each node that starts.
TEST_CASE_FIXTURE(CrashNoticeFixture,
                  "few nodes inform a node of the service that has started") {
  for (unsigned Hosts : {3U, 65U, 300U}) {
    CAPTURE(Hosts);
    const unsigned Started = Hosts / 2;
    unsigned Informing = 0;
    for (unsigned Own = 1; Own <= Hosts; ++Own) {
      if (Own == Started)
        continue;
      NodeSettings Settings;
      Settings.Service_ = "desk";
      ControlCore Core(Settings, record(Own), 1, now());
      ControlEffects Joined;
      for (unsigned Number = 1; Number <= Hosts; ++Number)
        if (Number != Own)
          Core.onHello(record(Number), now(), Joined);
      ControlEffects Again;
      Core.onHello(record(Started), now(), Again);
      CHECK(Again.StartedPeers_.empty());
      ControlEffects Restarted;
      Core.onHello(record(Started, 2), now(), Restarted);
      if (Restarted.StartedPeers_.empty())
        continue;
      CHECK(Restarted.StartedPeers_ ==
            std::vector<HostId>{record(Started).Id_});
      ++Informing;
    }
    CHECK(Informing == std::min(Hosts - 1, 5U));
  }
}

TEST_CASE_FIXTURE(CrashNoticeFixture,
                  "node of another service is not informed of crashes") {
  add(1, "domain-1");
  HostRecord Other = record(7);
  Other.Service_ = "shelf";
  ControlEffects Out;
  node(1).Core_->onHello(Other, now(), Out);
  CHECK(Out.StartedPeers_.empty());
}

} // namespace marigold::node
