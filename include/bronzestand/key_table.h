#ifndef BRONZESTAND_KEY_TABLE_H
#define BRONZESTAND_KEY_TABLE_H

#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "bronzestand/config.h"
#include "bronzestand/types.h"

namespace bronzestand {

/// Hash of a key as it stands in a team document: hex(SHA-256(Salt + ":" + Key)).
std::string hashKey(std::string_view Salt, std::string_view Key);

struct KeyOwner {
  TeamId Team_;
  std::string KeyId_;
};

/// Maps keys to teams. Holds hashes only (design section 4).
class KeyTable {
public:
  /// Rebuilds the table from the documents in force. Cost: linear in the number of keys.
  void rebuild(const Catalogue &Documents);

  /// Finds the team of a key; nothing if the key is unknown or withdrawn.
  /// Cost: one SHA-256 and one table access.
  std::optional<KeyOwner> authenticate(std::string_view Key) const;

  /// Tells whether a key that was accepted earlier is still valid.
  bool isValid(const TeamId &Team, const std::string &KeyId) const;

  std::size_t size() const { return OwnerByHash_.size(); }

private:
  std::string Salt_;
  std::unordered_map<std::string, KeyOwner> OwnerByHash_;
  std::unordered_map<std::string, std::size_t> ValidIds_;
};

} // namespace bronzestand

#endif
