#include "Admission/TransferForecast.h"

namespace marigold::admission {
namespace {

/// Size up to which an answer goes out at once: one piece of a body.
constexpr double SmallBytes = 16.0 * 1024;
/// Weight of a new size in the mean.
constexpr double Smoothing = 1.0 / 16;

} // namespace

std::size_t TransferForecast::bytesFor(Priority Value) const {
  double Mean = Mean_[static_cast<std::size_t>(Value)];
  return Mean <= SmallBytes ? 0 : Expected_ + static_cast<std::size_t>(Mean);
}

void TransferForecast::onAdmitted(std::uint64_t Id, Priority Value) {
  double Mean = Mean_[static_cast<std::size_t>(Value)];
  if (Mean <= SmallBytes)
    return;
  auto Size = static_cast<std::size_t>(Mean);
  if (Running_.emplace(Id, Size).second)
    Expected_ += Size;
}

void TransferForecast::onEnded(std::uint64_t Id, Priority Value,
                               std::size_t Size) {
  auto Position = Running_.find(Id);
  if (Position != Running_.end()) {
    Expected_ -= Position->second;
    Running_.erase(Position);
  }
  if (Size == 0)
    return;
  double &Mean = Mean_[static_cast<std::size_t>(Value)];
  auto Sample = static_cast<double>(Size);
  Mean = Mean == 0 ? Sample : Mean + (Sample - Mean) * Smoothing;
}

} // namespace marigold::admission
