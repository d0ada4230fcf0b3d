#include "bronzestand/key_table.h"

#include <algorithm>
#include <array>
#include <iterator>

#include <boost/algorithm/hex.hpp>
#include <fmt/format.h>
#include <openssl/evp.h>

namespace bronzestand {

std::string hashKey(std::string_view Salt, std::string_view Key) {
  const std::string Input = fmt::format("{}:{}", Salt, Key);
  std::array<unsigned char, EVP_MAX_MD_SIZE> Digest{};
  unsigned Size = 0;
  EVP_Digest(Input.data(), Input.size(), Digest.data(), &Size, EVP_sha256(), nullptr);
  std::string Hex;
  boost::algorithm::hex_lower(Digest.begin(), Digest.begin() + Size, std::back_inserter(Hex));
  return Hex;
}

bool KeyTable::isConflict(const Entries &Items) {
  return std::any_of(Items.begin(), Items.end(), [&](const Entry &Item) {
    return Item.Owner_.Team_ != Items.front().Owner_.Team_;
  });
}

bool KeyTable::isUsable(const Entries &Items) {
  return !isConflict(Items) && std::none_of(Items.begin(), Items.end(),
                                            [](const Entry &Item) { return Item.Withdrawn_; });
}

template <typename Change> void KeyTable::changeEntries(const std::string &Hash, Change Apply) {
  Entries &Items = ByHash_[Hash];
  Conflicts_ -= isConflict(Items) ? 1U : 0U;
  Apply(Items);
  Conflicts_ += isConflict(Items) ? 1U : 0U;
  if (Items.empty())
    ByHash_.erase(Hash);
}

void KeyTable::setTeam(const TeamSpec &Team) {
  eraseTeam(Team.Name_);
  auto &Hashes = HashById_[Team.Name_];
  for (const KeySpec &Key : Team.Keys_) {
    Hashes[Key.Id_] = Key.Hash_;
    changeEntries(Key.Hash_, [&](Entries &Items) {
      Items.push_back({{Team.Name_, Key.Id_}, Key.Withdrawn_});
    });
  }
}

void KeyTable::eraseTeam(const TeamId &Team) {
  const auto Found = HashById_.find(Team);
  if (Found == HashById_.end())
    return;
  const auto IsOwn = [&](const Entry &Item) { return Item.Owner_.Team_ == Team; };
  for (const auto &[Id, Hash] : Found->second)
    changeEntries(Hash, [&](Entries &Items) {
      Items.erase(std::remove_if(Items.begin(), Items.end(), IsOwn), Items.end());
    });
  HashById_.erase(Found);
}

void KeyTable::rebuild(const Catalogue &Documents) {
  *this = KeyTable();
  setSalt(Documents.fleet().KeySalt_);
  for (const auto &[Name, Team] : Documents.teams())
    setTeam(Team);
}

std::optional<KeyOwner> KeyTable::authenticate(std::string_view Key) const {
  const auto Found = ByHash_.find(hashKey(Salt_, Key));
  if (Found == ByHash_.end() || !isUsable(Found->second))
    return std::nullopt;
  return Found->second.front().Owner_;
}

bool KeyTable::isValid(const TeamId &Team, const std::string &KeyId) const {
  const auto Hashes = HashById_.find(Team);
  if (Hashes == HashById_.end())
    return false;
  const auto Hash = Hashes->second.find(KeyId);
  return Hash != Hashes->second.end() && isUsable(ByHash_.at(Hash->second));
}

} // namespace bronzestand
