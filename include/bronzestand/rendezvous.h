#ifndef BRONZESTAND_RENDEZVOUS_H
#define BRONZESTAND_RENDEZVOUS_H

#include <cstdint>
#include <string_view>
#include <vector>

#include "bronzestand/types.h"

namespace bronzestand {

/// Returns the rendezvous hashing score of a host for a key. All nodes compute the same score for
/// the same pair.
/// Cost: one 64-bit hash of the two strings.
std::uint64_t rendezvousScore(std::string_view Key, const HostId &Host);

/// Returns the hosts with the highest scores for a key, the highest first (design section 3).
/// Hosts with equal scores are ordered by id.
/// \param Key identifies what is placed on the hosts, for example a shard or a claim.
/// \param Candidates hosts to choose from, in any order, without duplicates.
/// \param Count maximum number of hosts to return.
/// Cost: one hash per candidate and a partial sort.
std::vector<HostId> topHosts(std::string_view Key, const std::vector<HostId> &Candidates,
                             std::size_t Count);

} // namespace bronzestand

#endif
