#pragma once

#include <cstddef>
#include <deque>

namespace marigold::membership {

/// Judgement of a prober on itself, from the results of its own probes.
class LocalHealth {
public:
  /// Result of one probe round.
  enum class ProbeResult {
    /// The subject answered, directly or through a helper.
    Answered,
    /// The subject did not answer, but most helpers did, so this node's own
    /// network works.
    SubjectSilent,
    /// Neither the subject nor most helpers answered.
    AllSilent
  };

  /// Notes the result of a probe round.
  void onProbe(ProbeResult Result);

  /// Notes that this node had to refute a suspicion of itself.
  void onRefutation();

  /// Factor on probe and suspicion timeouts: 1 when healthy, at most 9. A
  /// slow prober otherwise takes its own lateness for the death of others.
  unsigned multiplier() const { return Score_ + 1; }

  /// True when more than half of the last 5 rounds were all silent. Such a
  /// prober is probably cut off or overloaded itself. Three silent rounds take
  /// about 4 s, less than the 6 s in which its first suspicion would run out.
  bool isDegraded() const;

private:
  static constexpr unsigned MaxScore_ = 8;
  static constexpr std::size_t WindowSize_ = 5;

  unsigned Score_ = 0;
  std::deque<bool> Silent_;
};

} // namespace marigold::membership
