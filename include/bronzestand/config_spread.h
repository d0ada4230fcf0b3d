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

/// Shows that a host reads the platform. Other nodes relay it and increase its ages by the time
/// that they held it.
struct ReaderHeartbeat {
  HostId Reader_;
  Incarnation Run_ = 0;        ///< incarnation of the reader
  std::uint64_t Sequence_ = 0; ///< increases with each heartbeat of one incarnation
  Duration ReadAge_{};         ///< time since the reader's last successful read
  Duration SentAge_{};         ///< time since the reader made this heartbeat
};

/// Lists versions that the sender holds. Without versions it only carries heartbeats.
struct ConfigAnnounce {
  std::vector<ReaderHeartbeat> Heartbeats_;
  std::vector<DocumentVersion> Versions_;
};

/// Requests the listed versions or newer ones.
struct ConfigPull {
  std::vector<DocumentVersion> Wanted_;
};

/// Reply to a pull, or one of several such messages if the reply is large.
struct ConfigDocuments {
  std::vector<Document> Documents_;
};

/// Compares nodes of the digest tree. The receiver answers with the children of the nodes that
/// differ, or with the versions of the buckets that differ.
struct ConfigDigest {
  std::vector<ReaderHeartbeat> Heartbeats_;
  std::uint8_t Depth_ = 0;
  std::vector<DigestNode> Nodes_;
  Revision SyncedRevision_ = 0; ///< the sender has every change of the platform up to this revision
  bool Ready_ = false;          ///< the sender's start-up gate is open
  bool Reader_ = false;         ///< the sender has read the platform recently
  bool ReplyRequested_ = false; ///< requests a reply even if the digests are equal
};

/// All versions in the listed buckets.
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

/// Reads changes from the platform. The result is passed to handlePlatformReply or
/// handlePlatformFailure.
struct ReadPlatform {
  Revision Since_ = 0;
  Duration Wait_{}; ///< long-poll timeout; zero for an immediate reply
};

/// Cancels the pending read because other hosts now read the platform.
struct CancelRead {};

/// A version came into force. Without a body, the document was removed.
struct DocumentAccepted {
  std::string Path_;
  Revision Revision_ = 0;
  std::optional<DocumentBody> Body_;
};

/// A version failed validation. The last accepted version stays in force.
struct DocumentRefused {
  std::string Path_;
  Revision Revision_ = 0;
  std::vector<ErrorDetail> Errors_;
};

/// The start-up gate opened. Emitted once.
struct ConfigReady {};

using ConfigEffect = std::variant<SendConfig, ReadPlatform, CancelRead, DocumentAccepted,
                                  DocumentRefused, ConfigReady>;
using ConfigEffects = std::vector<ConfigEffect>;

/// Reply of the platform to a read.
struct PlatformReply {
  Revision Since_ = 0; ///< copied from the read; the reply contains the changes after it
  Revision Revision_ = 0;
  std::vector<Document> Values_;
};

struct ConfigSpreadSettings {
  HostId Self_;
  DataCentreId DataCentre_;
  RegionId Region_;
  Incarnation Run_ = 0;
  std::function<std::uint64_t()> Random_; ///< returns uniformly distributed 64-bit numbers
};

/// State dump of configuration dissemination.
struct ConfigSpreadDump {
  bool Ready_ = false;
  bool Reader_ = false;
  std::size_t ReaderRank_ = 0; ///< position in the order of readers; 0 is the first
  Revision SyncedRevision_ = 0;
  std::vector<HostId> Neighbours_;
  std::vector<HostId> RemoteReaders_;
  std::vector<DocumentState> Documents_;
};

/// Disseminates documents from the platform to all nodes and repairs gaps (design section 4).
/// Two hosts of each data centre read the platform; the others learn of changes from
/// announcements, pull the documents from the announcing host and compare digests with random
/// peers. Tolerates lost, duplicated, reordered and delayed messages. Call tick every 100 ms.
class ConfigSpread {
public:
  ConfigSpread(TimePoint Now, ConfigSpreadSettings Settings);

  /// Replaces the live hosts of a data centre. The list of the own data centre includes this host.
  /// An empty list removes the data centre.
  /// Cost: one hash per host of the own data centre and of two others.
  void setHosts(const DataCentreId &DataCentre, const RegionId &Region, std::vector<HostId> Live);

  /// Adds a host that is asked at start-up, in addition to the hosts set by setHosts.
  void addStartPeer(const HostId &Peer);

  /// Handles a message from another node.
  ConfigEffects handle(TimePoint Now, const HostId &From, const ConfigMessage &Message);

  /// Handles the platform's reply. Versions that are older than the stored ones are ignored.
  ConfigEffects handlePlatformReply(TimePoint Now, const PlatformReply &Reply);

  /// Reports that the pending read failed. The read is retried with exponential back-off.
  void handlePlatformFailure(TimePoint Now);

  /// Runs the timers: start-up requests, retries, reader election, heartbeats and digests.
  ConfigEffects tick(TimePoint Now);

  /// Returns whether the start-up gate is open, that is, whether the documents may be used to serve
  /// requests.
  bool ready() const { return Ready_; }
  /// Returns whether this node reads the platform.
  bool isReader() const { return IsReader_; }
  /// Returns the revision up to which every change of the platform is stored.
  Revision syncedRevision() const { return SyncedRevision_; }
  const DocumentStore &store() const { return Store_; }
  const std::vector<HostId> &neighbours() const { return Neighbours_; }
  ConfigSpreadDump dump() const;

private:
  struct DataCentreHosts {
    RegionId Region_;
    std::vector<HostId> Live_;
  };
  struct HeartbeatRecord {
    ReaderHeartbeat Heartbeat_; ///< its ages are unused; the times below replace them
    TimePoint ReadAt_;
    TimePoint SentAt_;
  };
  struct PendingPull {
    DocumentVersion Version_;
    std::vector<HostId> Sources_; ///< hosts that announced the version, asked in turn
    TimePoint Sent_;
    int Attempts_ = 0;
  };

  void on(TimePoint Now, const HostId &From, const ConfigAnnounce &Message, ConfigEffects &Out);
  void on(TimePoint Now, const HostId &From, const ConfigPull &Message, ConfigEffects &Out);
  void on(TimePoint Now, const HostId &From, const ConfigDocuments &Message, ConfigEffects &Out);
  void on(TimePoint Now, const HostId &From, const ConfigDigest &Message, ConfigEffects &Out);
  void on(TimePoint Now, const HostId &From, const ConfigVersions &Message, ConfigEffects &Out);

  void storeDocuments(TimePoint Now, const HostId &From, const std::vector<Document> &Documents,
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
  void addConfirmation(const HostId &From, bool PeerReady, bool PeerReader, ConfigEffects &Out);
  void openStartupGate(ConfigEffects &Out);

  std::vector<HostId> contacts() const;
  void rebuildOverlay();
  void rebuildRemoteReaders();
  void recordHeartbeats(TimePoint Now, const std::vector<ReaderHeartbeat> &Heartbeats);
  std::vector<ReaderHeartbeat> newestHeartbeats(TimePoint Now) const;
  void recordOwnHeartbeat(TimePoint Now);
  std::size_t countHigherRankedReaders(TimePoint Now) const;
  bool heardReaderRecently(TimePoint Now) const;
  bool readRecently(TimePoint Now) const;
  void updateReaderRole(TimePoint Now, ConfigEffects &Out);
  void read(TimePoint Now, ConfigEffects &Out);
  void sendHeartbeats(TimePoint Now, ConfigEffects &Out);
  Duration randomUpTo(Duration Limit) const;
  const HostId *randomHost(const std::vector<HostId> &Hosts) const;

  ConfigSpreadSettings Settings_;
  TimePoint Started_;
  DocumentStore Store_;
  Revision SyncedRevision_ = 0;

  std::map<DataCentreId, DataCentreHosts> DataCentres_;
  std::vector<HostId> Neighbours_;
  std::vector<HostId> RemoteReaders_;
  std::vector<HostId> ReaderCandidates_; ///< the first hosts in the order of readers
  std::size_t ReaderRank_ = 0;

  bool Ready_ = false;
  TimePoint NextAsk_;
  std::vector<HostId> StartPeers_;
  std::set<HostId> ConfirmedPeers_;

  std::map<std::string, PendingPull> Pulls_;
  TimePoint NextDigest_;
  std::set<HostId> NewContacts_; ///< contacts that have not been sent a digest yet

  std::map<HostId, HeartbeatRecord> Heartbeats_;
  std::uint64_t HeartbeatSequence_ = 0;
  bool IsReader_ = false;
  bool ReadPending_ = false;
  std::optional<TimePoint> TakeoverAt_;
  std::optional<TimePoint> LastRead_;
  TimePoint ReadSent_;
  TimePoint NextRead_;
  TimePoint NextHeartbeat_;
  Duration ReadBackoff_{};
};

} // namespace bronzestand

#endif
