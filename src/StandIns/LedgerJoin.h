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
  /// May be repeated.
  Call,
  /// May not be repeated; carries an idempotency key.
  Booking
};

/// Lower-case name of the kind.
std::string_view toText(CallKind Value);

/// One line of a callers' ledger: "id kind outcome attempts".
struct CallerEntry {
  /// Request id, the same in every attempt.
  std::string Id_;
  /// Kind.
  CallKind Kind_ = CallKind::Call;
  /// Outcome of the last attempt.
  Outcome Outcome_ = Outcome::Unknown;
  /// Attempts sent.
  std::uint64_t Attempts_ = 0;

  friend bool operator==(const CallerEntry &, const CallerEntry &) = default;
};

/// Writes the line without its end.
std::string toText(const CallerEntry &Entry);

/// Reads one line. Fails with FileUnreadable.
Result<CallerEntry> parseCallerEntry(std::string_view Line);

/// Runs of one target or of many.
struct TargetRuns {
  /// Number of runs by request id.
  std::map<std::string, std::uint64_t> RunsById_;
  /// Runs that ended because their connection was closed.
  std::uint64_t CutRuns_ = 0;
};

/// Adds a target's ledger, with lines "run <id> <key> <count>" and
/// "cut <id>". Lines that begin with another word are ignored, and so is an
/// incomplete last line, which a killed target leaves. Fails with
/// FileUnreadable on any other malformed line.
Result<void> addTargetLedger(TargetRuns &Runs, std::string_view Text);

/// What the callers' and the targets' ledgers show together.
struct JoinedLedgers {
  /// Entries of the callers.
  std::uint64_t Calls_ = 0;
  /// Entries that are bookings.
  std::uint64_t Bookings_ = 0;
  /// Runs of requests that the callers know.
  std::uint64_t Runs_ = 0;
  /// Bookings that ran more than once.
  std::uint64_t Doubled_ = 0;
  /// Requests that ended with not-run although they ran.
  std::uint64_t FalseNotRun_ = 0;
  /// Requests that ended with ok although no target ran them.
  std::uint64_t OkWithoutRun_ = 0;
  /// Requests that ended with unknown and ran.
  std::uint64_t UnknownRan_ = 0;
  /// Requests that ended with unknown and did not run.
  std::uint64_t UnknownNotRun_ = 0;
  /// Runs that the callers do not know; chained calls are not counted.
  std::uint64_t UnmatchedRuns_ = 0;
  /// Runs that were cut.
  std::uint64_t CutRuns_ = 0;
  /// Ids of doubled bookings and false not-run, at most 20, for a report.
  std::vector<std::string> Examples_;
};

/// Separates the id of a request from the service of a chained call.
inline constexpr char ChainSeparator = '>';

/// Joins the ledgers by request id.
JoinedLedgers joinLedgers(const std::vector<CallerEntry> &Entries,
                          const TargetRuns &Runs);

/// Writes the counts as key=value lines.
std::string toText(const JoinedLedgers &Joined);

} // namespace marigold::standins
