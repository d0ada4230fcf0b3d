#ifndef BRONZESTAND_NODE_LINK_PART_H
#define BRONZESTAND_NODE_LINK_PART_H

#include "bronzestand/link_budget.h"
#include "node/config_part.h"
#include "node/part.h"
#include "node/peer_links.h"

namespace bronzestand::node {

/// Applies the link budget to messages to other regions (design section 9). Calls need permission;
/// all other messages are only deducted from the budget.
class LinkPart final : public Part {
public:
  LinkPart(const Settings &Config, ConfigPart &Documents, PeerLinks &Links);

  /// Returns whether a call may be sent to a host, and deducts its size if it is sent to
  /// another region. Always true for
  /// hosts of the same region, and for all hosts if the link budget is disabled.
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
  bool Changed_ = true; ///< relevant documents have changed since the last refresh
};

} // namespace bronzestand::node

#endif
