#pragma once

#include "Schema/generated/Errors.h"

#include <cstdint>
#include <optional>

namespace marigold::calls {

/// The node at which a request is tracked. The caller's node is connected to
/// the target's node, which can state that it forwarded nothing. The target's
/// node is connected to the target itself.
enum class CallSide : std::uint8_t { CallerNode, TargetNode };

/// Outcome of a request as it may be reported to the caller.
struct Verdict {
  /// Ok, NotRun or Unknown; always equal to errorOutcome(*Reason_).
  Outcome Outcome_ = Outcome::NotRun;
  /// Cause; nullopt if the outcome is Ok.
  std::optional<ErrorCode> Reason_;

  friend bool operator==(const Verdict &, const Verdict &) = default;
};

/// Tracks the events of one request at one node and derives the outcome that
/// may be reported to the caller. NotRun is only reported if for each attempt
/// either no byte was sent to a target or the target's node stated that it
/// forwarded nothing, so that the caller can send the request again without the
/// risk of a second run. This includes a hedge, an attempt that runs
/// concurrently with another one. Events after the end of the request are
/// ignored.
///
/// A keyed request may have been sent before through another node, so that its
/// outcome is Unknown without a statement of the key's owner. Checks of such a
/// request that depend on the configuration (route, body size, held-back) are
/// made by the owner's node after KeyTable::claim, never earlier.
class OutcomeTracker {
public:
  /// Keyed states that the request has an idempotency key. Pass false at the
  /// target's node, where KeyTable accounts for earlier attempts.
  explicit OutcomeTracker(CallSide Side, bool Keyed = false)
      : Side_(Side), Keyed_(Keyed) {}

  /// Begins an attempt after a target was chosen. Returns false and changes
  /// nothing if the request has ended, has an attempt in progress, or part of
  /// an answer has been forwarded to the caller.
  [[nodiscard]] bool beginAttempt();

  /// Records that no connection could be opened, or that a pooled connection
  /// was lost before a byte was written. The attempt ends with TargetDown.
  void connectFailed();

  /// Records that data is about to be written to the connection. Call it before
  /// the write, because a failed write may have sent part of the data.
  void sentFirstByte();

  /// Records that this node refused the request or that the target's node
  /// answered with CallRefused. The attempt ends. After a code whose outcome is
  /// not NotRun the request counts as possibly run.
  void refused(ErrorCode Code);

  /// Like refused, for the number of the code in a CallRefused. An unknown
  /// number counts as MalformedAnswer.
  void refusedByNumber(std::uint16_t Number);

  /// Records the first byte of the answer.
  void firstAnswerByte();

  /// Records the end of the answer. The request ends with Ok.
  void answerComplete();

  /// Records that the answer violates the protocol (MalformedAnswer) or exceeds
  /// a limit (AnswerTooLarge). The attempt ends.
  void answerInvalid(ErrorCode Code);

  /// Records the loss of the connection. The attempt ends with TargetDown if
  /// nothing was sent, otherwise with NodeLost at the caller's node or
  /// TargetLost at the target's node.
  void connectionLost();

  /// Records that the request is about to be sent to a second target while the
  /// current attempt goes on. Until hedgeFailed it may be running there.
  void hedgeSent();

  /// Records that the second target gave no answer to use. Unless Code states
  /// that it did not run the request, the request counts as possibly run.
  void hedgeFailed(ErrorCode Code);

  /// Records that the deadline passed. The request ends.
  void deadlinePassed();

  /// Records that the caller cancelled the call. The request ends.
  void cancelled();

  /// Whether the request has ended, so that no attempt can begin.
  bool ended() const { return Ended_; }

  bool inAttempt() const { return InAttempt_; }

  /// Whether data of the current attempt was written to a connection.
  bool sent() const { return Sent_; }

  /// Whether part of an answer arrived in the current attempt.
  bool answerStarted() const { return AnswerStarted_; }

  /// Whether any attempt may have run the request.
  bool mayHaveRun() const { return MayHaveRun_; }

  /// Number of attempts that were begun.
  unsigned attempts() const { return Attempts_; }

  /// Reason with which the last attempt or the request ended; nullopt while an
  /// attempt is in progress and after a complete answer.
  std::optional<ErrorCode> lastReason() const { return Reason_; }

  /// The outcome to report if no further event occurs. While an attempt is in
  /// progress this is the outcome that a loss of the connection would have.
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
  bool HedgePending_ = false;
  bool OwnerRefused_ = false;
  bool Ended_ = false;
  bool Answered_ = false;
  unsigned Attempts_ = 0;
  std::optional<ErrorCode> Reason_;
  std::optional<ErrorCode> UnknownReason_;
};

} // namespace marigold::calls
