#include "bronzestand/instance_load.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

namespace bronzestand {
namespace {

/// Figures with more digits are not plausible.
constexpr std::size_t MaxDigits = 6;
constexpr std::size_t MinFigures = 3;
/// The pace travels in hundredths. A host that is ten times slower or faster than usual is not
/// plausible; a server whose figure has another unit would otherwise get no calls, or all.
constexpr double PaceUnits = 100.0;
constexpr double MinPace = 0.1;
constexpr double MaxPace = 10.0;
/// Time over which the pace is smoothed.
constexpr std::chrono::duration<double> SmoothingTime = std::chrono::milliseconds(100);

/// Weight of a call in the averages that tell how far times follow the pace. Times vary as much as
/// their mean, so that many calls are needed.
constexpr double EffectWeight = 0.001;
/// Bound on the logarithm of the time of a call over its mean, for answers without work.
constexpr double MaxLogRatio = 3.0;
/// Variance of the logarithm of the pace at which the measured effect counts as much as the assumed
/// one, which is that times are in proportion to the pace. That of a pace between 1 and 2 is 0.05
/// after smoothing.
constexpr double AssumedVariance = 0.005;

std::optional<std::uint32_t> parseFigure(std::string_view Text) {
  std::uint32_t Value = 0;
  const char *End = Text.data() + Text.size();
  const auto Parsed = std::from_chars(Text.data(), End, Value);
  if (Text.size() > MaxDigits || Parsed.ec != std::errc() || Parsed.ptr != End)
    return std::nullopt;
  return Value;
}

} // namespace

std::optional<InstanceLoad> parseInstanceLoad(std::string_view Text) {
  std::array<std::uint32_t, MinFigures + 1> Figures{};
  std::size_t Count = 0;
  for (bool More = true; More;) {
    const std::size_t Comma = Text.find(',');
    const auto Figure = parseFigure(Text.substr(0, Comma));
    if (!Figure || Count == Figures.size())
      return std::nullopt;
    Figures[Count++] = *Figure;
    More = Comma != std::string_view::npos;
    Text.remove_prefix(More ? Comma + 1 : Text.size());
  }
  if (Count < MinFigures)
    return std::nullopt;
  InstanceLoad Result{Figures[0], Figures[1], Figures[2], std::nullopt};
  const double Pace = Figures[MinFigures] / PaceUnits;
  if (Count > MinFigures && Pace >= MinPace && Pace <= MaxPace)
    Result.Pace_ = Pace;
  return Result;
}

void PaceMeter::answered(TimePoint Now, std::optional<double> Pace) {
  const std::chrono::duration<double> Age = Now - At_;
  const double Weight = 1.0 - std::exp(-Age / SmoothingTime);
  Pace_ += Weight * (Pace.value_or(1.0) - Pace_);
  At_ = Now;
}

void PaceMeter::ran(double Ratio) {
  if (Ratio <= 0.0)
    return;
  const double X = std::log(Pace_);
  const double Y = std::clamp(std::log(Ratio), -MaxLogRatio, MaxLogRatio);
  MeanX_ += EffectWeight * (X - MeanX_);
  MeanY_ += EffectWeight * (Y - MeanY_);
  MeanXX_ += EffectWeight * (X * X - MeanXX_);
  MeanXY_ += EffectWeight * (X * Y - MeanXY_);
}

double PaceMeter::effect() const {
  const double Variance = std::max(0.0, MeanXX_ - MeanX_ * MeanX_);
  const double Covariance = MeanXY_ - MeanX_ * MeanY_;
  return std::clamp((Covariance + AssumedVariance) / (Variance + AssumedVariance), 0.0, 1.0);
}

double PaceMeter::factor() const { return Pace_ == 1.0 ? 1.0 : std::pow(Pace_, effect()); }

} // namespace bronzestand
