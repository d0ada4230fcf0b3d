#ifndef BRONZESTAND_NODE_CLOCK_H
#define BRONZESTAND_NODE_CLOCK_H

#include "bronzestand/types.h"

namespace bronzestand::node {

/// Reads CLOCK_BOOTTIME, which also counts the time that a host is suspended.
TimePoint now();

/// Microseconds since the Unix epoch; used for incarnations and times within keys only.
std::uint64_t wallMicroseconds();

} // namespace bronzestand::node

#endif
