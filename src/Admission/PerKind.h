#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace marigold::admission {

/// Estimates of one figure by kind of request, and over all requests. A target
/// that serves unlike requests would otherwise be given the mixture for each of
/// them. Estimate has a function addSample(Sample).
template <class Estimate> class PerKind {
public:
  /// Kinds that are told apart. The one that was learned the longest ago makes
  /// room for a new one, so that requests on routes that came and went do not
  /// fill the table.
  static constexpr std::size_t MaxKinds_ = 64;

  /// Updates the estimate of the kind and that of all requests.
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

  /// The estimate of the kind; that of all requests for one not known.
  const Estimate &of(std::uint32_t Kind) const {
    const Estimate *Known = find(Kind);
    return Known ? *Known : All_;
  }

  /// The estimate of the kind; null for one not known.
  const Estimate *find(std::uint32_t Kind) const {
    auto Position = Kinds_.find(Kind);
    return Position == Kinds_.end() ? nullptr : &Position->second.Estimate_;
  }

  /// The estimate over all kinds.
  const Estimate &all() const { return All_; }

private:
  struct Entry {
    Estimate Estimate_;
    /// Number of the last sample.
    std::uint64_t LastSample_ = 0;
  };

  Estimate All_;
  std::unordered_map<std::uint32_t, Entry> Kinds_;
  std::uint64_t SampleCount_ = 0;
};

} // namespace marigold::admission
