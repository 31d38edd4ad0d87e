#include "Routing/ChoiceStrategy.h"

#include <algorithm>
#include <array>
#include <string>
#include <vector>

namespace marigold::routing {
namespace {

/// Utilization from which two-choices-local also considers the next locality.
/// Below it a host has free slots, so that a farther one gains nothing.
constexpr double SpillUtilization = 0.8;

/// Draws until a host in slow start is passed over for the last time.
constexpr int MaxDraws = 4;

/// A random position at which each host's probability grows with its weight.
std::size_t draw(std::span<const Candidate> Candidates, Random &Rng) {
  std::size_t Position = 0;
  for (int Draw = 0; Draw < MaxDraws; ++Draw) {
    Position = Rng.below(Candidates.size());
    if (Candidates[Position].Weight_ >= 1 ||
        Rng.chance(Candidates[Position].Weight_))
      break;
  }
  return Position;
}

/// The cheaper of two random hosts.
std::size_t drawCheaper(std::span<const Candidate> Candidates, Random &Rng) {
  std::size_t First = draw(Candidates, Rng);
  if (Candidates.size() == 1)
    return First;
  std::size_t Second = draw(Candidates, Rng);
  if (Second == First)
    Second = (First + 1 + Rng.below(Candidates.size() - 1)) % Candidates.size();
  // A host in slow start is rarely drawn; the second draw must not bring it
  // back merely because it is idle.
  double FirstCost = Candidates[First].Cost_ / Candidates[First].Weight_;
  double SecondCost = Candidates[Second].Cost_ / Candidates[Second].Weight_;
  return SecondCost < FirstCost ? Second : First;
}

class RandomChoice : public ChoiceStrategy {
public:
  std::size_t pick(std::span<const Candidate> Candidates,
                   Random &Rng) override {
    return draw(Candidates, Rng);
  }
};

class RoundRobin : public ChoiceStrategy {
public:
  std::size_t pick(std::span<const Candidate> Candidates,
                   Random &Rng) override {
    // Nodes that start together must not walk through the hosts in step.
    if (Next_ == 0)
      Next_ = 1 + Rng.below(Candidates.size());
    for (std::size_t Step = 0; Step < Candidates.size(); ++Step) {
      std::size_t Position = Next_++ % Candidates.size();
      if (Candidates[Position].Weight_ >= 1 ||
          Rng.chance(Candidates[Position].Weight_))
        return Position;
    }
    return Next_++ % Candidates.size();
  }

private:
  std::uint64_t Next_ = 0;
};

class TwoChoices : public ChoiceStrategy {
public:
  std::size_t pick(std::span<const Candidate> Candidates,
                   Random &Rng) override {
    return drawCheaper(Candidates, Rng);
  }
};

class TwoChoicesLocal : public ChoiceStrategy {
public:
  std::size_t pick(std::span<const Candidate> Candidates,
                   Random &Rng) override {
    for (auto &Group : Groups_)
      Group.clear();
    for (std::size_t Index = 0; Index < Candidates.size(); ++Index) {
      auto Place = static_cast<std::size_t>(Candidates[Index].Locality_);
      Groups_[Place].push_back(Candidates[Index]);
      Groups_[Place].back().Index_ = Index;
    }
    const Candidate *Best = nullptr;
    for (const auto &Group : Groups_) {
      if (Group.empty())
        continue;
      const Candidate &Pick = Group[drawCheaper(Group, Rng)];
      // A nearer host wins a tie of two full ones.
      if (!Best || Pick.Cost_ / Pick.Weight_ < Best->Cost_ / Best->Weight_)
        Best = &Pick;
      if (Best->Utilization_ < SpillUtilization)
        break;
    }
    return Best->Index_;
  }

private:
  /// Kept between calls, so that a pick does not allocate.
  std::array<std::vector<Candidate>, LocalityCount> Groups_;
};

} // namespace

Result<std::unique_ptr<ChoiceStrategy>> makeStrategy(std::string_view Name) {
  std::unique_ptr<ChoiceStrategy> Strategy;
  if (Name == "random")
    Strategy = std::make_unique<RandomChoice>();
  else if (Name == "round-robin")
    Strategy = std::make_unique<RoundRobin>();
  else if (Name == "two-choices")
    Strategy = std::make_unique<TwoChoices>();
  else if (Name == "two-choices-local")
    Strategy = std::make_unique<TwoChoicesLocal>();
  else
    return fail(ErrorCode::SettingInvalid,
                "unknown strategy " + std::string(Name));
  return Strategy;
}

} // namespace marigold::routing
