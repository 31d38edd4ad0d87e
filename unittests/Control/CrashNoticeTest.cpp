#include "ControlHarness.h"

#include "Support/Archive.h"

#include <doctest/doctest.h>

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

} // namespace marigold::node
