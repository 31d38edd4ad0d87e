#include "ControlHarness.h"

#include <doctest/doctest.h>

#include <cstdlib>
#include <fstream>
#include <iterator>

namespace marigold::node {
namespace {

/// Runs a session of three nodes and compares its transcript with a golden
/// file. With MARIGOLD_RENEW_GOLDEN=1 (tools/renew-golden.sh) rewrites the file
/// instead.
struct GoldenSession : ControlHarness {
  GoldenSession() : ControlHarness(1) {
    for (unsigned Number = 1; Number <= 3; ++Number)
      add(Number, "domain-" + std::to_string(Number));
  }

  void publish(std::uint64_t Index, std::string Text) {
    appendTranscript("source: index " + std::to_string(Index));
    source().Index_ = Index;
    source().Text_ = std::move(Text);
  }

  void compare(const std::string &Name) {
    std::string Path =
        MARIGOLD_SOURCE_DIR "/unittests/Control/golden/" + Name + ".txt";
    if (std::getenv("MARIGOLD_RENEW_GOLDEN")) {
      std::ofstream(Path, std::ios::binary) << transcript();
      return;
    }
    std::ifstream In(Path, std::ios::binary);
    REQUIRE_MESSAGE(In, Path);
    std::string Expected((std::istreambuf_iterator<char>(In)),
                         std::istreambuf_iterator<char>());
    CHECK(transcript() == Expected);
  }
};

} // namespace

// Guards against unintended changes of when and how nodes adopt or refuse
// texts.
TEST_CASE_FIXTURE(GoldenSession, "session of good, bad and stale texts matches "
                                 "its transcript") {
  publish(10, textWithSlots(10));
  run(std::chrono::seconds(15));
  publish(11, textWithSlots(11));
  run(std::chrono::seconds(3));
  publish(12, "epoch: 1\nmesh: test\nservices: none\n");
  run(std::chrono::seconds(3));
  publish(13, textWithSlots(13));
  run(std::chrono::seconds(3));
  publish(10, textWithSlots(10));
  appendTranscript("node 3 restarts");
  restart(3);
  run(std::chrono::seconds(10));
  publish(14, textWithSlots(14));
  run(std::chrono::seconds(3));
  CHECK(allHaveRevision(14));
  compare("texts");
}

// Guards against unintended changes of how nodes behave during a source outage,
// a pause and a network partition, and recover from them.
TEST_CASE_FIXTURE(GoldenSession,
                  "session of outage, pause and partition matches its "
                  "transcript") {
  publish(10, textWithSlots(10));
  run(std::chrono::seconds(15));
  appendTranscript("source: down");
  source().Down_ = true;
  run(std::chrono::seconds(20));
  appendTranscript("source: up");
  source().Down_ = false;
  publish(11, textWithSlots(11));
  run(std::chrono::seconds(35));
  appendTranscript("node 2 stops for 10 s");
  setPaused(2, true);
  run(std::chrono::seconds(10));
  setPaused(2, false);
  run(std::chrono::seconds(5));
  appendTranscript("node 1 is cut off");
  partition({1});
  publish(12, textWithSlots(12));
  run(std::chrono::seconds(30));
  appendTranscript("network is whole");
  partition({});
  run(std::chrono::seconds(30));
  CHECK(allHaveRevision(12));
  compare("faults");
}

} // namespace marigold::node
