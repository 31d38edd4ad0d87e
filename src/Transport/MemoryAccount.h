#pragma once

#include "Transport/ShedPolicy.h"

#include <functional>
#include <map>
#include <mutex>
#include <vector>

namespace marigold::transport {

/// Account of the bytes that the connections of a server hold for their
/// clients. The sum never exceeds the bound: a holder that would exceed it
/// makes others give way, as chooseHolderToShed decides, or gives way itself.
/// Thread-safe.
class MemoryAccount {
public:
  /// Number of a holder.
  using Id = std::uint64_t;

  /// Bound in bytes; zero for none.
  explicit MemoryAccount(std::uint64_t Bound) : Bound_(Bound) {}

  /// Adds a holder with bytes that cannot be shed, for which others give way.
  /// Nothing if they still do not fit.
  /// Shed is called, without a lock, when the holder has to release what it
  /// can; its sheddable bytes are then no longer counted.
  std::optional<Id> open(std::uint64_t Kept, std::function<void()> Shed,
                         TimePoint Now);

  /// Changes what a holder has. Returns false, and changes nothing, if it has
  /// to give way itself or has been told so. A holder may always reduce what it
  /// has, and must do so after giving way.
  bool resize(Id Holder, std::uint64_t Kept, const SheddableMemory &Sheddable,
              TimePoint Now);

  /// Removes a holder with all its bytes.
  void close(Id Holder);

  /// Bytes held in all.
  std::uint64_t held() const;

private:
  struct Entry {
    std::uint64_t Kept_ = 0;
    SheddableMemory Sheddable_;
    /// Told to give way and has not reported since that it did.
    bool Told_ = false;
    std::function<void()> Shed_;
  };

  /// Makes others give way until Needed bytes are free. Requires Mutex_.
  bool makeRoom(Id Holder, std::uint64_t Needed,
                const SheddableMemory &Sheddable, TimePoint Now,
                std::vector<std::function<void()>> &Shed);

  const std::uint64_t Bound_;
  mutable std::mutex Mutex_;
  std::map<Id, Entry> Entries_;
  std::uint64_t Held_ = 0;
  Id Next_ = 1;
};

} // namespace marigold::transport
