#pragma once

#include "Transport/ShedPolicy.h"

#include "Support/Result.h"

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace marigold::transport {

class MemoryAccount;

/// Bytes that an account counts until this object is destroyed. Nobody can be
/// told to release them. Not thread-safe.
class MemoryReservation {
public:
  MemoryReservation(std::shared_ptr<MemoryAccount> Account, MemoryUse Use,
                    std::uint64_t Bytes)
      : Account_(std::move(Account)), Use_(Use), Bytes_(Bytes) {}
  ~MemoryReservation();
  MemoryReservation(const MemoryReservation &) = delete;
  MemoryReservation &operator=(const MemoryReservation &) = delete;

  /// Changes the number of bytes. Returns false, and changes nothing, if more
  /// do not fit.
  bool resize(std::uint64_t Bytes, TimePoint Now);

private:
  const std::shared_ptr<MemoryAccount> Account_;
  const MemoryUse Use_;
  std::uint64_t Bytes_;
};

using MemoryReservationPtr = std::shared_ptr<MemoryReservation>;

/// Reserves bytes. Fails with NodeMemory if they do not fit; without an account
/// everything fits and the reservation is null.
Result<MemoryReservationPtr>
reserveMemory(const std::shared_ptr<MemoryAccount> &Account, MemoryUse Use,
              std::uint64_t Bytes, TimePoint Now);

/// Returns a body to share without copies. Its memory counts until the last
/// owner has released it.
std::shared_ptr<const std::string> shareBody(std::string Text,
                                             MemoryReservationPtr Memory);

/// Account of the bytes that a process holds for clients: those of the
/// connections of a server, which may be told to release some, and reservations
/// for bodies that are on their way. The sum never exceeds the bound: whoever
/// would exceed it makes connections give way, as chooseHolderToShed decides,
/// or gives way itself. Thread-safe.
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

  /// Adds Bytes to those reserved for Use, after others gave way if need be.
  /// Returns false, and makes nobody give way, if they do not fit.
  bool reserve(MemoryUse Use, std::uint64_t Bytes, TimePoint Now);

  /// Removes reserved bytes.
  void release(MemoryUse Use, std::uint64_t Bytes);

  /// Bytes held in all.
  std::uint64_t held() const;

  /// Bytes reserved for Use.
  std::uint64_t reserved(MemoryUse Use) const;

private:
  struct Entry {
    std::uint64_t Kept_ = 0;
    SheddableMemory Sheddable_;
    /// Told to give way and has not reported since that it did.
    bool Told_ = false;
    std::function<void()> Shed_;
  };

  /// Makes others give way until Needed bytes are free below Limit. Requires
  /// Mutex_.
  bool makeRoom(Id Holder, std::uint64_t Needed, std::uint64_t Limit,
                const SheddableMemory &Sheddable, TimePoint Now,
                std::vector<std::function<void()>> &Shed);

  const std::uint64_t Bound_;
  mutable std::mutex Mutex_;
  std::map<Id, Entry> Entries_;
  std::uint64_t Held_ = 0;
  std::array<std::uint64_t, MemoryUses> Reserved_{};
  Id Next_ = 1;
};

} // namespace marigold::transport
