#include "Transport/HttpGetCalls.h"

namespace marigold::transport {

std::uint64_t HttpGetCalls::start(HttpGetRequest Request,
                                  HttpGetCallback Done) {
  // Held until the entry is stored: the completion handler takes the same lock,
  // so it cannot run before the entry exists.
  std::lock_guard Lock(Mutex_);
  if (Stopped_)
    return 0;
  std::uint64_t Number = ++LastCall_;
  Cancels_[Number] =
      httpGet(Io_, std::move(Request),
              [Self = shared_from_this(), Number,
               Done = std::move(Done)](Result<HttpGetResponse> Answer) {
                {
                  std::lock_guard FinishLock(Self->Mutex_);
                  Self->Cancels_.erase(Number);
                }
                Done(std::move(Answer));
              });
  return Number;
}

void HttpGetCalls::cancel(std::uint64_t Number) {
  HttpGetCancel Cancel;
  {
    std::lock_guard Lock(Mutex_);
    auto Position = Cancels_.find(Number);
    if (Position == Cancels_.end())
      return;
    Cancel = Position->second;
  }
  Cancel();
}

void HttpGetCalls::stop() {
  std::map<std::uint64_t, HttpGetCancel> Cancels;
  {
    std::lock_guard Lock(Mutex_);
    Stopped_ = true;
    Cancels.swap(Cancels_);
  }
  for (const auto &[Number, Cancel] : Cancels)
    Cancel();
}

bool HttpGetCalls::stopped() const {
  std::lock_guard Lock(Mutex_);
  return Stopped_;
}

} // namespace marigold::transport
