#include "bronzestand/quarantine.h"

#include <algorithm>

#include <fmt/format.h>
#include <xxhash.h>

namespace bronzestand {
namespace {

constexpr Duration Lifetime = std::chrono::minutes(10);
/// With two repeats, at 10 % loss, a message reaches all but 0.1 % of the nodes within 1 s.
constexpr Duration RepeatInterval = std::chrono::milliseconds(300);
constexpr int RepeatCount = 2;
/// Limits memory; a message beyond this many is not repeated.
constexpr std::size_t MaxRepeats = 64;

} // namespace

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
    return std::make_pair(Candidate.Quarantined_, Candidate.Sequence_);
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

std::set<Quarantine::Key> Quarantine::runningSuspects(TimePoint Now) const {
  std::set<Key> Result;
  for (const auto &[Call, EntryKey] : Running_)
    if (find(Now, EntryKey) != nullptr)
      Result.insert(EntryKey);
  return Result;
}

StartVerdict Quarantine::mayStart(TimePoint Now, Fingerprint RequestFingerprint,
                                  const TeamId &Team) const {
  const Entry *Stored = find(Now, {Team, RequestFingerprint});
  if (Stored == nullptr)
    return StartVerdict::Start;
  if (Stored->Quarantined_)
    return StartVerdict::Quarantined;
  return runningSuspects(Now).empty() ? StartVerdict::Start : StartVerdict::WaitAlone;
}

void Quarantine::started(TimePoint /*Now*/, CallId Call, Fingerprint RequestFingerprint,
                         const TeamId &Team) {
  Running_.insert_or_assign(Call, Key(Team, RequestFingerprint));
}

std::vector<QuarantineSend> Quarantine::finished(TimePoint Now, CallId Call, bool Served) {
  const auto Found = Running_.find(Call);
  if (Found == Running_.end())
    return {};
  const Key EntryKey = Found->second;
  Running_.erase(Found);
  const Entry *Stored = find(Now, EntryKey);
  if (!Served || Stored == nullptr || Stored->Quarantined_)
    return {};
  SuspectMessage Message{{itemOf(Now, EntryKey, *Stored)}, true};
  erase(EntryKey);
  return publish(Now, std::move(Message));
}

std::vector<QuarantineSend> Quarantine::crashed(TimePoint Now) {
  const std::set<Key> Suspects = runningSuspects(Now);
  std::set<Key> RanAtCrash;
  for (const auto &[Call, EntryKey] : Running_)
    RanAtCrash.insert(EntryKey);
  Running_.clear();
  // Strictly increasing, also across restarts of this process.
  LastCrash_ = std::max(LastCrash_ + 1, static_cast<std::uint64_t>(Now.time_since_epoch().count()));
  CrashRecord Crash{Self_, LastCrash_, false};
  if (Suspects.size() == 1) {
    const Key &EntryKey = *Suspects.begin();
    Entry &Stored = findOrInsert(Now, EntryKey, Lifetime);
    const bool Proven = isProvenCause(Now, Stored);
    Crash.OnlySuspect_ = true;
    addCrash(Stored, Crash);
    Crash.OnlySuspect_ = false;
    if (Proven) {
      Stored.Quarantined_ = true;
      Stored.Expiry_ = Now + Lifetime;
      QuarantineMessage Message{{itemOf(Now, EntryKey, Stored)}};
      removeAttributedCrashes();
      return publish(Now, std::move(Message));
    }
  }
  SuspectMessage Message;
  for (const Key &EntryKey : RanAtCrash) {
    Entry &Stored = findOrInsert(Now, EntryKey, Lifetime);
    addCrash(Stored, Crash);
    Message.Items_.push_back(itemOf(Now, EntryKey, Stored));
  }
  return Message.Items_.empty() ? std::vector<QuarantineSend>() : publish(Now, std::move(Message));
}

bool Quarantine::isProvenCause(TimePoint Now, const Entry &Suspect) const {
  bool CrashedElsewhere = false;
  bool OnlySuspectElsewhere = false;
  for (const CrashRecord &Crash : Suspect.Crashes_) {
    CrashedElsewhere = CrashedElsewhere || Crash.Host_ != Self_;
    OnlySuspectElsewhere = OnlySuspectElsewhere || (Crash.Host_ != Self_ && Crash.OnlySuspect_);
  }
  if (!CrashedElsewhere || OnlySuspectElsewhere)
    return CrashedElsewhere;
  for (const auto &[EntryKey, Stored] : Entries_) {
    if (Stored.Quarantined_ || Stored.Expiry_ <= Now)
      continue;
    for (const CrashRecord &Crash : Stored.Crashes_)
      if (Suspect.Crashes_.count(Crash) == 0)
        return false;
  }
  return true;
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

void Quarantine::addCrash(Entry &Stored, const CrashRecord &Crash) {
  if (Stored.Crashes_.count(Crash) != 0)
    return;
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

void Quarantine::handle(TimePoint Now, const HostId &From, const QuarantineBody &Message) {
  if (Peers_.count(From) == 0)
    return;
  if (const auto *Update = std::get_if<QuarantineMessage>(&Message)) {
    for (const QuarantineItem &Item : Update->Items_) {
      Entry &Stored = findOrInsert(Now, {Item.Team_, Item.Fingerprint_}, Item.TimeLeft_);
      if (!Stored.Quarantined_)
        Stored.Expiry_ = Now + std::clamp(Item.TimeLeft_, Duration(0), Lifetime);
      Stored.Quarantined_ = true;
      for (const CrashRecord &Crash : Item.Crashes_)
        addCrash(Stored, Crash);
    }
    removeAttributedCrashes();
    return;
  }
  const auto &Suspects = std::get<SuspectMessage>(Message);
  const std::set<CrashRecord> Attributed =
      Suspects.Cleared_ ? std::set<CrashRecord>() : attributedCrashes();
  for (const QuarantineItem &Item : Suspects.Items_) {
    const Key EntryKey(Item.Team_, Item.Fingerprint_);
    const Entry *Existing = find(Now, EntryKey);
    if (Existing != nullptr && Existing->Quarantined_)
      continue;
    if (Suspects.Cleared_) {
      erase(EntryKey);
      continue;
    }
    // A repeated message may arrive after the cause of the crash was found.
    for (const CrashRecord &Crash : Item.Crashes_)
      if (Attributed.count(Crash) == 0)
        addCrash(findOrInsert(Now, EntryKey, Item.TimeLeft_), Crash);
  }
}

std::vector<QuarantineSend> Quarantine::setPeers(TimePoint Now, const std::set<HostId> &Peers) {
  SuspectMessage Suspects;
  QuarantineMessage Quarantined;
  for (const auto &[EntryKey, Stored] : Entries_)
    if (Stored.Expiry_ > Now)
      (Stored.Quarantined_ ? Quarantined.Items_ : Suspects.Items_)
          .push_back(itemOf(Now, EntryKey, Stored));
  std::vector<QuarantineSend> Sends;
  for (const HostId &Peer : Peers) {
    if (Peer == Self_ || Peers_.count(Peer) != 0)
      continue;
    if (!Suspects.Items_.empty())
      Sends.push_back({Peer, Suspects});
    if (!Quarantined.Items_.empty())
      Sends.push_back({Peer, Quarantined});
  }
  Peers_ = Peers;
  Peers_.erase(Self_);
  return Sends;
}

std::vector<QuarantineSend> Quarantine::tick(TimePoint Now) {
  for (auto Position = Entries_.begin(); Position != Entries_.end();) {
    const Key EntryKey = Position->first;
    const bool Expired = Position->second.Expiry_ <= Now;
    ++Position;
    if (Expired)
      erase(EntryKey);
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
  for (const HostId &Peer : Peers_)
    Sends.push_back({Peer, Message});
}

} // namespace bronzestand
