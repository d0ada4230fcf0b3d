#include "bronzestand/quarantine.h"

#include <algorithm>
#include <cmath>

#include <fmt/format.h>
#include <xxhash.h>

#include "bronzestand/rendezvous.h"

namespace bronzestand {
namespace {

/// With two repeats, at 10 % loss, a message reaches all but 0.1 % of the nodes within 1 s.
constexpr Duration RepeatInterval = std::chrono::milliseconds(300);
constexpr int RepeatCount = 2;
/// Limits memory; a message beyond this many is not repeated.
constexpr std::size_t MaxRepeats = 64;
/// A crash is only taken as evidence of a second cause for this time.
constexpr Duration RecentTime = std::chrono::seconds(5);
/// Part of the allowed time in which all suspects should have run, as the mean time that calls run
/// is an estimate.
constexpr double WaitMargin = 0.75;
/// Peers that are asked for their tables after the start.
constexpr std::size_t QueriedPeers = 3;

std::uint64_t hashOf(Fingerprint RequestFingerprint, const TeamId &Team) {
  return XXH3_64bits_withSeed(Team.str().data(), Team.str().size(), RequestFingerprint);
}

std::size_t hostCount(const std::set<CrashRecord> &Crashes) {
  std::set<HostId> Hosts;
  for (const CrashRecord &Crash : Crashes)
    Hosts.insert(Crash.Host_);
  return Hosts.size();
}

} // namespace

namespace detail {

void RecentlyServed::add(TimePoint Now, Fingerprint RequestFingerprint, const TeamId &Team) {
  const std::uint64_t Hash = hashOf(RequestFingerprint, Team);
  Slots_[Hash % Slots] = {Hash, Now};
}

bool RecentlyServed::contains(TimePoint Now, Fingerprint RequestFingerprint,
                              const TeamId &Team) const {
  const std::uint64_t Hash = hashOf(RequestFingerprint, Team);
  const Slot &Found = Slots_[Hash % Slots];
  return Found.Hash_ == Hash && Found.At_ != TimePoint() && Now - Found.At_ <= Retention;
}

} // namespace detail

Fingerprint fingerprintOf(std::string_view Route, const TeamId &Team, std::string_view Body) {
  const std::string Head = fmt::format("{}\n{}", Route, Team.str());
  return XXH3_64bits_withSeed(Body.data(), Body.size(), XXH3_64bits(Head.data(), Head.size()));
}

std::string fingerprintText(Fingerprint Value) { return fmt::format("{:016x}", Value); }

const Quarantine::Entry *Quarantine::find(TimePoint Now, const Key &EntryKey) const {
  const auto Found = Entries_.find(EntryKey);
  return Found == Entries_.end() || Found->second.Expiry_ <= Now ? nullptr : &Found->second;
}

void Quarantine::erase(const Key &EntryKey) {
  if (Entries_.erase(EntryKey) == 0)
    return;
  const auto Count = CountByTeam_.find(EntryKey.first);
  if (--Count->second == 0)
    CountByTeam_.erase(Count);
}

void Quarantine::evictOldestEntryOf(const TeamId &Team) {
  auto Oldest = Entries_.end();
  const auto Order = [](const Entry &Candidate) {
    return std::make_tuple(Candidate.Quarantined_, Candidate.Crashes_.size(), Candidate.Sequence_);
  };
  for (auto Position = Entries_.lower_bound({Team, 0});
       Position != Entries_.end() && Position->first.first == Team; ++Position)
    if (Oldest == Entries_.end() || Order(Position->second) < Order(Oldest->second))
      Oldest = Position;
  if (Oldest != Entries_.end())
    erase(Key(Oldest->first));
}

Quarantine::Entry &Quarantine::findOrInsert(TimePoint Now, const Key &EntryKey, Duration TimeLeft) {
  if (const auto Found = Entries_.find(EntryKey); Found != Entries_.end()) {
    if (Found->second.Expiry_ > Now)
      return Found->second;
    erase(EntryKey);
  }
  const auto TeamCount = CountByTeam_.find(EntryKey.first);
  if (TeamCount != CountByTeam_.end() && TeamCount->second >= TeamLimit) {
    evictOldestEntryOf(EntryKey.first);
  } else if (Entries_.size() >= TableLimit) {
    // The team with the most entries loses one, so that no team can displace one with fewer.
    const auto Largest =
        std::max_element(CountByTeam_.begin(), CountByTeam_.end(),
                         [](const auto &A, const auto &B) { return A.second < B.second; });
    evictOldestEntryOf(TeamId(Largest->first));
  }
  ++CountByTeam_[EntryKey.first];
  Entry &Stored = Entries_[EntryKey];
  Stored.Expiry_ = Now + std::clamp(TimeLeft, Duration(0), Lifetime);
  Stored.Sequence_ = NextSequence_++;
  return Stored;
}

std::set<Quarantine::Key> Quarantine::runningSuspects(TimePoint Now, CallId Last) const {
  std::set<Key> Result;
  for (auto Run = Running_.begin(); Run != Running_.end() && Run->first <= Last; ++Run)
    if (find(Now, Run->second) != nullptr)
      Result.insert(Run->second);
  return Result;
}

StartVerdict Quarantine::mayStart(TimePoint Now, Fingerprint RequestFingerprint, const TeamId &Team,
                                  std::size_t Waiting, std::size_t PerStart) const {
  const Entry *Stored = find(Now, {Team, RequestFingerprint});
  if (Stored == nullptr)
    return StartVerdict::Start;
  if (Stored->Quarantined_)
    return StartVerdict::Quarantined;
  const std::set<Key> Suspects = runningSuspects(Now, std::numeric_limits<CallId>::max());
  if (Suspects.empty())
    return StartVerdict::Start;
  const auto MustRunAlone = [](const Entry &Suspect) { return Suspect.Crashes_.size() > 1; };
  const bool Alone = MustRunAlone(*Stored) ||
                     std::any_of(Suspects.begin(), Suspects.end(), [&](const Key &EntryKey) {
                       return MustRunAlone(Entries_.at(EntryKey));
                     });
  return !Alone && Suspects.size() < 1 + Waiting / PerStart ? StartVerdict::Start
                                                            : StartVerdict::WaitAlone;
}

std::size_t Quarantine::waitingPerStart(std::size_t Waiting, Duration MeanRun, Duration Allowed) {
  std::size_t Result = MostPerStart;
  while (Result > LeastPerStart && expectedWait(Waiting, MeanRun, Result) > Allowed * WaitMargin)
    --Result;
  return Result;
}

Duration Quarantine::expectedWait(std::size_t Ahead, Duration MeanRun, std::size_t PerStart) {
  // The sum of MeanRun / (1 + Waiting / PerStart) while the number of waiting ones falls.
  const auto Share = static_cast<double>(PerStart);
  const double Runs = Share * std::log1p((static_cast<double>(Ahead) + 1.0) / Share);
  return std::chrono::duration_cast<Duration>(Runs * MeanRun);
}

void Quarantine::started(CallId Call, Fingerprint RequestFingerprint, const TeamId &Team) {
  Running_.insert_or_assign(Call, Key(Team, RequestFingerprint));
}

void Quarantine::learn(TimePoint Now, Fingerprint RequestFingerprint, const TeamId &Team,
                       const std::vector<CrashRecord> &Crashes) {
  if (!Crashes.empty())
    handleSuspects(Now, Self_, {{{Team, RequestFingerprint, Crashes, Lifetime}}, false});
}

std::vector<QuarantineSend> Quarantine::finished(TimePoint Now, CallId Call, bool Served) {
  const auto Found = Running_.find(Call);
  if (Found == Running_.end())
    return {};
  const Key EntryKey = Found->second;
  Running_.erase(Found);
  if (Served)
    Served_.add(Now, EntryKey.second, EntryKey.first);
  const Entry *Stored = find(Now, EntryKey);
  if (!Served || Stored == nullptr || Stored->Quarantined_)
    return {};
  SuspectMessage Message{{itemOf(Now, EntryKey, *Stored)}, true};
  erase(EntryKey);
  return publish(Now, std::move(Message));
}

std::vector<QuarantineSend> Quarantine::crashed(TimePoint Now, CallId Last) {
  const std::set<Key> Suspects = runningSuspects(Now, Last);
  std::set<Key> RanAtCrash;
  while (!Running_.empty() && Running_.begin()->first <= Last) {
    const Key &EntryKey = Running_.begin()->second;
    if (!Served_.contains(Now, EntryKey.second, EntryKey.first))
      RanAtCrash.insert(EntryKey);
    Running_.erase(Running_.begin());
  }
  // Strictly increasing, also across restarts of this process.
  LastCrash_ = std::max(LastCrash_ + 1, static_cast<std::uint64_t>(Now.time_since_epoch().count()));
  CrashRecord Crash{Self_, LastCrash_, false};
  if (Suspects.size() == 1) {
    const Key &EntryKey = *Suspects.begin();
    Entry &Stored = findOrInsert(Now, EntryKey, Lifetime);
    const bool Proven = isProvenCause(Now, Stored);
    Crash.OnlySuspect_ = true;
    addCrash(Now, Stored, Crash);
    Crash.OnlySuspect_ = false;
    if (Proven)
      return publish(Now, quarantine(Now, EntryKey, Stored));
  }
  SuspectMessage Message;
  for (const Key &EntryKey : RanAtCrash) {
    Entry &Stored = findOrInsert(Now, EntryKey, Lifetime);
    addCrash(Now, Stored, Crash);
    Message.Items_.push_back(itemOf(Now, EntryKey, Stored));
  }
  if (const auto Cause = findCommonCause(Now); Cause != Entries_.end())
    return publish(Now, quarantine(Now, Cause->first, Cause->second));
  return Message.Items_.empty() ? std::vector<QuarantineSend>() : publish(Now, std::move(Message));
}

QuarantineMessage Quarantine::quarantine(TimePoint Now, const Key &EntryKey, Entry &Stored) {
  Stored.Quarantined_ = true;
  Stored.Expiry_ = Now + Lifetime;
  QuarantineMessage Message{{itemOf(Now, EntryKey, Stored)}};
  removeAttributedCrashes();
  return Message;
}

std::set<CrashRecord> Quarantine::recentCrashes(TimePoint Now) const {
  std::set<CrashRecord> Result;
  for (const auto &[EntryKey, Stored] : Entries_)
    if (!Stored.Quarantined_ && Stored.Expiry_ > Now && Now - Stored.LastCrash_ <= RecentTime)
      Result.insert(Stored.Crashes_.begin(), Stored.Crashes_.end());
  return Result;
}

std::map<Quarantine::Key, Quarantine::Entry>::iterator Quarantine::findCommonCause(TimePoint Now) {
  const std::set<CrashRecord> Recent = recentCrashes(Now);
  auto Cause = Entries_.end();
  if (hostCount(Recent) < 2)
    return Cause;
  for (auto Item = Entries_.begin(); Item != Entries_.end(); ++Item) {
    const Entry &Stored = Item->second;
    if (Stored.Quarantined_ || Stored.Expiry_ <= Now ||
        !std::includes(Stored.Crashes_.begin(), Stored.Crashes_.end(), Recent.begin(),
                       Recent.end()))
      continue;
    if (Cause != Entries_.end())
      return Entries_.end();
    Cause = Item;
  }
  return Cause;
}

bool Quarantine::isProvenCause(TimePoint Now, const Entry &Suspect) const {
  bool CrashedElsewhere = false;
  bool OnlySuspectElsewhere = false;
  std::size_t SoleCrashes = 1; // the present one
  for (const CrashRecord &Crash : Suspect.Crashes_) {
    CrashedElsewhere = CrashedElsewhere || Crash.Host_ != Self_;
    OnlySuspectElsewhere = OnlySuspectElsewhere || (Crash.Host_ != Self_ && Crash.OnlySuspect_);
    SoleCrashes += Crash.OnlySuspect_ ? 1 : 0;
  }
  if (OnlySuspectElsewhere || SoleCrashes >= SoleCrashLimit)
    return true;
  const std::set<CrashRecord> Recent = recentCrashes(Now);
  return CrashedElsewhere && std::includes(Suspect.Crashes_.begin(), Suspect.Crashes_.end(),
                                           Recent.begin(), Recent.end());
}

std::set<CrashRecord> Quarantine::attributedCrashes() const {
  std::set<CrashRecord> Result;
  for (const auto &[EntryKey, Stored] : Entries_)
    if (Stored.Quarantined_)
      Result.insert(Stored.Crashes_.begin(), Stored.Crashes_.end());
  return Result;
}

/// Crashes of a quarantined fingerprint no longer count against the others that ran at the time.
void Quarantine::removeAttributedCrashes() {
  const std::set<CrashRecord> Attributed = attributedCrashes();
  for (auto Position = Entries_.begin(); Position != Entries_.end();) {
    const Key EntryKey = Position->first;
    Entry &Stored = Position->second;
    ++Position;
    if (Stored.Quarantined_)
      continue;
    for (const CrashRecord &Crash : Attributed)
      Stored.Crashes_.erase(Crash);
    if (Stored.Crashes_.empty())
      erase(EntryKey);
  }
}

void Quarantine::addCrash(TimePoint Now, Entry &Stored, const CrashRecord &Crash) {
  if (Stored.Crashes_.count(Crash) != 0)
    return;
  Stored.LastCrash_ = Now;
  if (Stored.Crashes_.size() >= CrashLimit) {
    // Crashes as the only suspect are the stronger evidence, so they are kept.
    const auto OtherCrash = std::find_if(Stored.Crashes_.begin(), Stored.Crashes_.end(),
                                         [](const CrashRecord &Old) { return !Old.OnlySuspect_; });
    if (OtherCrash == Stored.Crashes_.end())
      return;
    Stored.Crashes_.erase(OtherCrash);
  }
  Stored.Crashes_.insert(Crash);
}

std::vector<QuarantineSend> Quarantine::handle(TimePoint Now, const HostId &From,
                                               const QuarantineBody &Message) {
  std::vector<QuarantineSend> Sends;
  if (Peers_.count(From) == 0)
    return Sends;
  if (const auto *Quarantined = std::get_if<QuarantineMessage>(&Message))
    handleQuarantined(Now, *Quarantined);
  else if (const auto *Suspects = std::get_if<SuspectMessage>(&Message))
    Sends = handleSuspects(Now, From, *Suspects);
  else
    appendTable(Now, From, Sends);
  return Sends;
}

void Quarantine::handleQuarantined(TimePoint Now, const QuarantineMessage &Message) {
  for (const QuarantineItem &Item : Message.Items_) {
    Entry &Stored = findOrInsert(Now, {Item.Team_, Item.Fingerprint_}, Item.TimeLeft_);
    if (!Stored.Quarantined_)
      Stored.Expiry_ = Now + std::clamp(Item.TimeLeft_, Duration(0), Lifetime);
    Stored.Quarantined_ = true;
    for (const CrashRecord &Crash : Item.Crashes_)
      addCrash(Now, Stored, Crash);
  }
  removeAttributedCrashes();
}

// A node that reports a quarantined fingerprint as a suspect has lost or never got the table.
std::vector<QuarantineSend> Quarantine::handleSuspects(TimePoint Now, const HostId &From,
                                                       const SuspectMessage &Message) {
  const std::set<CrashRecord> Attributed =
      Message.Cleared_ ? std::set<CrashRecord>() : attributedCrashes();
  QuarantineMessage Known;
  SuspectMessage Innocent{{}, true};
  for (const QuarantineItem &Item : Message.Items_) {
    const Key EntryKey(Item.Team_, Item.Fingerprint_);
    const Entry *Existing = find(Now, EntryKey);
    if (Existing != nullptr && Existing->Quarantined_) {
      if (!Message.Cleared_)
        Known.Items_.push_back(itemOf(Now, EntryKey, *Existing));
      continue;
    }
    if (Message.Cleared_) {
      erase(EntryKey);
      continue;
    }
    if (Served_.contains(Now, Item.Fingerprint_, Item.Team_)) {
      Innocent.Items_.push_back({Item.Team_, Item.Fingerprint_, {}, {}});
      continue;
    }
    // A repeated message may arrive after the cause of the crash was found.
    for (const CrashRecord &Crash : Item.Crashes_)
      if (Attributed.count(Crash) == 0)
        addCrash(Now, findOrInsert(Now, EntryKey, Item.TimeLeft_), Crash);
  }
  // All nodes find the same cause from the same messages, so it needs no message of its own.
  if (const auto Cause = findCommonCause(Now); Cause != Entries_.end())
    quarantine(Now, Cause->first, Cause->second);
  std::vector<QuarantineSend> Sends;
  if (!Known.Items_.empty())
    Sends.push_back({From, std::move(Known)});
  if (!Innocent.Items_.empty())
    Sends.push_back({From, std::move(Innocent)});
  return Sends;
}

std::vector<QuarantineSend> Quarantine::setPeers(TimePoint Now, const std::set<HostId> &Listed) {
  std::vector<QuarantineSend> Sends;
  for (auto &[Peer, LastListed] : Peers_)
    if (LastListed == TimePoint::max() && Listed.count(Peer) == 0)
      LastListed = Now;
  for (const HostId &Peer : Listed) {
    if (Peer == Self_)
      continue;
    const auto [Item, Added] = Peers_.insert_or_assign(Peer, TimePoint::max());
    if (Added)
      appendTable(Now, Peer, Sends);
  }
  if (!Queried_ && !Peers_.empty()) {
    Queried_ = true;
    std::vector<HostId> Candidates;
    for (const auto &[Peer, LastListed] : Peers_)
      Candidates.push_back(Peer);
    for (const HostId &Peer : topHosts(Self_.str(), Candidates, QueriedPeers))
      Sends.push_back({Peer, QuarantineQuery()});
  }
  return Sends;
}

void Quarantine::appendTable(TimePoint Now, const HostId &Peer,
                             std::vector<QuarantineSend> &Sends) const {
  SuspectMessage Suspects;
  QuarantineMessage Quarantined;
  for (const auto &[EntryKey, Stored] : Entries_)
    if (Stored.Expiry_ > Now)
      (Stored.Quarantined_ ? Quarantined.Items_ : Suspects.Items_)
          .push_back(itemOf(Now, EntryKey, Stored));
  if (!Suspects.Items_.empty())
    Sends.push_back({Peer, std::move(Suspects)});
  if (!Quarantined.Items_.empty())
    Sends.push_back({Peer, std::move(Quarantined)});
}

std::vector<QuarantineSend> Quarantine::tick(TimePoint Now) {
  for (auto Position = Entries_.begin(); Position != Entries_.end();) {
    const Key EntryKey = Position->first;
    const bool Expired = Position->second.Expiry_ <= Now;
    ++Position;
    if (Expired)
      erase(EntryKey);
  }
  for (auto Peer = Peers_.begin(); Peer != Peers_.end();) {
    const bool Unlisted = Peer->second != TimePoint::max();
    Peer = Unlisted && Now - Peer->second > PeerRetention ? Peers_.erase(Peer) : std::next(Peer);
  }
  std::vector<QuarantineSend> Sends;
  for (Repeat &Item : RepeatedMessages_) {
    if (Now < Item.NextSend_)
      continue;
    sendToPeers(Item.Message_, Sends);
    Item.NextSend_ = Now + RepeatInterval;
    --Item.RemainingCount_;
  }
  RepeatedMessages_.erase(
      std::remove_if(RepeatedMessages_.begin(), RepeatedMessages_.end(),
                     [](const Repeat &Item) { return Item.RemainingCount_ <= 0; }),
      RepeatedMessages_.end());
  return Sends;
}

std::vector<CrashRecord> Quarantine::crashesOf(TimePoint Now, Fingerprint RequestFingerprint,
                                               const TeamId &Team) const {
  const Entry *Stored = find(Now, {Team, RequestFingerprint});
  if (Stored == nullptr)
    return {};
  return {Stored->Crashes_.begin(), Stored->Crashes_.end()};
}

std::vector<Quarantine::Listed> Quarantine::list(TimePoint Now) const {
  std::vector<Listed> Result;
  Result.reserve(Entries_.size());
  for (const auto &[EntryKey, Stored] : Entries_)
    if (Stored.Expiry_ > Now)
      Result.push_back({EntryKey.first, EntryKey.second, Stored.Quarantined_,
                        Stored.Crashes_.size(), Stored.Expiry_ - Now});
  return Result;
}

std::size_t Quarantine::quarantinedCount() const {
  return static_cast<std::size_t>(std::count_if(
      Entries_.begin(), Entries_.end(), [](const auto &Item) { return Item.second.Quarantined_; }));
}

QuarantineItem Quarantine::itemOf(TimePoint Now, const Key &EntryKey, const Entry &Stored) const {
  return {EntryKey.first,
          EntryKey.second,
          {Stored.Crashes_.begin(), Stored.Crashes_.end()},
          Stored.Expiry_ - Now};
}

std::vector<QuarantineSend> Quarantine::publish(TimePoint Now, QuarantineBody Message) {
  std::vector<QuarantineSend> Sends;
  sendToPeers(Message, Sends);
  if (RepeatedMessages_.size() < MaxRepeats)
    RepeatedMessages_.push_back({std::move(Message), Now + RepeatInterval, RepeatCount});
  return Sends;
}

void Quarantine::sendToPeers(const QuarantineBody &Message,
                             std::vector<QuarantineSend> &Sends) const {
  for (const auto &[Peer, LastListed] : Peers_)
    Sends.push_back({Peer, Message});
}

} // namespace bronzestand
