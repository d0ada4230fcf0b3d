#include "bronzestand/rendezvous.h"

#include <algorithm>
#include <utility>

#include <xxhash.h>

namespace bronzestand {

std::uint64_t rendezvousScore(std::string_view Key, const HostId &Host) {
  const std::uint64_t KeyHash = XXH3_64bits(Key.data(), Key.size());
  return XXH3_64bits_withSeed(Host.str().data(), Host.str().size(), KeyHash);
}

std::vector<HostId> topHosts(std::string_view Key, const std::vector<HostId> &Candidates,
                             std::size_t Count) {
  std::vector<std::pair<std::uint64_t, const HostId *>> Scored;
  Scored.reserve(Candidates.size());
  for (const HostId &Host : Candidates)
    Scored.emplace_back(rendezvousScore(Key, Host), &Host);
  const auto Better = [](const auto &A, const auto &B) {
    return A.first != B.first ? A.first > B.first : *A.second < *B.second;
  };
  const std::size_t Kept = std::min(Count, Scored.size());
  std::partial_sort(Scored.begin(), Scored.begin() + static_cast<std::ptrdiff_t>(Kept),
                    Scored.end(), Better);
  std::vector<HostId> Result;
  Result.reserve(Kept);
  for (std::size_t Index = 0; Index < Kept; ++Index)
    Result.push_back(*Scored[Index].second);
  return Result;
}

} // namespace bronzestand
