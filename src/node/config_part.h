#ifndef BRONZESTAND_NODE_CONFIG_PART_H
#define BRONZESTAND_NODE_CONFIG_PART_H

#include <functional>
#include <map>
#include <vector>

#include "bronzestand/config.h"
#include "bronzestand/key_table.h"
#include "node/log.h"
#include "node/part.h"
#include "node/platform_reader.h"

namespace bronzestand::node {

/// Holds the documents in force and tells other parts of changes (design section 4).
class ConfigPart final : public Part {
public:
  /// Told after a document came into force or was removed.
  using ChangeCallback = std::function<void(const std::string &Path)>;

  explicit ConfigPart(PlatformReader &Reader);

  const Catalogue &catalogue() const { return Catalogue_; }
  const KeyTable &keys() const { return Keys_; }
  /// The highest revision in force.
  Revision revision() const { return Revision_; }
  /// Revisions in force by path; a removed document keeps the revision of its removal.
  const std::map<std::string, Revision> &inForce() const { return InForce_; }
  bool isReady() const { return Revision_ != 0; }
  void addChangeCallback(ChangeCallback Callback) { OnChange_.push_back(std::move(Callback)); }

  std::string_view name() const override { return "config"; }
  absl::Status start() override;
  void stop() override {}
  nlohmann::json dump() const override;

private:
  void onReply(const PlatformReply &Reply);
  void apply(const PlatformValue &Value);

  PlatformReader &Reader_;
  Logger Log_;
  Catalogue Catalogue_;
  KeyTable Keys_;
  Revision Revision_ = 0;
  std::map<std::string, Revision> InForce_;
  std::map<std::string, std::string> Refused_;
  std::vector<ChangeCallback> OnChange_;
};

} // namespace bronzestand::node

#endif
