#ifndef BRONZESTAND_REGION_LOAD_H
#define BRONZESTAND_REGION_LOAD_H

#include <cstddef>

namespace bronzestand {

/// Answers how much of the penalty for another region applies to a call that may run anywhere, by
/// how busy the servers of its own region are. Load pattern: a region filled by calls that may run
/// nowhere else, while another one has room. docs/design/allowed-regions.md.
class RegionLoad {
public:
  /// Adds a server of the region. \param Share its outstanding calls per slot.
  void add(double Share);
  /// Returns the factor on the penalty, 0 to 1; 1 if nothing is known.
  double distanceWeight() const;

private:
  double Sum_ = 0.0;
  std::size_t Servers_ = 0;
};

} // namespace bronzestand

#endif
