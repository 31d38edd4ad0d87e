#include "Admission/TransferForecast.h"

namespace marigold::admission {
namespace {

/// Size in bytes up to which an answer counts as small. It is sent as a single
/// chunk and does not wait for the link.
constexpr double SmallAnswerBytes = 16.0 * 1024;
/// Weight of a new size in the moving average.
constexpr double SmoothingFactor = 1.0 / 16;

} // namespace

void TransferForecast::MeanSize::addSample(double Sample) {
  Bytes_ = Bytes_ == 0 ? Sample : Bytes_ + (Sample - Bytes_) * SmoothingFactor;
}

std::size_t TransferForecast::largeSize(std::uint32_t Kind) const {
  const MeanSize *Known = Sizes_.find(Kind);
  if (!Known && Sizes_.full())
    Known = &Sizes_.all();
  return Known && Known->Bytes_ > SmallAnswerBytes
             ? static_cast<std::size_t>(Known->Bytes_)
             : 0;
}

void TransferForecast::onAdmitted(std::uint64_t Id, std::uint32_t Kind) {
  std::size_t Size = largeSize(Kind);
  if (Size != 0 && Running_.emplace(Id, Size).second)
    RunningBytes_ += Size;
}

void TransferForecast::onEnded(std::uint64_t Id, std::uint32_t Kind,
                               std::size_t Size) {
  auto Position = Running_.find(Id);
  if (Position != Running_.end()) {
    RunningBytes_ -= Position->second;
    Running_.erase(Position);
  }
  if (Size != 0)
    Sizes_.addSample(Kind, static_cast<double>(Size));
}

} // namespace marigold::admission
