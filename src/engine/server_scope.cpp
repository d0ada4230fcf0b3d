#include "bronzestand/server_scope.h"

namespace bronzestand {

AllowedRegions intersectRegions(const AllowedRegions &A, const AllowedRegions &B) {
  if (!A || !B)
    return A ? A : B;
  AllowedRegions Result(std::in_place);
  for (const RegionId &Region : *A)
    if (B->count(Region) != 0)
      Result->insert(Region);
  return Result;
}

} // namespace bronzestand
