#include "StandIns/TargetModel.h"

#include <algorithm>
#include <random>

namespace marigold::standins {
namespace {

/// Sigma of the log-normal service time. With this value the 99th percentile is
/// about three times the mean.
constexpr double ServiceTimeSigma = 0.6;

/// Upper limit of a service time as a multiple of the mean, before the cold
/// start factor is applied.
constexpr double MaxServiceTimeFactor = 10;

/// Formats a ledger field: replaces spaces and control characters with
/// underscores. An empty field becomes "-".
std::string ledgerField(std::string_view Text) {
  std::string Field(Text.empty() ? "-" : Text);
  for (char &Character : Field)
    if (static_cast<unsigned char>(Character) <= ' ')
      Character = '_';
  return Field;
}

} // namespace

TargetModel::TargetModel(const TargetSettings &Settings, TimePoint Start)
    : Settings_(Settings), Start_(Start), Random_(Settings.RandomSeed_) {}

bool TargetModel::crashes(std::string_view Path) const {
  return !Settings_.CrashOn_.empty() &&
         Path.find(Settings_.CrashOn_) != std::string_view::npos;
}

bool TargetModel::acquireSlot() {
  if (Running_ >= Settings_.Slots_) {
    ++Shed_;
    return false;
  }
  ++Running_;
  return true;
}

std::string TargetModel::recordRun(std::string_view Id, std::string_view Key) {
  ++Runs_;
  std::string Field = ledgerField(Id);
  std::uint64_t Count = ++CountById_[Field];
  Lines_.push_back("run " + Field + ' ' + ledgerField(Key) + ' ' +
                   std::to_string(Count) + '\n');
  return Lines_.back();
}

std::string TargetModel::recordCut(std::string_view Id) {
  ++Cuts_;
  Lines_.push_back("cut " + ledgerField(Id) + '\n');
  return Lines_.back();
}

Duration TargetModel::serviceTime(TimePoint Now) {
  auto Mean = std::chrono::duration<double>(Settings_.ServiceTime_);
  // With mu = -sigma^2 / 2 the mean of the distribution is 1.
  std::lognormal_distribution<double> Shape(
      -ServiceTimeSigma * ServiceTimeSigma / 2, ServiceTimeSigma);
  double Factor = std::min(Shape(Random_.engine()), MaxServiceTimeFactor);
  auto Age = std::chrono::duration<double>(Now - Start_);
  auto Cold = std::chrono::duration<double>(Settings_.ColdStart_);
  if (Age < Cold) {
    double Remaining = 1 - Age / Cold;
    Factor *= 1 + (static_cast<double>(Settings_.ColdFactor_) - 1) * Remaining;
  }
  return std::chrono::duration_cast<Duration>(Mean * Factor);
}

double TargetModel::reportedLoad() const {
  if (Settings_.ReportedLoad_ == "idle")
    return 0;
  if (Settings_.ReportedLoad_ == "busy")
    return 1;
  return static_cast<double>(Running_) / static_cast<double>(Settings_.Slots_);
}

bool TargetModel::reportedHealthy() const {
  return Settings_.ReportedHealth_ != "unhealthy";
}

std::string TargetModel::ledger() const {
  std::string Text;
  for (const std::string &Line : Lines_)
    Text += Line;
  return Text + "cut_runs " + std::to_string(Cuts_) + '\n';
}

} // namespace marigold::standins
