#include "Transport/ShedPolicy.h"

#include <algorithm>
#include <tuple>

namespace marigold::transport {
namespace {

double progressRate(const SheddableMemory &Holder, TimePoint Now) {
  double Age = std::chrono::duration<double>(Now - Holder.Since_).count();
  constexpr double MinimumAge = 1e-6;
  return static_cast<double>(Holder.Moved_) /
         (static_cast<double>(Holder.Bytes_) * std::max(Age, MinimumAge));
}

/// Whether First gives way before Second.
bool goesBefore(const SheddableMemory &First, const SheddableMemory &Second,
                TimePoint Now) {
  bool FirstStalled = Now - First.LastProgress_ >= StallTime;
  bool SecondStalled = Now - Second.LastProgress_ >= StallTime;
  if (FirstStalled != SecondStalled)
    return FirstStalled;
  if (FirstStalled)
    return First.Bytes_ > Second.Bytes_;
  return progressRate(First, Now) < progressRate(Second, Now);
}

} // namespace

std::optional<std::size_t>
chooseHolderToShed(std::span<const SheddableMemory> Holders, TimePoint Now) {
  std::optional<std::size_t> Chosen;
  for (std::size_t Index = 0; Index < Holders.size(); ++Index)
    if (Holders[Index].Bytes_ > 0 &&
        (!Chosen || goesBefore(Holders[Index], Holders[*Chosen], Now)))
      Chosen = Index;
  return Chosen;
}

std::optional<std::size_t>
chooseConnectionToClose(std::span<const UnusedConnection> Connections) {
  std::optional<std::size_t> Chosen;
  auto Rank = [&](std::size_t Index) {
    const UnusedConnection &Connection = Connections[Index];
    return std::tuple(Connection.State_ != UnusedState::Silent,
                      Connection.Since_);
  };
  for (std::size_t Index = 0; Index < Connections.size(); ++Index)
    if (Connections[Index].State_ != UnusedState::InUse &&
        (!Chosen || Rank(Index) < Rank(*Chosen)))
      Chosen = Index;
  return Chosen;
}

} // namespace marigold::transport
