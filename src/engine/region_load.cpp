#include "bronzestand/region_load.h"

#include <algorithm>

namespace bronzestand {
namespace {

/// Mean share of the slots in use up to which the whole penalty applies. Servers slow down above
/// it.
constexpr double BusyShare = 0.7;
/// Share from which on none applies, so that a tenth of the slots is left for the bursts of calls
/// that may run nowhere else.
constexpr double FullShare = 0.9;

} // namespace

// A server whose queue is long counts no more than a full one, because the others may have room.
void RegionLoad::add(double Share) {
  Sum_ += std::clamp(Share, 0.0, 1.0);
  ++Servers_;
}

double RegionLoad::distanceWeight() const {
  if (Servers_ == 0)
    return 1.0;
  const double Mean = Sum_ / static_cast<double>(Servers_);
  return std::clamp((FullShare - Mean) / (FullShare - BusyShare), 0.0, 1.0);
}

} // namespace bronzestand
