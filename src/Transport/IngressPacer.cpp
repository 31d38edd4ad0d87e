#include "Transport/IngressPacer.h"

#include "Support/Log.h"

#include <chrono>

namespace marigold::transport {

IngressBody::~IngressBody() { Pacer_->remove(Number_); }

void IngressBody::onReceived(std::size_t Bytes) {
  Pacer_->onReceived(Number_, Bytes);
}

IngressPacer::IngressPacer(boost::asio::io_context &Io, double Rate,
                           MetricsRegistry *Metrics)
    : Metrics_(Metrics), Timer_(Io), Admission_(Rate) {}

std::unique_ptr<IngressBody>
IngressPacer::addCall(std::uint64_t Size, const BodyDeadlines &Deadlines,
                      Granted OnGranted) {
  std::optional<BodyNumber> Number;
  {
    std::lock_guard Lock(Mutex_);
    TimePoint Now = std::chrono::steady_clock::now();
    Number = Admission_.add(Size, Deadlines, Now);
    if (!Number) {
      reportRefusal(Size, Now);
      return nullptr;
    }
    Callbacks_.emplace(*Number, std::move(OnGranted));
  }
  auto Body = std::make_unique<IngressBody>(shared_from_this(), *Number);
  grant();
  return Body;
}

std::unique_ptr<IngressBody>
IngressPacer::addAnswer(std::uint64_t Size, const BodyDeadlines &Deadlines,
                        Granted OnGranted) {
  BodyNumber Number = 0;
  {
    std::lock_guard Lock(Mutex_);
    Number =
        Admission_.addAlways(Size, Deadlines, std::chrono::steady_clock::now());
    Callbacks_.emplace(Number, std::move(OnGranted));
  }
  auto Body = std::make_unique<IngressBody>(shared_from_this(), Number);
  grant();
  return Body;
}

std::size_t IngressPacer::bodies() const {
  std::lock_guard Lock(Mutex_);
  return Callbacks_.size();
}

std::size_t IngressPacer::outstanding() const {
  std::lock_guard Lock(Mutex_);
  return Admission_.outstanding();
}

Duration IngressPacer::backlogTime() const {
  std::lock_guard Lock(Mutex_);
  return Admission_.backlogTime();
}

void IngressPacer::reportBacklog() {
  auto Backlog = static_cast<std::int64_t>(Admission_.backlog());
  if (Metrics_ && Backlog != ReportedBacklog_)
    Metrics_->add(Metric::IngressBacklogBytes,
                  Backlog - std::exchange(ReportedBacklog_, Backlog));
}

void IngressPacer::reportRefusal(std::uint64_t Size, TimePoint Now) {
  ++Refusals_;
  if (RefusalLoggedAt_ && Now - *RefusalLoggedAt_ < std::chrono::seconds(1))
    return;
  RefusalLoggedAt_ = Now;
  logEvent(LogLevel::Info, "body_refused",
           {{"bytes", std::to_string(Size)},
            {"bodies", std::to_string(Callbacks_.size())},
            {"backlog_bytes", std::to_string(Admission_.backlog())},
            {"on_their_way_bytes", std::to_string(Admission_.outstanding())},
            {"refusals", std::to_string(std::exchange(Refusals_, 0))}});
}

void IngressPacer::onReceived(BodyNumber Number, std::size_t Bytes) {
  {
    std::lock_guard Lock(Mutex_);
    Admission_.onReceived(Number, Bytes, std::chrono::steady_clock::now());
  }
  grant();
}

void IngressPacer::remove(BodyNumber Number) {
  {
    std::lock_guard Lock(Mutex_);
    Admission_.remove(Number);
    Callbacks_.erase(Number);
  }
  grant();
}

void IngressPacer::grant() {
  std::vector<std::pair<Granted, std::size_t>> Calls;
  {
    std::lock_guard Lock(Mutex_);
    TimePoint Now = std::chrono::steady_clock::now();
    for (const IngressAdmission::Grant &Next : Admission_.grant(Now))
      Calls.emplace_back(Callbacks_.at(Next.Body_), Next.Bytes_);
    reportBacklog();
    auto At = Admission_.nextGrant(Now);
    if (At && (!Armed_ || *At < *Armed_)) {
      Armed_ = At;
      Timer_.expires_at(*At);
      Timer_.async_wait(
          [Weak = weak_from_this()](boost::system::error_code Error) {
            auto Self = Weak.lock();
            if (Error || !Self)
              return;
            {
              std::lock_guard Relock(Self->Mutex_);
              Self->Armed_.reset();
            }
            Self->grant();
          });
    }
  }
  for (auto &[Call, Bytes] : Calls)
    Call(Bytes);
}

} // namespace marigold::transport
