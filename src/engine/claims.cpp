#include "bronzestand/claims.h"

#include <algorithm>
#include <array>
#include <cctype>

#include <fmt/format.h>
#include <openssl/sha.h>

#include "bronzestand/rendezvous.h"

namespace bronzestand {

namespace {

/// Unix time in ms of a UUIDv7 in its 36-character form; 0 for any other key. A key that a node
/// derived for a child call, "<uuid>/1", has the time of its parent, which precedes its first
/// claim.
std::int64_t uuidV7Time(const std::string &Key) {
  if (Key.size() < 36 || (Key.size() > 36 && Key[36] != '/') || Key[8] != '-' || Key[13] != '-' ||
      Key[14] != '7' || Key[18] != '-' || Key[23] != '-')
    return 0;
  std::int64_t Time = 0;
  for (std::size_t Index = 0; Index < 13; ++Index) {
    if (Index == 8)
      continue;
    const int Char = std::tolower(static_cast<unsigned char>(Key[Index]));
    if (std::isxdigit(Char) == 0)
      return 0;
    Time = Time * 16 + (Char <= '9' ? Char - '0' : Char - 'a' + 10);
  }
  return Time;
}

std::uint64_t readWord(const unsigned char *Bytes) {
  std::uint64_t Word = 0;
  for (int Index = 0; Index < 8; ++Index)
    Word = (Word << 8U) | Bytes[Index];
  return Word;
}

} // namespace

ClaimDigest digestOf(const ClaimKey &Key) {
  // The lengths ensure that different keys have different texts.
  const std::string Text = fmt::format("{}:{}:{}:{}:{}", Key.Team_.str().size(), Key.Team_.str(),
                                       Key.Route_.size(), Key.Route_, Key.IdempotencyKey_);
  std::array<unsigned char, SHA256_DIGEST_LENGTH> Hash{};
  SHA256(reinterpret_cast<const unsigned char *>(Text.data()), Text.size(), Hash.data());
  return {readWord(Hash.data()), readWord(Hash.data() + 8), uuidV7Time(Key.IdempotencyKey_)};
}

std::vector<HostId> witnessSet(std::uint32_t Slot, const std::vector<ClaimHost> &Hosts) {
  const std::string Name = fmt::format("claims/{}", Slot);
  std::vector<std::pair<std::uint64_t, const ClaimHost *>> Order;
  Order.reserve(Hosts.size());
  for (const ClaimHost &Host : Hosts)
    Order.emplace_back(rendezvousScore(Name, Host.Id_), &Host);
  std::sort(Order.begin(), Order.end(), [](const auto &A, const auto &B) {
    return A.first != B.first ? A.first > B.first : A.second->Id_ < B.second->Id_;
  });
  std::vector<const ClaimHost *> ChosenHosts;
  // Pass 0: other data centres of the first host's region; 1: any other data centre; 2: any host.
  for (int Pass = 0; Pass < 3; ++Pass) {
    for (const auto &[Score, Host] : Order) {
      const bool Fits = std::none_of(
          ChosenHosts.begin(), ChosenHosts.end(), [&, Host = Host](const ClaimHost *Other) {
            return Other == Host || (Pass < 2 && Other->DataCentre_ == Host->DataCentre_) ||
                   (Pass < 1 && Other->Region_ != Host->Region_);
          });
      if (Fits && ChosenHosts.size() < 3)
        ChosenHosts.push_back(Host);
    }
  }
  std::vector<HostId> Members;
  Members.reserve(ChosenHosts.size());
  for (const ClaimHost *Host : ChosenHosts)
    Members.push_back(Host->Id_);
  std::sort(Members.begin(), Members.end());
  return Members;
}

} // namespace bronzestand
