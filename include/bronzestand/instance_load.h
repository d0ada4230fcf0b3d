#ifndef BRONZESTAND_INSTANCE_LOAD_H
#define BRONZESTAND_INSTANCE_LOAD_H

#include <cstdint>
#include <optional>
#include <string_view>

#include "bronzestand/types.h"

namespace bronzestand {

/// What a backend server says of its load in an answer.
struct InstanceLoad {
  std::uint32_t Running_ = 0;
  std::uint32_t Waiting_ = 0;
  std::uint32_t Slots_ = 0;
  /// Time that work takes on the server's host at this moment; 1 is usual, and no value means that
  /// the server does not tell it plausibly.
  std::optional<double> Pace_;
};

/// Reads "running,waiting,slots" or, with the pace in hundredths, "running,waiting,slots,pace".
/// \return std::nullopt unless these are three or four whole numbers of at most six digits.
std::optional<InstanceLoad> parseInstanceLoad(std::string_view Text);

/// The pace of a backend server, smoothed over its answers, because it changes many times a second
/// and a call takes as long. How far the times of calls follow it is measured: those of a server
/// that waits for other services follow it in part, and those of one that tells a false pace not at
/// all.
class PaceMeter {
public:
  /// Records the pace that an answer names. \param Pace std::nullopt if it names none.
  void answered(TimePoint Now, std::optional<double> Pace);
  /// Records the time of a call. \param Ratio over the mean of its class at the usual pace.
  void ran(double Ratio);
  /// Returns the factor by which calls take longer now than usual; 1 if no answer named a pace.
  double factor() const;
  /// Forgets everything, because the server is another one now.
  void reset() { *this = PaceMeter(); }

private:
  /// Returns the measured exponent of the pace in the times of calls, 0 to 1.
  double effect() const;

  double Pace_ = 1.0;
  TimePoint At_{};
  /// Moving averages of the logarithms of the pace (X) and of the time of calls (Y).
  double MeanX_ = 0.0;
  double MeanY_ = 0.0;
  double MeanXX_ = 0.0;
  double MeanXY_ = 0.0;
};

} // namespace bronzestand

#endif
