#ifndef BRONZESTAND_NODE_CONFIG_PART_H
#define BRONZESTAND_NODE_CONFIG_PART_H

#include <functional>
#include <set>
#include <vector>

#include "bronzestand/config.h"
#include "bronzestand/config_spread.h"
#include "bronzestand/key_table.h"
#include "node/log.h"
#include "node/part.h"
#include "node/peer_links.h"
#include "node/platform_reader.h"

namespace bronzestand::node {

/// Holds the documents in force, spreads them between nodes and tells other parts of changes
/// (design section 4).
class ConfigPart final : public Part {
public:
  /// Told after a document came into force or was removed.
  using ChangeCallback = std::function<void(const std::string &Path)>;
  using LiveHosts = std::function<std::vector<HostId>(const DataCentreId &DataCentre)>;

  ConfigPart(PlatformReader &Reader, PeerLinks &Links, const Settings &Config, Incarnation Run);

  const Catalogue &catalogue() const { return Catalogue_; }
  const KeyTable &keys() const { return Keys_; }
  /// Every change of the platform up to this revision is held; later ones may be in force too.
  Revision revision() const { return Spread_.syncedRevision(); }
  /// Tells whether requests may be served on the documents: the start-up gate is open and there
  /// are documents.
  bool isReady() const { return Spread_.ready() && Spread_.store().newestAccepted() != 0; }
  /// Revisions in force by path; a removed document keeps the revision of its removal.
  std::map<std::string, Revision> inForce() const;
  void addChangeCallback(ChangeCallback Callback) { OnChange_.push_back(std::move(Callback)); }

  /// Sets who is live in a data centre; without it, all hosts on the list count.
  void setLiveHosts(LiveHosts Find) { LiveHosts_ = std::move(Find); }
  /// Says that the live hosts of a data centre have changed. Used from the next tick on, so that
  /// many changes cost one rebuild of the overlay.
  void hostsChanged(const DataCentreId &DataCentre) { ChangedDataCentres_.insert(DataCentre); }

  std::string_view name() const override { return "config"; }
  absl::Status start() override;
  void stop() override {}
  void tick(TimePoint Now) override;
  nlohmann::json dump() const override;

private:
  void apply(ConfigEffects Effects);
  void on(const SendConfig &Effect);
  void on(const ReadPlatform &Effect);
  void on(const CancelRead &Effect);
  void on(DocumentAccepted &Effect);
  void on(const DocumentRefused &Effect);
  void on(const ConfigReady &Effect);
  void updateKeys(const std::string &Path);
  void updateHosts(const DataCentreId &DataCentre);
  void connectPeers(TimePoint Now);

  PlatformReader &Reader_;
  PeerLinks &Links_;
  const Settings &Config_;
  Logger Log_;
  TimePoint Started_;
  ConfigSpread Spread_;
  Catalogue Catalogue_;
  KeyTable Keys_;
  std::vector<ChangeCallback> OnChange_;
  LiveHosts LiveHosts_;
  std::set<DataCentreId> ChangedDataCentres_;
  std::vector<Endpoint> StartPeers_; ///< in random order
  std::size_t NextStartPeer_ = 0;
  TimePoint NextConnect_;
  bool ReadyByTime_ = false;
};

} // namespace bronzestand::node

#endif
