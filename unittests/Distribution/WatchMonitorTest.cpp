#include "Distribution/WatchMonitor.h"

#include "TestSeed.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

namespace marigold::distribution {

using std::chrono::milliseconds;

namespace {

struct WatchMonitorFixture {
  WatchVerdict probe(milliseconds At, std::uint64_t Source,
                     std::uint64_t Known) {
    return Monitor_.onProbe(Source, Known, false, TimePoint() + At);
  }

  WatchMonitor Monitor_;
};

} // namespace

// Guards against waiting for the timeout of a watch whose response was lost.
TEST_CASE_FIXTURE(WatchMonitorFixture,
                  "watch that does not deliver a known change is lost") {
  CHECK(probe(milliseconds(0), 7, 7) == WatchVerdict::Current);
  CHECK(probe(milliseconds(500), 8, 7) == WatchVerdict::Behind);
  CHECK(probe(milliseconds(1000), 8, 7) == WatchVerdict::Lost);
  Monitor_.onStarted(TimePoint() + milliseconds(1000));
  CHECK(probe(milliseconds(1500), 8, 7) == WatchVerdict::Behind);
  CHECK(probe(milliseconds(2000), 8, 8) == WatchVerdict::Current);
}

// Guards against cancelling a watch whose long response is still arriving over
// a slow link.
TEST_CASE_FIXTURE(WatchMonitorFixture,
                  "watch that is receiving a response is not lost") {
  CHECK(probe(milliseconds(0), 8, 7) == WatchVerdict::Behind);
  Monitor_.onProgress(TimePoint() + milliseconds(300));
  CHECK(probe(milliseconds(500), 8, 7) == WatchVerdict::Behind);
  CHECK(probe(milliseconds(1000), 8, 7) == WatchVerdict::Lost);
}

// Guards against a probe that is answered from old data and would hide that the
// watch is behind, or end a watch that is ahead of it.
TEST_CASE_FIXTURE(WatchMonitorFixture,
                  "probe answered from old data does not end the watch") {
  CHECK(probe(milliseconds(0), 5, 7) == WatchVerdict::Current);
  CHECK(probe(milliseconds(500), 7, 7) == WatchVerdict::Current);
}

// Guards against any order of lost responses and old answers of the source that
// leaves a node behind, or makes it tell others that it is up to date: a probe
// may only count as current if all changes up to its revision are known, and a
// change must be known soon after the source has begun to answer again.
TEST_CASE("watch monitor finds each lost response") {
  constexpr milliseconds ProbeInterval{500};
  constexpr milliseconds Delay{20};
  // Far older than the time within which a change must be known.
  constexpr milliseconds MaxStale{20'000};
  constexpr milliseconds Bound{3000};
  constexpr milliseconds LossEnds{30'000};
  constexpr milliseconds End{60'000};
  forEachSeed(200, [&](Random &Rng) {
    WatchMonitor Monitor;
    std::vector<milliseconds> Changes;
    for (milliseconds At{0}; At < End;) {
      At += milliseconds(1 + Rng.below(4000));
      Changes.push_back(At);
    }
    auto RevisionAt = [&](milliseconds At) {
      return static_cast<std::uint64_t>(std::ranges::upper_bound(Changes, At) -
                                        Changes.begin());
    };
    auto Loses = [&](milliseconds At) {
      return At < LossEnds && Rng.below(100) < 35;
    };
    std::uint64_t Known = 0;
    std::uint64_t Reported = 0;
    bool WatchLives = true;
    milliseconds NextProbe = ProbeInterval;
    milliseconds Arrives = End;
    for (milliseconds At{0}; At < End; At += milliseconds(10)) {
      std::uint64_t Newest = RevisionAt(At);
      if (WatchLives && Arrives == End && Newest > Known) {
        WatchLives = !Loses(At);
        if (WatchLives)
          Arrives = At + Delay;
      }
      if (At >= Arrives) {
        Arrives = End;
        Known = Newest;
        Monitor.onStarted(TimePoint() + At);
      }
      if (At < NextProbe)
        continue;
      NextProbe = At + ProbeInterval;
      if (Loses(At))
        continue;
      bool Fresh = Monitor.needsFreshProbe(TimePoint() + At);
      auto Stale = milliseconds(Rng.below(
          static_cast<std::uint64_t>(std::min(At, MaxStale).count()) + 1));
      std::uint64_t Source = Fresh ? Newest : RevisionAt(At - Stale);
      Reported = std::max(Reported, Source);
      WatchVerdict Verdict =
          Monitor.onProbe(Source, Known, Fresh, TimePoint() + At);
      CHECK((Verdict == WatchVerdict::Current) == (Reported <= Known));
      if (Verdict == WatchVerdict::Lost) {
        CHECK_FALSE(WatchLives);
        WatchLives = true;
        Monitor.onStarted(TimePoint() + At);
      }
      if (At > LossEnds + Bound)
        REQUIRE(Known >= RevisionAt(At - Bound));
    }
  });
}

} // namespace marigold::distribution
