#ifndef BRONZESTAND_KEY_TABLE_H
#define BRONZESTAND_KEY_TABLE_H

#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "bronzestand/config.h"
#include "bronzestand/types.h"

namespace bronzestand {

/// Computes the hash of a key as stored in a team document: hex(SHA-256(Salt + ":" + Key)).
std::string hashKey(std::string_view Salt, std::string_view Key);

struct KeyOwner {
  TeamId Team_;
  std::string KeyId_;
};

/// Maps API keys to teams. Stores only their hashes (design section 4).
///
/// A key is valid only while exactly one team lists its hash and no entry marks it as withdrawn. A
/// hash in the documents of two teams is valid for neither, because it is not known to which team
/// it belongs.
class KeyTable {
public:
  void setSalt(std::string Salt) { Salt_ = std::move(Salt); }
  /// Adds or replaces the keys of a team. Cost: linear in the team's old and new keys.
  void setTeam(const TeamSpec &Team);
  /// Removes the keys of a team. Cost: linear in the team's keys.
  void eraseTeam(const TeamId &Team);
  /// Rebuilds the table from the documents in force. Cost: linear in the number of keys.
  void rebuild(const Catalogue &Documents);

  /// Finds the owner of a key; nothing if the key is unknown, withdrawn or listed by two teams.
  /// Cost: one SHA-256 and one table access.
  std::optional<KeyOwner> authenticate(std::string_view Key) const;

  /// Tells whether a key that was accepted earlier is still valid. Cost: two table accesses.
  bool isValid(const TeamId &Team, const std::string &KeyId) const;

  /// Number of hashes, including withdrawn ones.
  std::size_t size() const { return ByHash_.size(); }
  /// Number of hashes that more than one team lists.
  std::size_t conflicts() const { return Conflicts_; }

private:
  struct Entry {
    KeyOwner Owner_;
    bool Withdrawn_ = false;
  };
  using Entries = std::vector<Entry>;

  static bool isConflict(const Entries &Items);
  static bool isUsable(const Entries &Items);
  template <typename Change> void changeEntries(const std::string &Hash, Change Apply);

  std::string Salt_;
  std::unordered_map<std::string, Entries> ByHash_;
  /// Hashes by team and key id.
  std::unordered_map<TeamId, std::unordered_map<std::string, std::string>> HashById_;
  std::size_t Conflicts_ = 0;
};

} // namespace bronzestand

#endif
