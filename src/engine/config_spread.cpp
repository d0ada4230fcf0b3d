#include "bronzestand/config_spread.h"

#include <algorithm>

namespace bronzestand {
namespace {

using namespace std::chrono_literals;

constexpr Duration DigestInterval = 2s;
constexpr Duration AskInterval = 200ms;
constexpr Duration StartupTimeout = 2s;
constexpr Duration PullTimeout = 300ms;
constexpr int MaxPullAttempts = 12;
constexpr std::size_t MaxPullSources = 4;
/// Time to the next comparison after one that found a difference. With 2 s here and 20 % message
/// loss, a node stayed out of date for 11 s.
constexpr Duration RepairInterval = 400ms;
constexpr std::size_t ConfirmationsNeeded = 3;
constexpr std::size_t PeersAskedPerRound = 3;
/// Larger messages would delay the membership heartbeats on the same link. A document that is
/// larger than this is sent in a message of its own.
constexpr std::size_t MaxReplyBytes = 65'536;
constexpr std::size_t MaxVersionsPerMessage = 512;
/// Approximate size of the fields of a document other than its path and text.
constexpr std::size_t DocumentOverheadBytes = 64;

std::size_t sizeOf(const Document &Version) {
  return Version.Path_.size() + (Version.Text_ ? Version.Text_->size() : 0) + DocumentOverheadBytes;
}

/// Calls Send with consecutive batches of at most MaxVersionsPerMessage versions.
template <typename Callable>
void forEachBatch(const std::vector<DocumentVersion> &Versions, Callable Send) {
  for (std::size_t First = 0; First < Versions.size(); First += MaxVersionsPerMessage) {
    const std::size_t Last = std::min(Versions.size(), First + MaxVersionsPerMessage);
    Send(std::vector<DocumentVersion>(Versions.begin() + static_cast<std::ptrdiff_t>(First),
                                      Versions.begin() + static_cast<std::ptrdiff_t>(Last)));
  }
}

void announce(const HostId &To, const std::vector<ReaderHeartbeat> &Heartbeats,
              const std::vector<DocumentVersion> &Versions, ConfigEffects &Out) {
  forEachBatch(Versions, [&](std::vector<DocumentVersion> Batch) {
    Out.emplace_back(SendConfig{To, ConfigAnnounce{Heartbeats, std::move(Batch)}});
  });
}

void pull(const HostId &To, const std::vector<DocumentVersion> &Wanted, ConfigEffects &Out) {
  forEachBatch(Wanted, [&](std::vector<DocumentVersion> Batch) {
    Out.emplace_back(SendConfig{To, ConfigPull{std::move(Batch)}});
  });
}

} // namespace

ConfigSpread::ConfigSpread(TimePoint Now, ConfigSpreadSettings Settings)
    : Settings_(std::move(Settings)), Started_(Now), NextAsk_(Now), NextRead_(Now),
      NextHeartbeat_(Now) {
  NextDigest_ = Now + randomUpTo(DigestInterval);
}

void ConfigSpread::addStartPeer(const HostId &Peer) {
  if (Peer != Settings_.Self_ &&
      std::find(StartPeers_.begin(), StartPeers_.end(), Peer) == StartPeers_.end())
    StartPeers_.push_back(Peer);
}

ConfigEffects ConfigSpread::handle(TimePoint Now, const HostId &From,
                                   const ConfigMessage &Message) {
  ConfigEffects Out;
  std::visit([&](const auto &Body) { on(Now, From, Body, Out); }, Message);
  return Out;
}

ConfigEffects ConfigSpread::tick(TimePoint Now) {
  ConfigEffects Out;
  askPeers(Now, Out);
  retryPulls(Now, Out);
  updateReaderRole(Now, Out);
  read(Now, Out);
  sendHeartbeats(Now, Out);
  sendDigests(Now, Out);
  return Out;
}

void ConfigSpread::on(TimePoint Now, const HostId &From, const ConfigAnnounce &Message,
                      ConfigEffects &Out) {
  recordHeartbeats(Now, Message.Heartbeats_);
  pullMissing(Now, From, Message.Versions_, Out);
}

void ConfigSpread::on(TimePoint /*Now*/, const HostId &From, const ConfigPull &Message,
                      ConfigEffects &Out) {
  ConfigDocuments Reply;
  std::size_t Bytes = 0;
  const auto Flush = [&] {
    if (!Reply.Documents_.empty())
      Out.emplace_back(SendConfig{From, std::move(Reply)});
    Reply = ConfigDocuments();
    Bytes = 0;
  };
  for (const DocumentVersion &Wanted : Message.Wanted_) {
    std::optional<Document> Found = Store_.find(Wanted);
    if (!Found)
      continue;
    if (Bytes + sizeOf(*Found) > MaxReplyBytes)
      Flush();
    Bytes += sizeOf(*Found);
    Reply.Documents_.push_back(std::move(*Found));
  }
  Flush();
}

void ConfigSpread::on(TimePoint Now, const HostId &From, const ConfigDocuments &Message,
                      ConfigEffects &Out) {
  storeDocuments(Now, From, Message.Documents_, Out);
  // Compares digests again at once: if they are equal now, the peer counts as a confirmation
  // without waiting for the next round of requests.
  if (!Ready_ && Pulls_.empty()) {
    ConfigDigest Digest = makeDigest(Now, 0);
    Digest.ReplyRequested_ = true;
    Out.emplace_back(SendConfig{From, std::move(Digest)});
  }
}

void ConfigSpread::storeDocuments(TimePoint Now, const HostId &From,
                                  const std::vector<Document> &Documents, ConfigEffects &Out) {
  std::vector<DocumentVersion> Changes;
  for (const Document &Version : Documents) {
    ParsedDocument Parsed;
    const UpdateResult Result = Store_.update(Version, Parsed);
    if (const auto Pending = Pulls_.find(Version.Path_);
        Pending != Pulls_.end() && !Store_.lacks(Pending->second.Version_))
      Pulls_.erase(Pending);
    if (Result == UpdateResult::Ignored)
      continue;
    Changes.push_back({Version.Path_, Version.Revision_, Result == UpdateResult::Refused});
    if (Result == UpdateResult::Accepted)
      Out.emplace_back(DocumentAccepted{Version.Path_, Version.Revision_, std::move(Parsed.Body_)});
    else
      Out.emplace_back(
          DocumentRefused{Version.Path_, Version.Revision_, std::move(Parsed.Errors_)});
  }
  if (Changes.empty())
    return;
  const std::vector<ReaderHeartbeat> Heartbeats = newestHeartbeats(Now);
  for (const std::vector<HostId> *Hosts : {&Neighbours_, &RemoteReaders_})
    for (const HostId &To : *Hosts)
      if (To != From)
        announce(To, Heartbeats, Changes, Out);
}

void ConfigSpread::pullMissing(TimePoint Now, const HostId &From,
                               const std::vector<DocumentVersion> &Versions, ConfigEffects &Out) {
  std::vector<DocumentVersion> Wanted;
  for (const DocumentVersion &Version : Versions) {
    if (!Store_.lacks(Version))
      continue;
    const auto [Position, Created] =
        Pulls_.try_emplace(Version.Path_, PendingPull{Version, {From}, Now, 0});
    PendingPull &Pending = Position->second;
    if (!Created) {
      if (Pending.Version_.Revision_ >= Version.Revision_) {
        // Other hosts that announce the version are asked only if the pull times out, so that a
        // document is received about once.
        auto &Sources = Pending.Sources_;
        if (Sources.size() < MaxPullSources &&
            std::find(Sources.begin(), Sources.end(), From) == Sources.end())
          Sources.push_back(From);
        continue;
      }
      Pending = PendingPull{Version, {From}, Now, 0};
    }
    Wanted.push_back(Version);
  }
  pull(From, Wanted, Out);
}

void ConfigSpread::retryPulls(TimePoint Now, ConfigEffects &Out) {
  std::map<HostId, std::vector<DocumentVersion>> Retry;
  for (auto Position = Pulls_.begin(); Position != Pulls_.end();) {
    PendingPull &Pending = Position->second;
    if (Now - Pending.Sent_ < PullTimeout) {
      ++Position;
    } else if (++Pending.Attempts_ == MaxPullAttempts) {
      // A later digest comparison, possibly with another host, finds the missing version again.
      Position = Pulls_.erase(Position);
    } else {
      Pending.Sent_ = Now;
      Retry[Pending.Sources_[static_cast<std::size_t>(Pending.Attempts_) % Pending.Sources_.size()]]
          .push_back(Pending.Version_);
      ++Position;
    }
  }
  for (const auto &[To, Wanted] : Retry)
    pull(To, Wanted, Out);
}

ConfigDigest ConfigSpread::makeDigest(TimePoint Now, std::uint8_t Depth) const {
  ConfigDigest Digest;
  Digest.Depth_ = Depth;
  Digest.Ready_ = Ready_;
  Digest.Reader_ = readRecently(Now);
  if (Depth == 0) {
    Digest.Heartbeats_ = newestHeartbeats(Now);
    Digest.SyncedRevision_ = SyncedRevision_;
    Digest.Nodes_.push_back({0, Store_.digest(0, 0)});
  }
  return Digest;
}

void ConfigSpread::on(TimePoint Now, const HostId &From, const ConfigDigest &Message,
                      ConfigEffects &Out) {
  recordHeartbeats(Now, Message.Heartbeats_);
  const std::size_t Limit = Message.Depth_ == 0   ? 1
                            : Message.Depth_ == 1 ? DocumentStore::Fanout
                                                  : DocumentStore::BucketCount;
  std::vector<std::uint16_t> Differing;
  for (const DigestNode &Node : Message.Nodes_)
    if (Node.Index_ < Limit && Store_.digest(Message.Depth_, Node.Index_) != Node.Hash_)
      Differing.push_back(Node.Index_);
  if (!Differing.empty()) {
    NextDigest_ = std::min(NextDigest_, Now + RepairInterval);
    answerDigest(Now, From, Message, Differing, Out);
    return;
  }
  if (Message.Depth_ != 0)
    return;
  // A peer with equal versions has every change up to its synced revision, so this node has them
  // as well. If it becomes a reader, it need not read everything again.
  SyncedRevision_ = std::max(SyncedRevision_, Message.SyncedRevision_);
  addConfirmation(From, Message.Ready_, Message.Reader_, Out);
  // A sender with a lower synced revision gets this node's digest now and can raise its own.
  if (Message.ReplyRequested_ || Message.SyncedRevision_ < SyncedRevision_)
    Out.emplace_back(SendConfig{From, makeDigest(Now, 0)});
}

void ConfigSpread::answerDigest(TimePoint Now, const HostId &From, const ConfigDigest &Message,
                                const std::vector<std::uint16_t> &Differing, ConfigEffects &Out) {
  if (Message.Depth_ >= DocumentStore::BucketDepth) {
    sendVersions(Now, From, Differing, Out);
    return;
  }
  ConfigDigest Answer = makeDigest(Now, static_cast<std::uint8_t>(Message.Depth_ + 1));
  for (const std::uint16_t Index : Differing) {
    for (std::size_t Child = 0; Child < DocumentStore::Fanout; ++Child) {
      const std::size_t Node = Index * DocumentStore::Fanout + Child;
      Answer.Nodes_.push_back(
          {static_cast<std::uint16_t>(Node), Store_.digest(Answer.Depth_, Node)});
    }
  }
  Out.emplace_back(SendConfig{From, std::move(Answer)});
}

void ConfigSpread::sendVersions(TimePoint Now, const HostId &To,
                                const std::vector<std::uint16_t> &Buckets, ConfigEffects &Out) {
  ConfigVersions Batch;
  const auto Flush = [&] {
    if (Batch.Buckets_.empty())
      return;
    Batch.Ready_ = Ready_;
    Batch.Reader_ = readRecently(Now);
    Out.emplace_back(SendConfig{To, std::move(Batch)});
    Batch = ConfigVersions();
  };
  for (const std::uint16_t Bucket : Buckets) {
    std::vector<DocumentVersion> Versions = Store_.versionsIn(Bucket);
    if (Batch.Versions_.size() + Versions.size() > MaxVersionsPerMessage)
      Flush();
    Batch.Buckets_.push_back(Bucket);
    Batch.Versions_.insert(Batch.Versions_.end(), std::make_move_iterator(Versions.begin()),
                           std::make_move_iterator(Versions.end()));
  }
  Flush();
}

void ConfigSpread::on(TimePoint Now, const HostId &From, const ConfigVersions &Message,
                      ConfigEffects &Out) {
  pullMissing(Now, From, Message.Versions_, Out);
  std::map<std::pair<std::string, bool>, Revision> PeerRevisions;
  for (const DocumentVersion &Version : Message.Versions_)
    PeerRevisions[{Version.Path_, Version.Refused_}] = Version.Revision_;
  std::vector<DocumentVersion> Changes;
  for (const std::uint16_t Bucket : Message.Buckets_) {
    if (Bucket >= DocumentStore::BucketCount)
      continue;
    for (DocumentVersion &Version : Store_.versionsIn(Bucket)) {
      const auto Found = PeerRevisions.find({Version.Path_, Version.Refused_});
      if (Found == PeerRevisions.end() || Found->second < Version.Revision_)
        Changes.push_back(std::move(Version));
    }
  }
  announce(From, {}, Changes, Out);
}

void ConfigSpread::sendDigests(TimePoint Now, ConfigEffects &Out) {
  // Changes that arrived before a host became a contact were not announced to it. Examples are the
  // change of the host list that added it and changes during a network partition.
  for (const HostId &To : std::exchange(NewContacts_, {}))
    Out.emplace_back(SendConfig{To, makeDigest(Now, 0)});
  if (Now < NextDigest_)
    return;
  NextDigest_ = Now + DigestInterval * 3 / 4 + randomUpTo(DigestInterval / 2);
  if (const HostId *To = randomHost(Neighbours_))
    Out.emplace_back(SendConfig{*To, makeDigest(Now, 0)});
  if (const HostId *To = randomHost(RemoteReaders_))
    Out.emplace_back(SendConfig{*To, makeDigest(Now, 0)});
}

void ConfigSpread::askPeers(TimePoint Now, ConfigEffects &Out) {
  if (Ready_)
    return;
  if (Now - Started_ >= StartupTimeout) {
    openStartupGate(Out);
    return;
  }
  if (Now < NextAsk_)
    return;
  NextAsk_ = Now + AskInterval;
  std::set<HostId> Asked(Neighbours_.begin(), Neighbours_.end());
  for (std::size_t Count = 0; Count < PeersAskedPerRound; ++Count)
    if (const HostId *Peer = randomHost(StartPeers_))
      Asked.insert(*Peer);
  // Each round also asks other data centres, because the own one may be partitioned from the rest
  // or may have no documents.
  std::vector<const DataCentreHosts *> Others;
  for (const auto &[Name, Hosts] : DataCentres_)
    if (Name != Settings_.DataCentre_)
      Others.push_back(&Hosts);
  for (std::size_t Count = 0; Count < PeersAskedPerRound && !Others.empty(); ++Count)
    if (const HostId *Peer = randomHost(Others[Settings_.Random_() % Others.size()]->Live_))
      Asked.insert(*Peer);
  Asked.erase(Settings_.Self_);
  for (const HostId &To : Asked) {
    if (ConfirmedPeers_.count(To) != 0)
      continue;
    ConfigDigest Digest = makeDigest(Now, 0);
    Digest.ReplyRequested_ = true;
    Out.emplace_back(SendConfig{To, std::move(Digest)});
  }
}

void ConfigSpread::addConfirmation(const HostId &From, bool PeerReady, bool PeerReader,
                                   ConfigEffects &Out) {
  // A peer that is still starting may have no documents or only a stale reply of the platform.
  if (Ready_ || !PeerReady)
    return;
  ConfirmedPeers_.insert(From);
  if (PeerReader || ConfirmedPeers_.size() >= ConfirmationsNeeded)
    openStartupGate(Out);
}

void ConfigSpread::openStartupGate(ConfigEffects &Out) {
  Ready_ = true;
  ConfirmedPeers_.clear();
  Out.emplace_back(ConfigReady{});
}

ConfigSpreadDump ConfigSpread::dump() const {
  return {Ready_,      IsReader_,      ReaderRank_,    SyncedRevision_,
          Neighbours_, RemoteReaders_, Store_.states()};
}

Duration ConfigSpread::randomUpTo(Duration Limit) const {
  return Duration(static_cast<Duration::rep>(Settings_.Random_() %
                                             (static_cast<std::uint64_t>(Limit.count()) + 1)));
}

const HostId *ConfigSpread::randomHost(const std::vector<HostId> &Hosts) const {
  return Hosts.empty() ? nullptr : &Hosts[Settings_.Random_() % Hosts.size()];
}

} // namespace bronzestand
