#pragma once

#include "Schema/generated/Errors.h"
#include "Support/Result.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace marigold::standins {

/// Kind of a caller's request.
enum class CallKind : std::uint8_t {
  /// Safe to repeat.
  Call,
  /// Must not run more than once; sent with an idempotency key.
  Booking
};

/// Lower-case name of the kind.
std::string_view toText(CallKind Value);

/// One line of the callers' ledger: "id kind outcome attempts".
struct CallerEntry {
  /// Request id, which is the same in all attempts.
  std::string Id_;
  CallKind Kind_ = CallKind::Call;
  /// Outcome of the last attempt.
  Outcome Outcome_ = Outcome::Unknown;
  /// Number of attempts sent.
  std::uint64_t Attempts_ = 0;

  friend bool operator==(const CallerEntry &, const CallerEntry &) = default;
};

/// Formats the ledger line without the line break.
std::string toText(const CallerEntry &Entry);

/// Parses one ledger line. Fails with FileUnreadable if it is malformed.
Result<CallerEntry> parseCallerEntry(std::string_view Line);

/// Runs recorded by one or more targets.
struct TargetRuns {
  /// Number of runs by request id.
  std::map<std::string, std::uint64_t> RunsById_;
  /// Number of runs aborted because their connection was closed.
  std::uint64_t CutRuns_ = 0;
};

/// Adds a target's ledger, which consists of the lines "run <id> <key> <count>"
/// and "cut <id>". Lines that start with another word are ignored, and so is a
/// last line without a line break, which a killed target may leave behind.
/// Fails with FileUnreadable on other malformed lines.
Result<void> addTargetLedger(TargetRuns &Runs, std::string_view Text);

/// Result of comparing the callers' ledger with those of the targets.
struct JoinedLedgers {
  /// Requests in the callers' ledger.
  std::uint64_t Calls_ = 0;
  /// Bookings among these requests.
  std::uint64_t Bookings_ = 0;
  /// Runs of requests in the callers' ledger.
  std::uint64_t Runs_ = 0;
  /// Bookings that ran more than once.
  std::uint64_t Doubled_ = 0;
  /// Requests with outcome not-run that did run.
  std::uint64_t FalseNotRun_ = 0;
  /// Requests with outcome ok that no target ran.
  std::uint64_t OkWithoutRun_ = 0;
  /// Requests with outcome unknown that ran.
  std::uint64_t UnknownRan_ = 0;
  /// Requests with outcome unknown that did not run.
  std::uint64_t UnknownNotRun_ = 0;
  /// Runs of requests that are not in the callers' ledger, except for chained
  /// calls.
  std::uint64_t UnmatchedRuns_ = 0;
  /// Runs aborted because their connection was closed.
  std::uint64_t CutRuns_ = 0;
  /// Ids of at most 20 requests counted in Doubled_ or FalseNotRun_.
  std::vector<std::string> Examples_;
};

/// Separates the id of a request from the service name in the id of a chained
/// call.
inline constexpr char ChainSeparator = '>';

/// Joins the ledgers by request id.
JoinedLedgers joinLedgers(const std::vector<CallerEntry> &Entries,
                          const TargetRuns &Runs);

/// Formats the counts as key=value lines.
std::string toText(const JoinedLedgers &Joined);

} // namespace marigold::standins
