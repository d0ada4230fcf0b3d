#include "node/time_histogram.h"

#include <algorithm>

#include <fmt/format.h>

namespace bronzestand::node {
namespace {

using nlohmann::json;

constexpr double LowestSeconds = 1e-5;
constexpr double HighestSeconds = 100.0;
constexpr unsigned BucketCount = 35;

} // namespace

TimeHistogram::TimeHistogram()
    : Buckets_(std::make_tuple(Axis(BucketCount, LowestSeconds, HighestSeconds))) {}

void TimeHistogram::add(Duration Time) {
  const double Seconds = std::chrono::duration<double>(Time).count();
  Buckets_(std::max(Seconds, 0.0));
  ++Count_;
  SumSeconds_ += Seconds;
}

double TimeHistogram::quantile(double Quantile) const {
  const double TargetCount = Quantile * static_cast<double>(Count_);
  double Cumulative = 0.0;
  for (int Index = -1; Index < Buckets_.axis().size() && Count_ != 0; ++Index) {
    Cumulative += static_cast<double>(Buckets_.at(Index));
    if (Cumulative >= TargetCount)
      return Buckets_.axis().value(Index + 1);
  }
  return Count_ == 0 ? 0.0 : HighestSeconds;
}

json TimeHistogram::dump() const {
  return {{"count", Count_},
          {"sum_seconds", SumSeconds_},
          {"p50_seconds", quantile(0.5)},
          {"p99_seconds", quantile(0.99)}};
}

void TimeHistogram::print(std::string &Out, std::string_view Name,
                          const std::string &Labels) const {
  double Cumulative = 0.0;
  for (int Index = -1; Index < Buckets_.axis().size(); ++Index) {
    Cumulative += static_cast<double>(Buckets_.at(Index));
    Out += fmt::format("{}_bucket{{{}le=\"{:.6g}\"}} {:.0f}\n", Name, Labels,
                       Buckets_.axis().value(Index + 1), Cumulative);
  }
  Out += fmt::format("{}_bucket{{{}le=\"+Inf\"}} {}\n", Name, Labels, Count_);
  const std::string Braces = Labels.empty() ? "" : "{" + Labels.substr(0, Labels.size() - 1) + "}";
  Out += fmt::format("{}_sum{} {:.9g}\n{}_count{} {}\n", Name, Braces, SumSeconds_, Name, Braces,
                     Count_);
}

} // namespace bronzestand::node
