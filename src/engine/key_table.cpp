#include "bronzestand/key_table.h"

#include <array>
#include <iterator>

#include <boost/algorithm/hex.hpp>
#include <fmt/format.h>
#include <openssl/evp.h>

namespace bronzestand {
namespace {

std::string validIdKey(const TeamId &Team, const std::string &KeyId) {
  return Team.str() + "/" + KeyId;
}

} // namespace

std::string hashKey(std::string_view Salt, std::string_view Key) {
  const std::string Input = fmt::format("{}:{}", Salt, Key);
  std::array<unsigned char, EVP_MAX_MD_SIZE> Digest{};
  unsigned Size = 0;
  EVP_Digest(Input.data(), Input.size(), Digest.data(), &Size, EVP_sha256(), nullptr);
  std::string Hex;
  boost::algorithm::hex_lower(Digest.begin(), Digest.begin() + Size, std::back_inserter(Hex));
  return Hex;
}

void KeyTable::rebuild(const Catalogue &Documents) {
  Salt_ = Documents.fleet().KeySalt_;
  OwnerByHash_.clear();
  ValidIds_.clear();
  for (const auto &[Name, Team] : Documents.teams()) {
    for (const KeySpec &Key : Team.Keys_) {
      if (Key.Withdrawn_)
        continue;
      OwnerByHash_.emplace(Key.Hash_, KeyOwner{Name, Key.Id_});
      ++ValidIds_[validIdKey(Name, Key.Id_)];
    }
  }
}

std::optional<KeyOwner> KeyTable::authenticate(std::string_view Key) const {
  const auto Found = OwnerByHash_.find(hashKey(Salt_, Key));
  if (Found == OwnerByHash_.end())
    return std::nullopt;
  return Found->second;
}

bool KeyTable::isValid(const TeamId &Team, const std::string &KeyId) const {
  return ValidIds_.count(validIdKey(Team, KeyId)) != 0;
}

} // namespace bronzestand
