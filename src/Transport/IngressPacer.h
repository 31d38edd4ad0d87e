#pragma once

#include "Transport/IngressAdmission.h"

#include "Support/Metrics.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <utility>

namespace marigold::transport {

class IngressPacer;

/// A large body that is being received. The destructor removes it, so that the
/// credit that it has left goes to other bodies.
class IngressBody {
public:
  IngressBody(std::shared_ptr<IngressPacer> Pacer,
              IngressAdmission::BodyNumber Number)
      : Pacer_(std::move(Pacer)), Number_(Number) {}
  ~IngressBody();
  IngressBody(const IngressBody &) = delete;
  IngressBody &operator=(const IngressBody &) = delete;

  /// Records that Bytes of the body have arrived.
  void onReceived(std::size_t Bytes);

private:
  std::shared_ptr<IngressPacer> Pacer_;
  IngressAdmission::BodyNumber Number_;
};

/// Grants credit for the large bodies that all peers of a host send to it; see
/// IngressAdmission. Thread-safe.
class IngressPacer : public std::enable_shared_from_this<IngressPacer> {
public:
  /// Called with the number of bytes that the sender of a body may send more,
  /// on any thread and possibly within add, so it must not access the stream.
  using Granted = std::function<void(std::size_t Bytes)>;

  /// Rate is the capacity of the host's link in bytes per second. Metrics
  /// receives the backlog; may be null.
  IngressPacer(boost::asio::io_context &Io, double Rate,
               MetricsRegistry *Metrics = nullptr);

  /// Adds the body of a call. Returns null if it cannot arrive before its
  /// deadline.
  std::unique_ptr<IngressBody> addCall(std::uint64_t Size,
                                       const BodyDeadlines &Deadlines,
                                       Granted OnGranted);

  /// Adds the body of an answer.
  std::unique_ptr<IngressBody> addAnswer(std::uint64_t Size,
                                         const BodyDeadlines &Deadlines,
                                         Granted OnGranted);

  /// Number of bodies that are being received.
  std::size_t bodies() const;

  /// See IngressAdmission::outstanding.
  std::size_t outstanding() const;

  /// See IngressAdmission::backlogTime.
  Duration backlogTime() const;

private:
  friend class IngressBody;
  using BodyNumber = IngressAdmission::BodyNumber;

  void onReceived(BodyNumber Number, std::size_t Bytes);
  void remove(BodyNumber Number);
  /// Passes on the credit that may be granted now, and arms the timer for the
  /// next one.
  void grant();
  /// Updates the gauge of the backlog. Requires Mutex_.
  void reportBacklog();
  /// Logs the refusals since the last line, one line a second at most. Requires
  /// Mutex_.
  void reportRefusal(std::uint64_t Size, TimePoint Now);

  MetricsRegistry *const Metrics_;
  boost::asio::steady_timer Timer_;
  mutable std::mutex Mutex_;
  // The members below require Mutex_.
  IngressAdmission Admission_;
  std::unordered_map<BodyNumber, Granted> Callbacks_;
  std::optional<TimePoint> Armed_;
  std::int64_t ReportedBacklog_ = 0;
  std::uint64_t Refusals_ = 0;
  std::optional<TimePoint> RefusalLoggedAt_;
};

} // namespace marigold::transport
