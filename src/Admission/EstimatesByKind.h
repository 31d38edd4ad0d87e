#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace marigold::admission {

/// Estimates of one quantity per kind of request and over all requests. A
/// single estimate would not fit any kind at a target that serves different
/// kinds of requests. Estimate must have a function addSample(Sample).
template <class Estimate> class EstimatesByKind {
public:
  /// Maximum number of kinds in the table. The least recently updated one is
  /// evicted for a new one, so that kinds of removed routes do not fill the
  /// table.
  static constexpr std::size_t MaxKinds_ = 1024;

  /// Updates the estimate of the kind and the one over all requests.
  template <class Sample>
  void addSample(std::uint32_t Kind, const Sample &Value) {
    All_.addSample(Value);
    if (Kinds_.size() >= MaxKinds_ && !Kinds_.contains(Kind))
      Kinds_.erase(std::ranges::min_element(Kinds_, {}, [](const auto &Item) {
        return Item.second.LastSample_;
      }));
    Entry &Known = Kinds_[Kind];
    Known.Estimate_.addSample(Value);
    Known.LastSample_ = ++SampleCount_;
  }

  /// The estimate of the kind, or the one over all requests if the kind is
  /// unknown.
  const Estimate &of(std::uint32_t Kind) const {
    const Estimate *Known = find(Kind);
    return Known ? *Known : All_;
  }

  /// The estimate of the kind, or null if the kind is unknown.
  const Estimate *find(std::uint32_t Kind) const {
    auto Position = Kinds_.find(Kind);
    return Position == Kinds_.end() ? nullptr : &Position->second.Estimate_;
  }

  /// Whether kinds may be missing although they have been updated, because the
  /// table is full.
  bool full() const { return Kinds_.size() >= MaxKinds_; }

  /// The estimate over all requests.
  const Estimate &all() const { return All_; }

private:
  struct Entry {
    Estimate Estimate_;
    /// Sequence number of the last sample.
    std::uint64_t LastSample_ = 0;
  };

  Estimate All_;
  std::unordered_map<std::uint32_t, Entry> Kinds_;
  std::uint64_t SampleCount_ = 0;
};

} // namespace marigold::admission
