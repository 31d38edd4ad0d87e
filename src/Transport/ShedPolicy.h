#pragma once

#include "Support/Clock.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace marigold::transport {

/// Memory of one connection that can be released without touching a request at
/// its target: a request body that is arriving, or answers that are being sent.
struct SheddableMemory {
  std::uint64_t Bytes_ = 0;
  /// Bytes received or sent since Since_.
  std::uint64_t Moved_ = 0;
  TimePoint Since_{};
  TimePoint LastProgress_{};
};

/// Time without progress after which a transfer counts as stalled.
inline constexpr std::chrono::seconds StallTime{1};

/// What reserved memory is for.
enum class MemoryUse : std::uint8_t {
  /// Bodies of calls from other nodes, from the start of their arrival to the
  /// end of their run.
  Calls,
  /// Answers between the target, its node and the caller's node.
  Answers,
};
inline constexpr std::size_t MemoryUses = 2;

/// Bytes of an account's bound up to which reservations of a use may fill it.
///
/// Answers this load: other nodes send so many bodies to one target that its
/// node has no memory for the connections of its own callers. An answer may
/// take all, since its request has run.
constexpr std::uint64_t reservationLimit(std::uint64_t Bound, MemoryUse Use) {
  constexpr std::uint64_t ShareForConnections = 8;
  return Use == MemoryUse::Calls ? Bound - Bound / ShareForConnections : Bound;
}

/// Chooses the holder that gives way when memory is short; nothing if none
/// holds any. The largest stalled one goes first, then the one with the least
/// progress per byte held and second, so that a request that has just begun
/// goes last.
///
/// Answers this load: many clients send request bodies that stop short of their
/// end, or do not read their answers, and hold all memory that is left for
/// ordinary requests.
std::optional<std::size_t>
chooseHolderToShed(std::span<const SheddableMemory> Holders, TimePoint Now);

/// What a connection does that has no request in progress.
enum class UnusedState : std::uint8_t {
  /// A request is in progress, or its body is arriving.
  InUse,
  /// Idle after at least one request.
  Idle,
  /// No complete header section has arrived yet, or not the next one.
  Silent,
};

struct UnusedConnection {
  UnusedState State_ = UnusedState::InUse;
  TimePoint Since_{};
};

/// Chooses the connection to close for a new one when all are taken: the oldest
/// one without a complete header section, then the one idle for longest.
///
/// Answers this load: clients that connect and send nothing, or a header
/// section that never ends, take all connections, and ordinary clients cannot
/// connect.
std::optional<std::size_t>
chooseConnectionToClose(std::span<const UnusedConnection> Connections);

} // namespace marigold::transport
