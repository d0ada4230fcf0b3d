#ifndef BRONZESTAND_NODE_LINK_PART_H
#define BRONZESTAND_NODE_LINK_PART_H

#include "bronzestand/link_budget.h"
#include "node/config_part.h"
#include "node/part.h"
#include "node/peer_links.h"

namespace bronzestand::node {

/// Binds the budget of the cross-region link: calls ask before they cross, everything else is
/// counted (design section 9).
class LinkPart final : public Part {
public:
  LinkPart(const Settings &Config, ConfigPart &Documents, PeerLinks &Links);

  /// Asks to send a call to a host; always granted within the region.
  bool mayCall(const HostId &To, const Call &Request);

  std::string_view name() const override { return "link_budget"; }
  absl::Status start() override;
  void stop() override {}
  void tick(TimePoint Now) override;
  nlohmann::json dump() const override;

private:
  bool crosses(const HostId &To) const;
  void refresh();

  const Settings &Config_;
  ConfigPart &Documents_;
  PeerLinks &Links_;
  LinkBudget Budget_;
  bool Changed_ = true; ///< documents have changed since the last refresh
};

} // namespace bronzestand::node

#endif
