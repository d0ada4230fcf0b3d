#include "bronzestand/config_spread.h"

#include <algorithm>

#include "bronzestand/rendezvous.h"

namespace bronzestand {
namespace {

using namespace std::chrono_literals;

constexpr std::string_view ReaderKey = "reader";
constexpr std::size_t ReadersPerDataCentre = 2;
/// Hosts that receive stamps directly and may take over. Bounds the readers of a data centre
/// while the platform is down, whatever its number of hosts.
constexpr std::size_t ReaderCandidates = 16;
constexpr Duration FreshReadLimit = 3s;
constexpr Duration StampInterval = 1s;
/// Delay of a takeover per place in the order of readers.
constexpr Duration TakeOverStep = 300ms;
/// Digests carry stamps across a data centre of 880 hosts in about 30 s, so silence for longer
/// means that all candidates are gone.
constexpr Duration SilenceLimit = 60s;
constexpr Duration WatchTime = 1s;
constexpr Duration ReadTimeout = 2500ms;
constexpr Duration MinReadInterval = 100ms;
constexpr Duration MinReadBackoff = 200ms;
constexpr Duration MaxReadBackoff = 2s;

/// The overlay is the union of rings over the hosts in the order of a hash. Each ring gives a host
/// two neighbours, so the degree is at most 6, links are symmetric and the graph is connected.
constexpr std::array<std::string_view, 3> OverlayRings{"overlay/0", "overlay/1", "overlay/2"};

using Score = std::pair<std::uint64_t, std::string>;

Score scoreOf(std::string_view Key, const HostId &Host) {
  return {rendezvousScore(Key, Host), Host.str()};
}

void addNeighbour(const HostId *Host, std::vector<HostId> &Neighbours) {
  if (Host != nullptr && std::find(Neighbours.begin(), Neighbours.end(), *Host) == Neighbours.end())
    Neighbours.push_back(*Host);
}

/// Adds the hosts before and after one host on a ring.
void addRing(std::string_view Key, const HostId &Self, const std::vector<HostId> &Hosts,
             std::vector<HostId> &Neighbours) {
  const Score Own = scoreOf(Key, Self);
  const HostId *First = nullptr;
  const HostId *Last = nullptr;
  const HostId *Before = nullptr;
  const HostId *After = nullptr;
  const auto Better = [Key](const HostId *A, const HostId &B, bool Lower) {
    return A == nullptr ||
           (Lower ? scoreOf(Key, B) < scoreOf(Key, *A) : scoreOf(Key, *A) < scoreOf(Key, B));
  };
  for (const HostId &Host : Hosts) {
    if (Host == Self)
      continue;
    if (Better(First, Host, true))
      First = &Host;
    if (Better(Last, Host, false))
      Last = &Host;
    const bool Greater = Own < scoreOf(Key, Host);
    if (Greater && Better(After, Host, true))
      After = &Host;
    if (!Greater && Better(Before, Host, false))
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
  if (DataCentre == Settings_.DataCentre_)
    rebuildOverlay();
  rebuildRemoteReaders();
}

void ConfigSpread::rebuildOverlay() {
  Neighbours_.clear();
  Candidates_.clear();
  Rank_ = 0;
  const auto Found = DataCentres_.find(Settings_.DataCentre_);
  if (Found == DataCentres_.end())
    return;
  const std::vector<HostId> &Hosts = Found->second.Live_;
  for (const std::string_view Ring : OverlayRings)
    addRing(Ring, Settings_.Self_, Hosts, Neighbours_);
  Candidates_ = topHosts(ReaderKey, Hosts, ReaderCandidates);
  const Score Own = scoreOf(ReaderKey, Settings_.Self_);
  Rank_ =
      static_cast<std::size_t>(std::count_if(Hosts.begin(), Hosts.end(), [&](const HostId &Host) {
        return Own < scoreOf(ReaderKey, Host);
      }));
}

void ConfigSpread::rebuildRemoteReaders() {
  RemoteReaders_.clear();
  if (Rank_ >= ReadersPerDataCentre)
    return;
  // One link follows a ring within the region and one leaves it at the next data centre of a ring
  // over all, so the data centres stay strongly connected.
  const DataCentreHosts *SameRegion = nullptr;
  const DataCentreHosts *OtherRegion = nullptr;
  const auto Consider = [&](const DataCentreHosts &Hosts) {
    const DataCentreHosts *&Slot = Hosts.Region_ == Settings_.Region_ ? SameRegion : OtherRegion;
    if (Slot == nullptr)
      Slot = &Hosts;
  };
  const auto Own = DataCentres_.lower_bound(Settings_.DataCentre_);
  for (auto Next = Own; Next != DataCentres_.end(); ++Next)
    if (Next->first != Settings_.DataCentre_)
      Consider(Next->second);
  for (auto Next = DataCentres_.begin(); Next != Own; ++Next)
    Consider(Next->second);
  for (const DataCentreHosts *Hosts : {SameRegion, OtherRegion})
    if (Hosts != nullptr)
      for (HostId &Host : topHosts(ReaderKey, Hosts->Live_, ReadersPerDataCentre))
        RemoteReaders_.push_back(std::move(Host));
}

void ConfigSpread::noteStamps(TimePoint Now, const std::vector<PlatformStamp> &Stamps) {
  for (const PlatformStamp &Stamp : Stamps) {
    if (Stamp.Reader_ == Settings_.Self_)
      continue;
    StampRecord &Known = Stamps_[Stamp.Reader_];
    // A late or doubled stamp must not make a stopped reader look alive.
    if (std::make_pair(Stamp.Run_, Stamp.Sequence_) <=
        std::make_pair(Known.Stamp_.Run_, Known.Stamp_.Sequence_))
      continue;
    Known = {Stamp, Now - Stamp.ReadAge_, Now - Stamp.SentAge_};
  }
}

void ConfigSpread::noteOwnStamp(TimePoint Now) {
  PlatformStamp Stamp;
  Stamp.Reader_ = Settings_.Self_;
  Stamp.Run_ = Settings_.Run_;
  Stamp.Sequence_ = ++StampSequence_;
  Stamps_[Settings_.Self_] = {Stamp, LastRead_.value_or(Started_ - SilenceLimit), Now};
}

std::vector<PlatformStamp> ConfigSpread::freshStamps(TimePoint Now) const {
  std::vector<const StampRecord *> Newest;
  for (const auto &[Reader, Record] : Stamps_)
    if (Now - Record.SentAt_ < SilenceLimit)
      Newest.push_back(&Record);
  const std::size_t Kept = std::min(Newest.size(), ReadersPerDataCentre);
  std::partial_sort(Newest.begin(), Newest.begin() + static_cast<std::ptrdiff_t>(Kept),
                    Newest.end(), [](const StampRecord *A, const StampRecord *B) {
                      return A->ReadAt_ != B->ReadAt_ ? A->ReadAt_ > B->ReadAt_
                                                      : A->Stamp_.Reader_ < B->Stamp_.Reader_;
                    });
  std::vector<PlatformStamp> Result;
  for (std::size_t Index = 0; Index < Kept; ++Index) {
    PlatformStamp Stamp = Newest[Index]->Stamp_;
    Stamp.ReadAge_ = Now - Newest[Index]->ReadAt_;
    Stamp.SentAge_ = Now - Newest[Index]->SentAt_;
    Result.push_back(std::move(Stamp));
  }
  return Result;
}

std::size_t ConfigSpread::betterReaders(TimePoint Now) const {
  const Score Own = scoreOf(ReaderKey, Settings_.Self_);
  return static_cast<std::size_t>(
      std::count_if(Stamps_.begin(), Stamps_.end(), [&](const auto &Row) {
        return Now - Row.second.ReadAt_ < FreshReadLimit && Own < scoreOf(ReaderKey, Row.first);
      }));
}

bool ConfigSpread::heardAnyReader(TimePoint Now) const {
  return Now - Started_ < SilenceLimit ||
         std::any_of(Stamps_.begin(), Stamps_.end(),
                     [&](const auto &Row) { return Now - Row.second.SentAt_ < SilenceLimit; });
}

bool ConfigSpread::readRecently(TimePoint Now) const {
  return IsReader_ && LastRead_ && Now - *LastRead_ < FreshReadLimit;
}

void ConfigSpread::elect(TimePoint Now, ConfigEffects &Out) {
  for (auto Position = Stamps_.begin(); Position != Stamps_.end();)
    Position = Now - Position->second.SentAt_ > SilenceLimit ? Stamps_.erase(Position)
                                                             : std::next(Position);
  // Without a host list the rank says nothing.
  const bool Listed = DataCentres_.count(Settings_.DataCentre_) != 0;
  const bool Enough = betterReaders(Now) >= ReadersPerDataCentre;
  const bool Assigned = Listed && Rank_ < ReadersPerDataCentre;
  if (Enough && !Assigned) {
    TakeOverAt_.reset();
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
  if (!TakeOverAt_) {
    const bool Candidate = !Listed || Rank_ < ReaderCandidates;
    const Duration Delay = Candidate
                               ? TakeOverStep * static_cast<Duration::rep>(Rank_)
                               : TakeOverStep * static_cast<Duration::rep>(ReaderCandidates) * 4;
    const Duration FromStart = std::max(Duration(0), Started_ + FreshReadLimit - Now);
    TakeOverAt_ = Now + FromStart + randomUpTo(Delay);
  }
  if (Listed && Rank_ >= ReaderCandidates && heardAnyReader(Now))
    TakeOverAt_.reset();
  else if (Now >= *TakeOverAt_) {
    TakeOverAt_.reset();
    IsReader_ = true;
    NextRead_ = Now;
  }
}

void ConfigSpread::read(TimePoint Now, ConfigEffects &Out) {
  if (ReadPending_ && Now - ReadSent_ > ReadTimeout)
    platformFailed(Now);
  if (!IsReader_ || ReadPending_ || Now < NextRead_)
    return;
  ReadPending_ = true;
  ReadSent_ = Now;
  Out.emplace_back(ReadPlatform{Covered_, LastRead_ ? WatchTime : Duration(0)});
}

void ConfigSpread::platformFailed(TimePoint Now) {
  ReadPending_ = false;
  ReadBackoff_ = std::clamp<Duration>(ReadBackoff_ * 2, MinReadBackoff, MaxReadBackoff);
  NextRead_ = Now + ReadBackoff_ / 2 + randomUpTo(ReadBackoff_ / 2);
}

ConfigEffects ConfigSpread::handlePlatform(TimePoint Now, const PlatformReply &Reply) {
  ConfigEffects Out;
  if (Reply.Revision_ < Covered_ || Reply.Since_ > Covered_) {
    // A stale replica answered, or the read was of an earlier run and leaves a gap. A stamp would
    // keep hosts with a better answer from reading.
    platformFailed(Now);
  } else {
    ReadPending_ = false;
    ReadBackoff_ = Duration(0);
    LastRead_ = Now;
    NextRead_ = std::max(Now, ReadSent_ + MinReadInterval);
    Covered_ = Reply.Revision_;
    noteOwnStamp(Now);
  }
  take(Now, Settings_.Self_, Reply.Values_, Out);
  read(Now, Out);
  return Out;
}

void ConfigSpread::sendStamps(TimePoint Now, ConfigEffects &Out) {
  if (!IsReader_ || Now < NextStamp_)
    return;
  NextStamp_ = Now + StampInterval;
  noteOwnStamp(Now);
  ConfigAnnounce News;
  News.Stamps_ = freshStamps(Now);
  for (const HostId &To : Candidates_)
    if (To != Settings_.Self_)
      Out.emplace_back(SendConfig{To, News});
}

} // namespace bronzestand
