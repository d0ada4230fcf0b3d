#ifndef BRONZESTAND_NODE_MEMORY_LIMITS_H
#define BRONZESTAND_NODE_MEMORY_LIMITS_H

#include <cstddef>

namespace bronzestand::node {

/// Range of the memory that a process may be given, in MiB.
constexpr std::size_t MinMemoryMb = 64;
constexpr std::size_t MaxMemoryMb = 1024UL * 1024;
constexpr std::size_t DefaultMemoryMb = 256;
constexpr std::size_t BytesPerMb = 1024UL * 1024;

} // namespace bronzestand::node

#endif
