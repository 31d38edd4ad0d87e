#pragma once

#include "Schema/generated/Errors.h"

#include <cstdint>
#include <optional>

namespace marigold::calls {

/// The node at which a request is tracked. At the caller's node the party
/// behind the connection is the target's node, which can state that it
/// forwarded nothing; at the target's node it is the target itself.
enum class CallSide : std::uint8_t { CallerNode, TargetNode };

/// What the caller may be told about a request.
struct Verdict {
  /// Ok, NotRun or Unknown; agrees with errorOutcome(*Reason_).
  Outcome Outcome_ = Outcome::NotRun;
  /// Cause; nothing when the outcome is Ok.
  std::optional<ErrorCode> Reason_;

  friend bool operator==(const Verdict &, const Verdict &) = default;
};

/// Records what happened to one request at one node and decides what may be
/// said about it (guarantee G5). NotRun requires that no byte of any attempt
/// left for a target, or that the target's node of each attempt stated that
/// it forwarded nothing. Events that come after the end are ignored.
///
/// A request with a key was possibly sent before through another node. Without
/// a statement of the key's owner its verdict is therefore Unknown. Checks
/// that depend on the configuration (route, body size, held-back) are made for
/// such a request by the owner's node after KeyTable::claim, never earlier.
class OutcomeTracker {
public:
  /// Keyed: the request carries an idempotency key. At the target's node pass
  /// false, because KeyTable has answered there for earlier attempts.
  explicit OutcomeTracker(CallSide Side, bool Keyed = false)
      : Side_(Side), Keyed_(Keyed) {}

  /// An attempt begins: a target was chosen. Returns false and changes nothing
  /// when the request has ended, has an attempt in progress, or has passed on
  /// a part of an answer.
  [[nodiscard]] bool beginAttempt();

  /// No connection could be opened, or a pooled connection was lost before a
  /// byte was written. The attempt ends with TargetDown.
  void connectFailed();

  /// Bytes are about to be handed to the connection. Call it before the write,
  /// since a failed write may have sent a part.
  void sentFirstByte();

  /// This node refuses the request, or the target's node answered with
  /// CallRefused. The attempt ends. A code whose outcome is not NotRun counts
  /// as a possible run.
  void refused(ErrorCode Code);

  /// Like refused, for the number in a CallRefused; a number that is not known
  /// counts as MalformedAnswer.
  void refusedByNumber(std::uint16_t Number);

  /// The first byte of the answer arrived.
  void firstAnswerByte();

  /// The end marker of the answer arrived; the request ends with Ok.
  void answerComplete();

  /// The answer breaks the protocol (MalformedAnswer) or exceeds a limit
  /// (AnswerTooLarge). The attempt ends.
  void answerInvalid(ErrorCode Code);

  /// The connection was lost. The attempt ends: with TargetDown when nothing
  /// was sent, otherwise with NodeLost (caller's node) or TargetLost.
  void connectionLost();

  /// The deadline passed; the request ends.
  void deadlinePassed();

  /// The caller went away; the request ends.
  void cancelled();

  /// Whether the request has ended for good, so that beginAttempt() is refused.
  bool ended() const { return Ended_; }

  /// Whether an attempt is in progress.
  bool inAttempt() const { return InAttempt_; }

  /// Whether a byte of the current attempt was handed to a connection.
  bool sent() const { return Sent_; }

  /// Whether a part of an answer arrived in the current attempt.
  bool answerStarted() const { return AnswerStarted_; }

  /// Whether any attempt may have run the request.
  bool mayHaveRun() const { return MayHaveRun_; }

  /// Number of attempts begun.
  unsigned attempts() const { return Attempts_; }

  /// Reason with which the last attempt or the request ended; nothing while
  /// an attempt is in progress or after an answer.
  std::optional<ErrorCode> lastReason() const { return Reason_; }

  /// What the caller is told if nothing further happens. While an attempt is
  /// in progress this is the verdict that a loss of the connection would give.
  Verdict verdict() const;

private:
  void endAttempt(ErrorCode Code);
  ErrorCode connectionLossCode() const;

  CallSide Side_;
  bool Keyed_;
  bool InAttempt_ = false;
  bool Sent_ = false;
  bool AnswerStarted_ = false;
  bool MayHaveRun_ = false;
  bool OwnerRefused_ = false;
  bool Ended_ = false;
  bool Answered_ = false;
  unsigned Attempts_ = 0;
  std::optional<ErrorCode> Reason_;
  std::optional<ErrorCode> UnknownReason_;
};

} // namespace marigold::calls
