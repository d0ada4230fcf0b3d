#include "bronzestand/config_spread.h"

#include <algorithm>

#include "bronzestand/rendezvous.h"

namespace bronzestand {
namespace {

using namespace std::chrono_literals;

constexpr std::string_view ReaderKey = "reader";
constexpr std::size_t ReadersPerDataCentre = 2;
/// Hosts that receive heartbeats directly and may take over as reader. Limits the number of readers
/// of a data centre of any size while the platform is down.
constexpr std::size_t MaxReaderCandidates = 16;
constexpr Duration MaxReadAge = 3s;
constexpr Duration HeartbeatInterval = 1s;
/// Greatest delay before a host takes over as reader, per position in the order of readers.
constexpr Duration TakeoverDelayPerRank = 300ms;
/// Digests carry heartbeats to all hosts of a data centre of 880 hosts in about 30 s. If a host
/// gets none for this time, all reader candidates are gone.
constexpr Duration HeartbeatTimeout = 60s;
constexpr Duration LongPollTime = 1s;
constexpr Duration ReadTimeout = 2500ms;
constexpr Duration MinReadInterval = 100ms;
constexpr Duration MinReadBackoff = 200ms;
constexpr Duration MaxReadBackoff = 2s;

/// The overlay is the union of three rings; each ring orders the hosts by a hash with its own key.
/// Each ring gives a host two neighbours, so the degree is at most 6, links are symmetric and the
/// graph is connected.
constexpr std::array<std::string_view, 3> OverlayRings{"overlay/0", "overlay/1", "overlay/2"};

using Score = std::pair<std::uint64_t, std::string>;

Score scoreOf(std::string_view Key, const HostId &Host) {
  return {rendezvousScore(Key, Host), Host.str()};
}

void addNeighbour(const HostId *Host, std::vector<HostId> &Neighbours) {
  if (Host != nullptr && std::find(Neighbours.begin(), Neighbours.end(), *Host) == Neighbours.end())
    Neighbours.push_back(*Host);
}

/// Adds the predecessor and the successor of a host on one ring.
void addRing(std::string_view Key, const HostId &Self, const std::vector<HostId> &Hosts,
             std::vector<HostId> &Neighbours) {
  const Score OwnScore = scoreOf(Key, Self);
  const HostId *First = nullptr;
  const HostId *Last = nullptr;
  const HostId *Before = nullptr;
  const HostId *After = nullptr;
  const auto IsBetter = [Key](const HostId *A, const HostId &B, bool Lower) {
    return A == nullptr ||
           (Lower ? scoreOf(Key, B) < scoreOf(Key, *A) : scoreOf(Key, *A) < scoreOf(Key, B));
  };
  for (const HostId &Host : Hosts) {
    if (Host == Self)
      continue;
    if (IsBetter(First, Host, true))
      First = &Host;
    if (IsBetter(Last, Host, false))
      Last = &Host;
    const bool Greater = OwnScore < scoreOf(Key, Host);
    if (Greater && IsBetter(After, Host, true))
      After = &Host;
    if (!Greater && IsBetter(Before, Host, false))
      Before = &Host;
  }
  addNeighbour(Before != nullptr ? Before : Last, Neighbours);
  addNeighbour(After != nullptr ? After : First, Neighbours);
}

} // namespace

void ConfigSpread::setHosts(const DataCentreId &DataCentre, const RegionId &Region,
                            std::vector<HostId> Live) {
  if (Live.empty())
    DataCentres_.erase(DataCentre);
  else
    DataCentres_[DataCentre] = DataCentreHosts{Region, std::move(Live)};
  const std::vector<HostId> OldContacts = contacts();
  if (DataCentre == Settings_.DataCentre_)
    rebuildOverlay();
  rebuildRemoteReaders();
  for (HostId &Host : contacts())
    if (std::find(OldContacts.begin(), OldContacts.end(), Host) == OldContacts.end())
      NewContacts_.insert(std::move(Host));
}

std::vector<HostId> ConfigSpread::contacts() const {
  std::vector<HostId> All = Neighbours_;
  All.insert(All.end(), RemoteReaders_.begin(), RemoteReaders_.end());
  return All;
}

void ConfigSpread::rebuildOverlay() {
  Neighbours_.clear();
  ReaderCandidates_.clear();
  ReaderRank_ = 0;
  const auto Found = DataCentres_.find(Settings_.DataCentre_);
  if (Found == DataCentres_.end())
    return;
  const std::vector<HostId> &Hosts = Found->second.Live_;
  for (const std::string_view Ring : OverlayRings)
    addRing(Ring, Settings_.Self_, Hosts, Neighbours_);
  ReaderCandidates_ = topHosts(ReaderKey, Hosts, MaxReaderCandidates);
  const Score OwnScore = scoreOf(ReaderKey, Settings_.Self_);
  ReaderRank_ =
      static_cast<std::size_t>(std::count_if(Hosts.begin(), Hosts.end(), [&](const HostId &Host) {
        return OwnScore < scoreOf(ReaderKey, Host);
      }));
}

void ConfigSpread::rebuildRemoteReaders() {
  RemoteReaders_.clear();
  if (ReaderRank_ >= ReadersPerDataCentre)
    return;
  // Links to the readers of the next data centre in the same region and of the next one in another
  // region, both in the cyclic order of names. This keeps the graph of data centres strongly
  // connected.
  const DataCentreHosts *SameRegion = nullptr;
  const DataCentreHosts *OtherRegion = nullptr;
  const auto Consider = [&](const DataCentreHosts &Hosts) {
    const DataCentreHosts *&Selected =
        Hosts.Region_ == Settings_.Region_ ? SameRegion : OtherRegion;
    if (Selected == nullptr)
      Selected = &Hosts;
  };
  const auto OwnPosition = DataCentres_.lower_bound(Settings_.DataCentre_);
  for (auto Next = OwnPosition; Next != DataCentres_.end(); ++Next)
    if (Next->first != Settings_.DataCentre_)
      Consider(Next->second);
  for (auto Next = DataCentres_.begin(); Next != OwnPosition; ++Next)
    Consider(Next->second);
  for (const DataCentreHosts *Hosts : {SameRegion, OtherRegion})
    if (Hosts != nullptr)
      for (HostId &Host : topHosts(ReaderKey, Hosts->Live_, ReadersPerDataCentre))
        RemoteReaders_.push_back(std::move(Host));
}

void ConfigSpread::recordHeartbeats(TimePoint Now, const std::vector<ReaderHeartbeat> &Heartbeats) {
  for (const ReaderHeartbeat &Heartbeat : Heartbeats) {
    if (Heartbeat.Reader_ == Settings_.Self_)
      continue;
    HeartbeatRecord &Known = Heartbeats_[Heartbeat.Reader_];
    // A delayed or duplicated heartbeat must not make a stopped reader look alive.
    if (std::make_pair(Heartbeat.Run_, Heartbeat.Sequence_) <=
        std::make_pair(Known.Heartbeat_.Run_, Known.Heartbeat_.Sequence_))
      continue;
    Known = {Heartbeat, Now - Heartbeat.ReadAge_, Now - Heartbeat.SentAge_};
  }
}

void ConfigSpread::recordOwnHeartbeat(TimePoint Now) {
  ReaderHeartbeat Heartbeat;
  Heartbeat.Reader_ = Settings_.Self_;
  Heartbeat.Run_ = Settings_.Run_;
  Heartbeat.Sequence_ = ++HeartbeatSequence_;
  Heartbeats_[Settings_.Self_] = {Heartbeat, LastRead_.value_or(Started_ - HeartbeatTimeout), Now};
}

std::vector<ReaderHeartbeat> ConfigSpread::newestHeartbeats(TimePoint Now) const {
  std::vector<const HeartbeatRecord *> Newest;
  for (const auto &[Reader, Record] : Heartbeats_)
    if (Now - Record.SentAt_ < HeartbeatTimeout)
      Newest.push_back(&Record);
  const std::size_t Kept = std::min(Newest.size(), ReadersPerDataCentre);
  std::partial_sort(Newest.begin(), Newest.begin() + static_cast<std::ptrdiff_t>(Kept),
                    Newest.end(), [](const HeartbeatRecord *A, const HeartbeatRecord *B) {
                      return A->ReadAt_ != B->ReadAt_
                                 ? A->ReadAt_ > B->ReadAt_
                                 : A->Heartbeat_.Reader_ < B->Heartbeat_.Reader_;
                    });
  std::vector<ReaderHeartbeat> Result;
  for (std::size_t Index = 0; Index < Kept; ++Index) {
    ReaderHeartbeat Heartbeat = Newest[Index]->Heartbeat_;
    Heartbeat.ReadAge_ = Now - Newest[Index]->ReadAt_;
    Heartbeat.SentAge_ = Now - Newest[Index]->SentAt_;
    Result.push_back(std::move(Heartbeat));
  }
  return Result;
}

std::size_t ConfigSpread::countHigherRankedReaders(TimePoint Now) const {
  const Score OwnScore = scoreOf(ReaderKey, Settings_.Self_);
  return static_cast<std::size_t>(
      std::count_if(Heartbeats_.begin(), Heartbeats_.end(), [&](const auto &Entry) {
        return Now - Entry.second.ReadAt_ < MaxReadAge &&
               OwnScore < scoreOf(ReaderKey, Entry.first);
      }));
}

bool ConfigSpread::heardReaderRecently(TimePoint Now) const {
  return Now - Started_ < HeartbeatTimeout ||
         std::any_of(Heartbeats_.begin(), Heartbeats_.end(), [&](const auto &Entry) {
           return Now - Entry.second.SentAt_ < HeartbeatTimeout;
         });
}

bool ConfigSpread::readRecently(TimePoint Now) const {
  return IsReader_ && LastRead_ && Now - *LastRead_ < MaxReadAge;
}

void ConfigSpread::updateReaderRole(TimePoint Now, ConfigEffects &Out) {
  for (auto Position = Heartbeats_.begin(); Position != Heartbeats_.end();)
    Position = Now - Position->second.SentAt_ > HeartbeatTimeout ? Heartbeats_.erase(Position)
                                                                 : std::next(Position);
  // Without a host list the rank is meaningless.
  const bool HasHostList = DataCentres_.count(Settings_.DataCentre_) != 0;
  const bool EnoughReaders = countHigherRankedReaders(Now) >= ReadersPerDataCentre;
  const bool Assigned = HasHostList && ReaderRank_ < ReadersPerDataCentre;
  if (EnoughReaders && !Assigned) {
    TakeoverAt_.reset();
    if (IsReader_ && ReadPending_)
      Out.emplace_back(CancelRead{});
    IsReader_ = false;
    ReadPending_ = false;
    return;
  }
  if (IsReader_)
    return;
  if (Assigned) {
    IsReader_ = true;
    NextRead_ = Now;
    return;
  }
  if (!TakeoverAt_) {
    const bool Candidate = !HasHostList || ReaderRank_ < MaxReaderCandidates;
    const Duration Delay =
        Candidate ? TakeoverDelayPerRank * static_cast<Duration::rep>(ReaderRank_)
                  : TakeoverDelayPerRank * static_cast<Duration::rep>(MaxReaderCandidates) * 4;
    const Duration StartDelay = std::max(Duration(0), Started_ + MaxReadAge - Now);
    TakeoverAt_ = Now + StartDelay + randomUpTo(Delay);
  }
  if (HasHostList && ReaderRank_ >= MaxReaderCandidates && heardReaderRecently(Now))
    TakeoverAt_.reset();
  else if (Now >= *TakeoverAt_) {
    TakeoverAt_.reset();
    IsReader_ = true;
    NextRead_ = Now;
  }
}

void ConfigSpread::read(TimePoint Now, ConfigEffects &Out) {
  if (ReadPending_ && Now - ReadSent_ > ReadTimeout)
    handlePlatformFailure(Now);
  if (!IsReader_ || ReadPending_ || Now < NextRead_)
    return;
  ReadPending_ = true;
  ReadSent_ = Now;
  Out.emplace_back(ReadPlatform{SyncedRevision_, LastRead_ ? LongPollTime : Duration(0)});
}

void ConfigSpread::handlePlatformFailure(TimePoint Now) {
  ReadPending_ = false;
  ReadBackoff_ = std::clamp<Duration>(ReadBackoff_ * 2, MinReadBackoff, MaxReadBackoff);
  NextRead_ = Now + ReadBackoff_ / 2 + randomUpTo(ReadBackoff_ / 2);
}

ConfigEffects ConfigSpread::handlePlatformReply(TimePoint Now, const PlatformReply &Reply) {
  ConfigEffects Out;
  if (Reply.Revision_ < SyncedRevision_ || Reply.Since_ > SyncedRevision_) {
    // A stale replica replied, or the read was made by an earlier run of this node and the reply
    // leaves a gap. A heartbeat with a fresh read would keep hosts that get a better reply from
    // reading.
    handlePlatformFailure(Now);
  } else {
    ReadPending_ = false;
    ReadBackoff_ = Duration(0);
    LastRead_ = Now;
    NextRead_ = std::max(Now, ReadSent_ + MinReadInterval);
    SyncedRevision_ = Reply.Revision_;
    recordOwnHeartbeat(Now);
  }
  storeDocuments(Now, Settings_.Self_, Reply.Values_, Out);
  read(Now, Out);
  return Out;
}

void ConfigSpread::sendHeartbeats(TimePoint Now, ConfigEffects &Out) {
  if (!IsReader_ || Now < NextHeartbeat_)
    return;
  NextHeartbeat_ = Now + HeartbeatInterval;
  recordOwnHeartbeat(Now);
  ConfigAnnounce Message;
  Message.Heartbeats_ = newestHeartbeats(Now);
  for (const HostId &To : ReaderCandidates_)
    if (To != Settings_.Self_)
      Out.emplace_back(SendConfig{To, Message});
}

} // namespace bronzestand
