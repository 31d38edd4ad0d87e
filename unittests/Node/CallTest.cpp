#include "MeshFixture.h"

#include <doctest/doctest.h>

namespace marigold::node {

TEST_CASE_FIXTURE(MeshFixture,
                  "call through two nodes returns the target's answer") {
  FakeTarget Target(Threads_.Io_);
  addNode(Target.port());
  TestNode &Caller = addCallerNode();
  std::string Answer = request(Caller, "GET", "/shelf?x=1", "hello");
  CHECK(statusOf(Answer) == 200);
  CHECK(bodyOf(Answer) == "hello");
  CHECK(fieldOf(Answer, "x-marigold-outcome") == "ok");
  CHECK(Target.Runs_ == 1);
}

} // namespace marigold::node
