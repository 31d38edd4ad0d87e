#include "Support/Metrics.h"

#include <algorithm>
#include <sstream>

namespace marigold {
namespace {

std::string escapeLabel(const std::string &Value) {
  std::string Escaped;
  for (char Character : Value) {
    if (Character == '\n') {
      Escaped += "\\n";
      continue;
    }
    if (Character == '"' || Character == '\\')
      Escaped += '\\';
    Escaped += Character;
  }
  return Escaped;
}

/// Formats labels as {name="value",...}, or as an empty string if there are
/// none. Extra is an already formatted pair or empty.
std::string labelText(const MetricInfo &Info, const MetricLabels &Labels,
                      const std::string &Extra = {}) {
  std::string Text;
  for (std::size_t Index = 0; Index < MaxMetricLabels; ++Index) {
    if (Info.Labels_[Index].empty())
      continue;
    Text += Text.empty() ? "" : ",";
    Text += std::string(Info.Labels_[Index]) + "=\"" +
            escapeLabel(Labels[Index]) + "\"";
  }
  if (!Extra.empty())
    Text += (Text.empty() ? "" : ",") + Extra;
  return Text.empty() ? Text : "{" + Text + "}";
}

std::string_view kindText(MetricKind Kind) {
  switch (Kind) {
  case MetricKind::Counter:
    return "counter";
  case MetricKind::Gauge:
    return "gauge";
  case MetricKind::Histogram:
    break;
  }
  return "histogram";
}

} // namespace

MetricsRegistry::MetricsRegistry() {
  for (auto &Slot : Families_)
    Slot = std::make_unique<Family>();
}

MetricsRegistry::Family &MetricsRegistry::family(Metric Which) {
  return *Families_[static_cast<std::size_t>(Which)];
}

std::atomic<std::int64_t> &MetricsRegistry::value(Metric Which,
                                                  std::string_view First,
                                                  std::string_view Second) {
  Family &Owner = family(Which);
  MetricLabels Labels{std::string(First), std::string(Second)};
  std::lock_guard Lock(Owner.Mutex_);
  return Owner.Values_.try_emplace(std::move(Labels), 0).first->second;
}

void MetricsRegistry::add(Metric Which, std::int64_t Amount,
                          std::string_view First, std::string_view Second) {
  value(Which, First, Second).fetch_add(Amount, std::memory_order_relaxed);
}

void MetricsRegistry::set(Metric Which, std::int64_t Amount,
                          std::string_view First, std::string_view Second) {
  value(Which, First, Second).store(Amount, std::memory_order_relaxed);
}

void MetricsRegistry::observe(Metric Which, Duration Sample,
                              std::string_view First, std::string_view Second) {
  Family &Owner = family(Which);
  MetricLabels Labels{std::string(First), std::string(Second)};
  double Seconds = std::chrono::duration<double>(Sample).count();
  std::size_t Bucket = static_cast<std::size_t>(
      std::ranges::lower_bound(HistogramBounds, Seconds) -
      HistogramBounds.begin());
  std::lock_guard Lock(Owner.Mutex_);
  if (Owner.Histograms_.size() >= MaxHistogramSeries &&
      !Owner.Histograms_.contains(Labels))
    Labels.fill(std::string(OtherLabel));
  Histogram &Samples = Owner.Histograms_[Labels];
  ++Samples.Counts_[Bucket];
  Samples.Sum_ += Seconds;
}

std::int64_t MetricsRegistry::total(Metric Which) const {
  const Family &Owner = *Families_[static_cast<std::size_t>(Which)];
  std::lock_guard Lock(Owner.Mutex_);
  std::int64_t Sum = 0;
  for (const auto &[Labels, Value] : Owner.Values_)
    Sum += Value.load(std::memory_order_relaxed);
  return Sum;
}

std::string MetricsRegistry::render() const {
  std::ostringstream Out;
  for (std::size_t Index = 0; Index < MetricCount; ++Index) {
    const MetricInfo &Info = metricInfo(static_cast<Metric>(Index));
    const Family &Owner = *Families_[Index];
    std::lock_guard Lock(Owner.Mutex_);
    if (Owner.Values_.empty() && Owner.Histograms_.empty())
      continue;
    std::string Name = "marigold_" + std::string(Info.Name_);
    Out << "# HELP " << Name << ' ' << Info.Help_ << "\n# TYPE " << Name << ' '
        << kindText(Info.Kind_) << '\n';
    for (const auto &[Labels, Value] : Owner.Values_)
      Out << Name << labelText(Info, Labels) << ' ' << Value.load() << '\n';
    for (const auto &[Labels, Samples] : Owner.Histograms_)
      render(Out, Name, Info, Labels, Samples);
  }
  return Out.str();
}

void MetricsRegistry::render(std::ostream &Out, const std::string &Name,
                             const MetricInfo &Info, const MetricLabels &Labels,
                             const Histogram &Samples) {
  std::uint64_t Count = 0;
  for (std::size_t Bucket = 0; Bucket < Samples.Counts_.size(); ++Bucket) {
    Count += Samples.Counts_[Bucket];
    std::ostringstream Bound;
    if (Bucket < HistogramBounds.size())
      Bound << HistogramBounds[Bucket];
    else
      Bound << "+Inf";
    Out << Name << "_bucket"
        << labelText(Info, Labels, "le=\"" + Bound.str() + "\"") << ' ' << Count
        << '\n';
  }
  Out << Name << "_sum" << labelText(Info, Labels) << ' ' << Samples.Sum_
      << '\n'
      << Name << "_count" << labelText(Info, Labels) << ' ' << Count << '\n';
}

} // namespace marigold
