#include "Support/Archive.h"
#include "Support/Random.h"

#include <doctest/doctest.h>

namespace marigold {
namespace {

struct ArchiveFixture {
  HostRecord Record_{{0x7f000001, 7400},
                     1'700'000'000'000,
                     7,
                     HostState::Ready,
                     "crew-desk",
                     "quito",
                     "andes",
                     7480,
                     7490};
  Ping Ping_{5,
             Record_,
             {0x7f000002, 7400},
             9,
             7,
             HostState::Suspect,
             {{1, 300}, 77, std::chrono::milliseconds(1500), 3, {}},
             {{Record_, {}}}};
};

/// Element type that counts its default-constructed instances.
struct CountedElement {
  static inline std::size_t Created_ = 0;
  std::uint64_t Value_ = 0;
  CountedElement() { ++Created_; }
  template <class Archive> void serialize(Archive &Ar) { Ar(Value_); }
};

} // namespace

TEST_CASE_FIXTURE(ArchiveFixture, "archive round-trips a ping") {
  auto Decoded = decodeBody<Ping>(encodeBody(Ping_));
  REQUIRE(Decoded);
  CHECK(Decoded.value() == Ping_);
}

// Guards against reads past the end of a truncated message.
TEST_CASE_FIXTURE(ArchiveFixture, "archive rejects a truncated message") {
  std::string Body = encodeBody(Ping_);
  for (std::size_t Size = 0; Size < Body.size(); ++Size)
    CHECK_FALSE(decodeBody<Ping>(std::string_view(Body).substr(0, Size)));
}

TEST_CASE_FIXTURE(ArchiveFixture, "archive rejects trailing bytes") {
  CHECK_FALSE(decodeBody<Ping>(encodeBody(Ping_) + '\0'));
}

// Guards against unbounded allocation for a corrupt container size.
TEST_CASE("archive rejects a container size beyond the message") {
  std::string Body;
  WireOutput Ar(Body);
  Ar.saveVarint(std::uint64_t(1) << 60);
  CHECK_FALSE(decodeBody<std::string>(Body));
  CHECK_FALSE(decodeBody<std::vector<HostRecord>>(Body));
}

TEST_CASE("archive rejects an enumeration value out of range") {
  HostRecord Record;
  Record.State_ = static_cast<HostState>(HostStateCount);
  CHECK_FALSE(decodeBody<HostRecord>(encodeBody(Record)));
}

TEST_CASE("archive round-trips integers at their limits") {
  for (std::int64_t Value : {std::int64_t(0), std::int64_t(-1), std::int64_t(1),
                             std::numeric_limits<std::int64_t>::min(),
                             std::numeric_limits<std::int64_t>::max()}) {
    auto Decoded = decodeBody<std::int64_t>(encodeBody(Value));
    REQUIRE(Decoded);
    CHECK(Decoded.value() == Value);
  }
  auto Largest = std::numeric_limits<std::uint64_t>::max();
  CHECK(decodeBody<std::uint64_t>(encodeBody(Largest)).value() == Largest);
  CHECK_FALSE(decodeBody<std::uint16_t>(encodeBody(Largest)));
}

// Guards against excessive allocation for a truncated list. The size of a list
// may be as large as the number of bytes in the message, and creating all
// elements before reading them would take hundreds of times the size of the
// message.
TEST_CASE("archive creates no elements beyond the end of a truncated list") {
  std::string Body;
  WireOutput Ar(Body);
  Ar.saveVarint(100'000);
  Body.append(100'000, '\xff');
  CountedElement::Created_ = 0;
  CHECK_FALSE(decodeBody<std::vector<CountedElement>>(Body));
  CHECK(CountedElement::Created_ == 1);
}

} // namespace marigold
