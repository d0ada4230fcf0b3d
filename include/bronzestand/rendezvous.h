#ifndef BRONZESTAND_RENDEZVOUS_H
#define BRONZESTAND_RENDEZVOUS_H

#include <cstdint>
#include <string_view>
#include <vector>

#include "bronzestand/types.h"

namespace bronzestand {

/// Score of a host for a key. All nodes compute the same score for the same pair.
/// Cost: one 64-bit hash of the two strings.
std::uint64_t rendezvousScore(std::string_view Key, const HostId &Host);

/// Returns the hosts with the highest scores for a key, best first (design section 3).
/// \param Key what is being placed, for example a shard or a claim.
/// \param Candidates hosts to choose from, in any order, without duplicates.
/// \param Count how many to return at most.
/// Cost: one hash per candidate and a partial sort.
std::vector<HostId> topHosts(std::string_view Key, const std::vector<HostId> &Candidates,
                             std::size_t Count);

} // namespace bronzestand

#endif
