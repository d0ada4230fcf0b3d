#ifndef BRONZESTAND_NODE_TIME_HISTOGRAM_H
#define BRONZESTAND_NODE_TIME_HISTOGRAM_H

#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>

#include <boost/histogram.hpp>
#include <nlohmann/json.hpp>

#include "bronzestand/types.h"

namespace bronzestand::node {

/// Histogram of times from 10 us to 100 s, five buckets per decade.
class TimeHistogram {
public:
  TimeHistogram();
  void add(Duration Time);
  /// Returns the upper bound of the bucket that contains a quantile, in seconds; 0 if the histogram
  /// is empty.
  /// \param Quantile 0 to 1.
  double quantile(double Quantile) const;
  nlohmann::json dump() const;
  /// Appends the lines of a Prometheus histogram.
  /// \param Labels text inside the braces, either empty or ending in a comma.
  void print(std::string &Out, std::string_view Name, const std::string &Labels) const;

private:
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;

  boost::histogram::histogram<std::tuple<Axis>> Buckets_;
  std::uint64_t Count_ = 0;
  double SumSeconds_ = 0.0;
};

} // namespace bronzestand::node

#endif
