#include "Burn/BurnRender.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <sstream>

namespace marigold::burn {
namespace {

/// Maximum width of a bar in pixels, and the burn rate that it represents.
constexpr double BarWidth = 240;
constexpr double BarFullRate = 20;
/// Maximum number of causes listed per service in the table and HTML page.
constexpr std::size_t MaxCauses = 3;

std::string formatNumber(const std::optional<double> &Value, int Digits) {
  if (!Value)
    return "no data";
  if (std::isinf(*Value))
    return "over";
  std::ostringstream Out;
  Out << std::fixed << std::setprecision(Digits) << *Value;
  return Out.str();
}

std::optional<double> highestRate(const WindowBurn &Burn) {
  if (!Burn.AvailabilityRate_)
    return std::nullopt;
  return std::max(*Burn.AvailabilityRate_, Burn.LatencyRate_.value_or(0));
}

std::string formatPercent(const std::optional<double> &Fraction) {
  if (!Fraction)
    return "no data";
  return formatNumber(*Fraction * 100, 1) + "%";
}

std::string causesText(const ServiceBurn &Service) {
  std::string Text;
  for (std::size_t Index = 0;
       Index < std::min(MaxCauses, Service.Causes_.size()); ++Index) {
    const FailureCause &Cause = Service.Causes_[Index];
    Text += (Text.empty() ? "" : ", ") + Cause.FailureDomain_ + "/" +
            Cause.Outcome_ + "=" + formatNumber(Cause.Calls_, 0);
  }
  return Text.empty() ? "-" : Text;
}

nlohmann::json numberJson(const std::optional<double> &Value) {
  if (!Value)
    return nullptr;
  if (std::isinf(*Value))
    return "inf";
  return *Value;
}

nlohmann::json windowJson(const WindowBurn &Burn) {
  return {{"covered_s", std::chrono::duration<double>(Burn.Covered_).count()},
          {"calls", Burn.Counts_.Calls_},
          {"failed", Burn.Counts_.Failed_},
          {"slow", Burn.Counts_.Slow_},
          {"availability_burn", numberJson(Burn.AvailabilityRate_)},
          {"latency_burn", numberJson(Burn.LatencyRate_)}};
}

/// Renders a bar for a burn rate. It is grey and of full width if there is no
/// data, so that missing data is not mistaken for a low burn rate.
std::string barHtml(const std::optional<double> &Rate) {
  std::ostringstream Out;
  if (!Rate) {
    Out << "<svg width='" << BarWidth << "' height='12'><rect width='"
        << BarWidth << "' height='12' fill='#bbb'/></svg>";
    return Out.str();
  }
  double Width = std::min(BarWidth, *Rate / BarFullRate * BarWidth);
  Out << "<svg width='" << BarWidth << "' height='12'><rect width='" << Width
      << "' height='12' fill='" << (*Rate > 1 ? "#c33" : "#393") << "'/></svg>";
  return Out.str();
}

bool exceeds(const WindowBurn &Burn, double Limit) {
  auto Rate = highestRate(Burn);
  return Rate && *Rate > Limit;
}

} // namespace

BurnVerdict evaluate(const BurnReport &Report, double Limit) {
  bool DataMissing = !Report.MissingNodes_.empty();
  for (const ServiceBurn &Service : Report.Services_) {
    if (exceeds(Service.FastWindow_, Limit) &&
        exceeds(Service.SlowWindow_, Limit))
      return BurnVerdict::Burning;
    if (Service.State_ != DataState::Complete)
      DataMissing = true;
  }
  return DataMissing ? BurnVerdict::NoData : BurnVerdict::Good;
}

std::string renderTable(const BurnReport &Report) {
  std::ostringstream Out;
  Out << std::left << std::setw(24) << "service" << std::setw(10) << "data"
      << std::setw(12) << "fast burn" << std::setw(12) << "slow burn"
      << std::setw(14) << "budget left"
      << "causes\n";
  for (const ServiceBurn &Service : Report.Services_)
    Out << std::setw(24) << Service.Service_ << std::setw(10)
        << toText(Service.State_) << std::setw(12)
        << formatNumber(highestRate(Service.FastWindow_), 2) << std::setw(12)
        << formatNumber(highestRate(Service.SlowWindow_), 2) << std::setw(14)
        << formatPercent(Service.BudgetLeft_) << causesText(Service) << '\n';
  for (const std::string &Node : Report.MissingNodes_)
    Out << "no answer from node " << Node << '\n';
  return Out.str();
}

std::string renderJson(const BurnReport &Report) {
  nlohmann::json Root;
  Root["missing_nodes"] = Report.MissingNodes_;
  Root["services"] = nlohmann::json::array();
  for (const ServiceBurn &Service : Report.Services_) {
    nlohmann::json Causes = nlohmann::json::array();
    for (const FailureCause &Cause : Service.Causes_)
      Causes.push_back({{"failure_domain", Cause.FailureDomain_},
                        {"outcome", Cause.Outcome_},
                        {"calls", Cause.Calls_}});
    Root["services"].push_back(
        {{"service", Service.Service_},
         {"data", toText(Service.State_)},
         {"fast", windowJson(Service.FastWindow_)},
         {"slow", windowJson(Service.SlowWindow_)},
         {"budget_left", numberJson(Service.BudgetLeft_)},
         {"sources", Causes}});
  }
  return Root.dump(2) + "\n";
}

std::string renderHtml(const BurnReport &Report) {
  std::ostringstream Out;
  Out << "<!doctype html><meta charset='utf-8'><title>Service-level "
         "burn</title><style>body{font-family:sans-serif}td,th{padding:4px "
         "12px;text-align:left}</style><h1>Service-level "
         "burn</h1><table><tr><th>service<th>data<th>fast burn<th><th>slow "
         "burn<th><th>budget left<th>causes</tr>\n";
  for (const ServiceBurn &Service : Report.Services_)
    Out << "<tr><td>" << Service.Service_ << "<td>" << toText(Service.State_)
        << "<td>" << formatNumber(highestRate(Service.FastWindow_), 2) << "<td>"
        << barHtml(highestRate(Service.FastWindow_)) << "<td>"
        << formatNumber(highestRate(Service.SlowWindow_), 2) << "<td>"
        << barHtml(highestRate(Service.SlowWindow_)) << "<td>"
        << formatPercent(Service.BudgetLeft_) << "<td>" << causesText(Service)
        << "</tr>\n";
  Out << "</table>\n";
  for (const std::string &Node : Report.MissingNodes_)
    Out << "<p>No answer from node " << Node << ".</p>\n";
  return Out.str();
}

} // namespace marigold::burn
