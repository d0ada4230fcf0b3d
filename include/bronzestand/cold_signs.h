#ifndef BRONZESTAND_COLD_SIGNS_H
#define BRONZESTAND_COLD_SIGNS_H

#include <array>
#include <cstdint>
#include <optional>
#include <unordered_map>

#include "bronzestand/call.h"
#include "bronzestand/types.h"

namespace bronzestand {

namespace detail {

/// A mean of values that arrive at irregular times, over about the last seconds.
class RecentMean {
public:
  /// Records a value. \return the weight that it got.
  double add(TimePoint Now, double Value);
  double value() const { return Value_; }
  /// Returns whether enough values have been recorded lately to compare others with them.
  bool isKnown(TimePoint Now) const;

private:
  double Value_ = 0.0;
  std::uint32_t Count_ = 0;
  TimePoint At_{};
};

/// Detects that values have risen by half above their own recent mean, with a cumulative sum that
/// weighs them by their variance.
class RiseDetector {
public:
  void add(TimePoint Now, double Value);
  bool hasRisen() const;

private:
  RecentMean Mean_;
  double Variance_ = 0.0;
  double Sum_ = 0.0;
};

/// The distribution of the times of calls over the last seconds, in steps of an eighth of the time
/// that was expected.
class TimeDistribution {
public:
  static constexpr std::size_t Steps = 32;
  static constexpr double StepsPerMean = 8.0;

  /// Records that a call ended in a step. \param Step of at most Steps.
  void add(TimePoint Now, std::size_t Step);
  /// Returns the share of the calls that reach a step and end in it; std::nullopt if too few
  /// reach it.
  std::optional<double> endShare(std::size_t Step) const;

private:
  std::array<double, Steps + 1> Ended_{}; ///< weights of calls; the last is of all later steps
  TimePoint At_{};
};

} // namespace detail

/// Detects that a warm backend server has probably become cold: its calls take twice as long as
/// those of the last seconds, or the pace that it names has risen by half. Times are compared
/// within a class and corrected for the load, as far as they are seen to follow it. Calls that have
/// not ended count by the time for which they run, because the first answers of a slow server are
/// those of short calls. docs/design/cold-servers.md.
class ColdSigns {
public:
  /// Records that a call is sent. \param Running calls at the server, including it.
  void started(TimePoint Now, CallId Call, const ClassId &Class, std::uint32_t Running);
  /// Records that a call has ended; does nothing for an unknown one. \param Served whether the
  /// server ran it to its end. \param Pace that the answer names, as InstanceLoad::Pace_.
  void ended(TimePoint Now, CallId Call, bool Served, std::optional<double> Pace);
  /// Returns whether the server has probably become slow.
  bool isSlow(TimePoint Now);
  /// Forgets everything, because the present speed is the usual one from now on.
  void reset() { *this = ColdSigns(); }
  /// Forgets the running calls, because the server runs them at another speed than the usual one.
  void pause();

private:
  struct Running {
    ClassId Class_;
    TimePoint SentAt_;
    double MeanS_ = 0.0;   ///< expected time; 0 if not known
    double Load_ = 0.0;    ///< logarithm of the number of calls
    std::size_t Step_ = 0; ///< that it has reached
  };

  /// Returns the exponent with which the times of calls follow the number of calls, 0 to 1.
  double loadEffect() const;
  void learn(TimePoint Now, const Running &Call, double Time);
  /// Counts the steps that a call has passed without an end.
  void pass(TimePoint Now, Running &Call);
  void addOdds(double Odds);

  std::unordered_map<CallId, Running> Running_;
  std::unordered_map<ClassId, detail::RecentMean> Classes_; ///< times, in seconds
  detail::RecentMean Load_;
  double LoadVariance_ = 0.0;
  double Covariance_ = 0.0; ///< of that and the time over its mean
  detail::TimeDistribution Times_;
  double Odds_ = 0.0; ///< logarithm, for calls that take twice as long, since these were likely
  TimePoint PassedAt_{};
  detail::RiseDetector Paces_;
};

} // namespace bronzestand

#endif
