#pragma once

#include <cstddef>
#include <deque>

namespace marigold::membership {

/// Estimates this node's own health from the results of its probes, as in
/// Lifeguard.
class LocalHealth {
public:
  /// Result of one probe round.
  enum class ProbeResult {
    /// The subject answered, directly or through a helper.
    Answered,
    /// The subject did not answer, but more than half of the helpers reported
    /// so, which shows that this node's own network works.
    SubjectSilent,
    /// Neither the subject nor more than half of the helpers answered.
    AllSilent
  };

  /// Records the result of a probe round.
  void onProbe(ProbeResult Result);

  /// Records that this node refuted a suspicion of itself, which suggests that
  /// its answers are late.
  void onRefutation();

  /// Factor applied to probe and suspicion timeouts: 1 when healthy, at most 9.
  /// Without it, a slow node would mistake its own delays for failures of other
  /// hosts.
  unsigned multiplier() const { return Score_ + 1; }

  /// Returns whether more than half of the last 5 rounds, or of all rounds
  /// while there were fewer, had the result AllSilent. Such a node is probably
  /// overloaded or cut off from the network itself. Three such rounds take
  /// about 4 s, less than the 6 s after which its first suspicion would expire.
  bool isDegraded() const;

private:
  static constexpr unsigned MaxScore_ = 8;
  static constexpr std::size_t WindowSize_ = 5;

  unsigned Score_ = 0;
  std::deque<bool> Silent_;
};

} // namespace marigold::membership
