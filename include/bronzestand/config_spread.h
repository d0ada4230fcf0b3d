#ifndef BRONZESTAND_CONFIG_SPREAD_H
#define BRONZESTAND_CONFIG_SPREAD_H

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "bronzestand/document_store.h"
#include "bronzestand/types.h"

namespace bronzestand {

/// Says that a reader is at work. Relayed within its data centre, ages grow on the way.
struct PlatformStamp {
  HostId Reader_;
  Incarnation Run_ = 0;        ///< incarnation of the reader
  std::uint64_t Sequence_ = 0; ///< grows with each stamp of the run
  Duration ReadAge_{};         ///< time since the reader's last successful read
  Duration SentAge_{};         ///< time since the reader made the stamp
};

/// Names versions that the sender holds; without versions it only carries stamps.
struct ConfigAnnounce {
  std::vector<PlatformStamp> Stamps_;
  std::vector<DocumentVersion> Versions_;
};

/// Asks for versions, or what has replaced them.
struct ConfigPull {
  std::vector<DocumentVersion> Wanted_;
};

/// Part of the reply to a pull.
struct ConfigDocuments {
  std::vector<Document> Documents_;
};

/// Compares nodes of the digest tree. The receiver answers with the children of the nodes that
/// differ, or with the versions of the buckets that differ.
struct ConfigDigest {
  std::vector<PlatformStamp> Stamps_;
  std::uint8_t Depth_ = 0;
  std::vector<DigestNode> Nodes_;
  Revision Covered_ = 0; ///< the sender holds every change of the platform up to this revision
  bool Ready_ = false;   ///< the sender has passed its start-up gate
  bool Reader_ = false;  ///< the sender has read the platform recently
  bool Ask_ = false;     ///< answer even if the digests are equal
};

/// All versions of some buckets.
struct ConfigVersions {
  std::vector<std::uint16_t> Buckets_;
  std::vector<DocumentVersion> Versions_;
  bool Ready_ = false;
  bool Reader_ = false;
};

using ConfigMessage =
    std::variant<ConfigAnnounce, ConfigPull, ConfigDocuments, ConfigDigest, ConfigVersions>;

/// Sends a message to a host.
struct SendConfig {
  HostId To_;
  ConfigMessage Message_;
};

/// Reads changes from the platform; answered by handlePlatform or platformFailed.
struct ReadPlatform {
  Revision Since_ = 0;
  Duration Wait_{}; ///< long-poll time, zero for an immediate answer
};

/// Abandons the pending read, because another host reads now.
struct CancelRead {};

/// A version came into force; without a body the document was removed.
struct DocumentAccepted {
  std::string Path_;
  Revision Revision_ = 0;
  std::optional<DocumentBody> Body_;
};

/// A version failed its check; the last accepted one stays in force.
struct DocumentRefused {
  std::string Path_;
  Revision Revision_ = 0;
  std::vector<ErrorDetail> Errors_;
};

/// The start-up gate opened. Comes once.
struct ConfigReady {};

using ConfigEffect = std::variant<SendConfig, ReadPlatform, CancelRead, DocumentAccepted,
                                  DocumentRefused, ConfigReady>;
using ConfigEffects = std::vector<ConfigEffect>;

/// Reply of the platform to a read or watch.
struct PlatformReply {
  Revision Since_ = 0; ///< copied from the read; the reply holds the changes after it
  Revision Revision_ = 0;
  std::vector<Document> Values_;
};

struct ConfigSpreadSettings {
  HostId Self_;
  DataCentreId DataCentre_;
  RegionId Region_;
  Incarnation Run_ = 0;
  std::function<std::uint64_t()> Random_; ///< uniform over 64 bits
};

/// State dump of configuration dissemination.
struct ConfigSpreadDump {
  bool Ready_ = false;
  bool Reader_ = false;
  std::size_t Rank_ = 0; ///< place in the order of readers, 0 is first
  Revision Covered_ = 0;
  std::vector<HostId> Neighbours_;
  std::vector<HostId> RemoteReaders_;
  std::vector<DocumentState> Documents_;
};

/// Spreads documents from the platform to all nodes and repairs gaps (design section 4).
/// Messages may be lost, doubled, reordered or late. Call tick every 100 ms.
class ConfigSpread {
public:
  ConfigSpread(TimePoint Now, ConfigSpreadSettings Settings);

  /// Replaces the live hosts of a data centre, the own host included for the own data centre.
  /// An empty list removes the data centre.
  /// Cost: one hash per host of the own data centre and of two others.
  void setHosts(const DataCentreId &DataCentre, const RegionId &Region, std::vector<HostId> Live);

  /// Adds a host to ask at start-up, in addition to those of the host list.
  void addStartPeer(const HostId &Peer);

  /// Handles a message from another node.
  ConfigEffects handle(TimePoint Now, const HostId &From, const ConfigMessage &Message);

  /// Handles the platform's reply. A reply that is older than what is held changes nothing.
  ConfigEffects handlePlatform(TimePoint Now, const PlatformReply &Reply);

  /// Reports that the pending read failed; it is repeated with back-off.
  void platformFailed(TimePoint Now);

  /// Advances timers.
  ConfigEffects tick(TimePoint Now);

  /// Tells whether the node may serve on its documents.
  bool ready() const { return Ready_; }
  /// Tells whether this node holds a watch on the platform.
  bool isReader() const { return IsReader_; }
  const DocumentStore &store() const { return Store_; }
  const std::vector<HostId> &neighbours() const { return Neighbours_; }
  ConfigSpreadDump dump() const;

private:
  struct DataCentreHosts {
    RegionId Region_;
    std::vector<HostId> Live_;
  };
  struct StampRecord {
    PlatformStamp Stamp_; ///< ages are unused
    TimePoint ReadAt_;
    TimePoint SentAt_;
  };
  struct PendingPull {
    DocumentVersion Version_;
    std::vector<HostId> Sources_; ///< hosts that named the version, asked in turn
    TimePoint Sent_;
    int Attempts_ = 0;
  };

  void on(TimePoint Now, const HostId &From, const ConfigAnnounce &Message, ConfigEffects &Out);
  void on(TimePoint Now, const HostId &From, const ConfigPull &Message, ConfigEffects &Out);
  void on(TimePoint Now, const HostId &From, const ConfigDocuments &Message, ConfigEffects &Out);
  void on(TimePoint Now, const HostId &From, const ConfigDigest &Message, ConfigEffects &Out);
  void on(TimePoint Now, const HostId &From, const ConfigVersions &Message, ConfigEffects &Out);

  void take(TimePoint Now, const HostId &From, const std::vector<Document> &Documents,
            ConfigEffects &Out);
  void pullMissing(TimePoint Now, const HostId &From, const std::vector<DocumentVersion> &Versions,
                   ConfigEffects &Out);
  void retryPulls(TimePoint Now, ConfigEffects &Out);
  void answerDigest(TimePoint Now, const HostId &From, const ConfigDigest &Message,
                    const std::vector<std::uint16_t> &Different, ConfigEffects &Out);
  void sendVersions(TimePoint Now, const HostId &To, const std::vector<std::uint16_t> &Buckets,
                    ConfigEffects &Out);
  ConfigDigest makeDigest(TimePoint Now, std::uint8_t Depth) const;
  void sendDigests(TimePoint Now, ConfigEffects &Out);

  void askPeers(TimePoint Now, ConfigEffects &Out);
  void confirm(const HostId &From, bool PeerReady, bool PeerReader, ConfigEffects &Out);
  void open(ConfigEffects &Out);

  void rebuildOverlay();
  void rebuildRemoteReaders();
  void noteStamps(TimePoint Now, const std::vector<PlatformStamp> &Stamps);
  std::vector<PlatformStamp> freshStamps(TimePoint Now) const;
  void noteOwnStamp(TimePoint Now);
  std::size_t betterReaders(TimePoint Now) const;
  bool heardAnyReader(TimePoint Now) const;
  bool readRecently(TimePoint Now) const;
  void elect(TimePoint Now, ConfigEffects &Out);
  void read(TimePoint Now, ConfigEffects &Out);
  void sendStamps(TimePoint Now, ConfigEffects &Out);
  Duration randomUpTo(Duration Limit) const;
  const HostId *randomHost(const std::vector<HostId> &Hosts) const;

  ConfigSpreadSettings Settings_;
  TimePoint Started_;
  DocumentStore Store_;
  Revision Covered_ = 0;

  std::map<DataCentreId, DataCentreHosts> DataCentres_;
  std::vector<HostId> Neighbours_;
  std::vector<HostId> RemoteReaders_;
  std::vector<HostId> Candidates_; ///< first hosts in the order of readers
  std::size_t Rank_ = 0;

  bool Ready_ = false;
  TimePoint NextAsk_;
  std::vector<HostId> StartPeers_;
  std::set<HostId> Confirmed_;

  std::map<std::string, PendingPull> Pulls_;
  TimePoint NextDigest_;

  std::map<HostId, StampRecord> Stamps_;
  std::uint64_t StampSequence_ = 0;
  bool IsReader_ = false;
  bool ReadPending_ = false;
  std::optional<TimePoint> TakeOverAt_;
  std::optional<TimePoint> LastRead_;
  TimePoint ReadSent_;
  TimePoint NextRead_;
  TimePoint NextStamp_;
  Duration ReadBackoff_{};
};

} // namespace bronzestand

#endif
