#include "Admission/TransferForecast.h"

namespace marigold::admission {
namespace {

/// Size up to which an answer goes out at once: one piece of a body.
constexpr double SmallBytes = 16.0 * 1024;
/// Weight of a new size in the mean.
constexpr double Smoothing = 1.0 / 16;

} // namespace

void TransferForecast::MeanSize::learn(double Sample) {
  Bytes_ = Bytes_ == 0 ? Sample : Bytes_ + (Sample - Bytes_) * Smoothing;
}

std::size_t TransferForecast::largeSize(std::uint32_t Kind) const {
  const MeanSize *Known = Sizes_.find(Kind);
  return Known && Known->Bytes_ > SmallBytes
             ? static_cast<std::size_t>(Known->Bytes_)
             : 0;
}

void TransferForecast::onAdmitted(std::uint64_t Id, std::uint32_t Kind) {
  std::size_t Size = largeSize(Kind);
  if (Size != 0 && Running_.emplace(Id, Size).second)
    Expected_ += Size;
}

void TransferForecast::onEnded(std::uint64_t Id, std::uint32_t Kind,
                               std::size_t Size) {
  auto Position = Running_.find(Id);
  if (Position != Running_.end()) {
    Expected_ -= Position->second;
    Running_.erase(Position);
  }
  if (Size != 0)
    Sizes_.learn(Kind, static_cast<double>(Size));
}

} // namespace marigold::admission
