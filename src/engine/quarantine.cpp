#include "bronzestand/quarantine.h"

#include <algorithm>

#include <fmt/format.h>
#include <xxhash.h>

namespace bronzestand {
namespace {

constexpr Duration Lifetime = std::chrono::minutes(10);
/// Two repeats bring a message through 10 % loss to all but 0.1 % of the nodes, within 1 s.
constexpr Duration RepeatInterval = std::chrono::milliseconds(300);
constexpr int RepeatCount = 2;
/// Older messages are not repeated beyond this many; the bound keeps memory constant.
constexpr std::size_t MaxRepeats = 64;

} // namespace

Fingerprint fingerprintOf(std::string_view Route, const TeamId &Team, std::string_view Body) {
  const std::string Head = fmt::format("{}\n{}", Route, Team.str());
  return XXH3_64bits_withSeed(Body.data(), Body.size(), XXH3_64bits(Head.data(), Head.size()));
}

const Quarantine::Entry *Quarantine::find(TimePoint Now, const Key &Name) const {
  const auto Found = Entries_.find(Name);
  return Found == Entries_.end() || Found->second.Expiry_ <= Now ? nullptr : &Found->second;
}

void Quarantine::erase(const Key &Name) {
  if (Entries_.erase(Name) == 0)
    return;
  const auto Count = CountByTeam_.find(Name.first);
  if (--Count->second == 0)
    CountByTeam_.erase(Count);
}

void Quarantine::evictOldestOf(const TeamId &Team) {
  auto Oldest = Entries_.end();
  const auto Order = [](const Entry &Value) {
    return std::make_pair(Value.Quarantined_, Value.Sequence_);
  };
  for (auto It = Entries_.lower_bound({Team, 0}); It != Entries_.end() && It->first.first == Team;
       ++It)
    if (Oldest == Entries_.end() || Order(It->second) < Order(Oldest->second))
      Oldest = It;
  if (Oldest != Entries_.end())
    erase(Key(Oldest->first));
}

Quarantine::Entry &Quarantine::put(TimePoint Now, const Key &Name, Duration TimeLeft) {
  if (const auto Found = Entries_.find(Name); Found != Entries_.end()) {
    if (Found->second.Expiry_ > Now)
      return Found->second;
    erase(Name);
  }
  const auto Own = CountByTeam_.find(Name.first);
  if (Own != CountByTeam_.end() && Own->second >= TeamLimit) {
    evictOldestOf(Name.first);
  } else if (Entries_.size() >= TableLimit) {
    // The team with the most entries pays, so that no team can displace a smaller one.
    const auto Largest =
        std::max_element(CountByTeam_.begin(), CountByTeam_.end(),
                         [](const auto &A, const auto &B) { return A.second < B.second; });
    evictOldestOf(TeamId(Largest->first));
  }
  ++CountByTeam_[Name.first];
  Entry &Value = Entries_[Name];
  Value.Expiry_ = Now + std::clamp(TimeLeft, Duration(0), Lifetime);
  Value.Sequence_ = NextSequence_++;
  return Value;
}

std::set<Quarantine::Key> Quarantine::runningSuspects(TimePoint Now) const {
  std::set<Key> Result;
  for (const auto &[Call, Name] : Running_)
    if (find(Now, Name) != nullptr)
      Result.insert(Name);
  return Result;
}

StartVerdict Quarantine::mayStart(TimePoint Now, Fingerprint Print, const TeamId &Team) const {
  const Entry *Value = find(Now, {Team, Print});
  if (Value == nullptr)
    return StartVerdict::Start;
  if (Value->Quarantined_)
    return StartVerdict::Quarantined;
  return runningSuspects(Now).empty() ? StartVerdict::Start : StartVerdict::WaitAlone;
}

void Quarantine::started(TimePoint /*Now*/, CallId Call, Fingerprint Print, const TeamId &Team) {
  Running_.insert_or_assign(Call, Key(Team, Print));
}

std::vector<QuarantineSend> Quarantine::finished(TimePoint Now, CallId Call, bool Served) {
  const auto Found = Running_.find(Call);
  if (Found == Running_.end())
    return {};
  const Key Name = Found->second;
  Running_.erase(Found);
  const Entry *Value = find(Now, Name);
  if (!Served || Value == nullptr || Value->Quarantined_)
    return {};
  SuspectMessage Message{{itemOf(Now, Name, *Value)}, true};
  erase(Name);
  return publish(Now, std::move(Message));
}

std::vector<QuarantineSend> Quarantine::crashed(TimePoint Now) {
  const std::set<Key> Suspects = runningSuspects(Now);
  std::set<Key> Ran;
  for (const auto &[Call, Name] : Running_)
    Ran.insert(Name);
  Running_.clear();
  // Strictly increasing, also over restarts of this process.
  LastCrash_ = std::max(LastCrash_ + 1, static_cast<std::uint64_t>(Now.time_since_epoch().count()));
  CrashRecord Crash{Self_, LastCrash_, false};
  if (Suspects.size() == 1) {
    const Key &Name = *Suspects.begin();
    Entry &Value = put(Now, Name, Lifetime);
    const bool Proven = isProven(Now, Value);
    Crash.OnlySuspect_ = true;
    addCrash(Value, Crash);
    Crash.OnlySuspect_ = false;
    if (Proven) {
      Value.Quarantined_ = true;
      Value.Expiry_ = Now + Lifetime;
      QuarantineMessage Message{{itemOf(Now, Name, Value)}};
      dropExplained();
      return publish(Now, std::move(Message));
    }
  }
  SuspectMessage Message;
  for (const Key &Name : Ran) {
    Entry &Value = put(Now, Name, Lifetime);
    addCrash(Value, Crash);
    Message.Items_.push_back(itemOf(Now, Name, Value));
  }
  return Message.Items_.empty() ? std::vector<QuarantineSend>() : publish(Now, std::move(Message));
}

bool Quarantine::isProven(TimePoint Now, const Entry &Suspect) const {
  bool Elsewhere = false;
  bool ElsewhereAsOnly = false;
  for (const CrashRecord &Crash : Suspect.Crashes_) {
    Elsewhere = Elsewhere || Crash.Host_ != Self_;
    ElsewhereAsOnly = ElsewhereAsOnly || (Crash.Host_ != Self_ && Crash.OnlySuspect_);
  }
  if (!Elsewhere || ElsewhereAsOnly)
    return Elsewhere;
  for (const auto &[Name, Value] : Entries_) {
    if (Value.Quarantined_ || Value.Expiry_ <= Now)
      continue;
    for (const CrashRecord &Crash : Value.Crashes_)
      if (Suspect.Crashes_.count(Crash) == 0)
        return false;
  }
  return true;
}

std::set<CrashRecord> Quarantine::explainedCrashes() const {
  std::set<CrashRecord> Result;
  for (const auto &[Name, Value] : Entries_)
    if (Value.Quarantined_)
      Result.insert(Value.Crashes_.begin(), Value.Crashes_.end());
  return Result;
}

/// Crashes of a quarantined fingerprint count no longer against those that ran beside it.
void Quarantine::dropExplained() {
  const std::set<CrashRecord> Explained = explainedCrashes();
  for (auto It = Entries_.begin(); It != Entries_.end();) {
    const Key Name = It->first;
    Entry &Value = It->second;
    ++It;
    if (Value.Quarantined_)
      continue;
    for (const CrashRecord &Crash : Explained)
      Value.Crashes_.erase(Crash);
    if (Value.Crashes_.empty())
      erase(Name);
  }
}

void Quarantine::addCrash(Entry &Value, const CrashRecord &Crash) {
  if (Value.Crashes_.count(Crash) != 0)
    return;
  if (Value.Crashes_.size() >= CrashLimit) {
    // Crashes as the only suspect say more than others, so they are kept.
    const auto Weak = std::find_if(Value.Crashes_.begin(), Value.Crashes_.end(),
                                   [](const CrashRecord &Old) { return !Old.OnlySuspect_; });
    if (Weak == Value.Crashes_.end())
      return;
    Value.Crashes_.erase(Weak);
  }
  Value.Crashes_.insert(Crash);
}

void Quarantine::handle(TimePoint Now, const HostId &From, const QuarantineBody &Message) {
  if (Peers_.count(From) == 0)
    return;
  if (const auto *News = std::get_if<QuarantineMessage>(&Message)) {
    for (const QuarantineItem &Item : News->Items_) {
      Entry &Value = put(Now, {Item.Team_, Item.Fingerprint_}, Item.TimeLeft_);
      if (!Value.Quarantined_)
        Value.Expiry_ = Now + std::clamp(Item.TimeLeft_, Duration(0), Lifetime);
      Value.Quarantined_ = true;
      for (const CrashRecord &Crash : Item.Crashes_)
        addCrash(Value, Crash);
    }
    dropExplained();
    return;
  }
  const auto &News = std::get<SuspectMessage>(Message);
  const std::set<CrashRecord> Explained =
      News.Cleared_ ? std::set<CrashRecord>() : explainedCrashes();
  for (const QuarantineItem &Item : News.Items_) {
    const Key Name(Item.Team_, Item.Fingerprint_);
    const Entry *Known = find(Now, Name);
    if (Known != nullptr && Known->Quarantined_)
      continue;
    if (News.Cleared_) {
      erase(Name);
      continue;
    }
    // A repeated message may arrive after the cause was found.
    for (const CrashRecord &Crash : Item.Crashes_)
      if (Explained.count(Crash) == 0)
        addCrash(put(Now, Name, Item.TimeLeft_), Crash);
  }
}

std::vector<QuarantineSend> Quarantine::setPeers(TimePoint Now, const std::set<HostId> &Peers) {
  SuspectMessage Suspects;
  QuarantineMessage Quarantined;
  for (const auto &[Name, Value] : Entries_)
    if (Value.Expiry_ > Now)
      (Value.Quarantined_ ? Quarantined.Items_ : Suspects.Items_)
          .push_back(itemOf(Now, Name, Value));
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
  for (auto It = Entries_.begin(); It != Entries_.end();) {
    const Key Name = It->first;
    const bool Expired = It->second.Expiry_ <= Now;
    ++It;
    if (Expired)
      erase(Name);
  }
  std::vector<QuarantineSend> Sends;
  for (Repeat &Item : Repeats_) {
    if (Now < Item.Next_)
      continue;
    toAll(Item.Message_, Sends);
    Item.Next_ = Now + RepeatInterval;
    --Item.Left_;
  }
  Repeats_.erase(std::remove_if(Repeats_.begin(), Repeats_.end(),
                                [](const Repeat &Item) { return Item.Left_ <= 0; }),
                 Repeats_.end());
  return Sends;
}

std::vector<Quarantine::Listed> Quarantine::list(TimePoint Now) const {
  std::vector<Listed> Result;
  Result.reserve(Entries_.size());
  for (const auto &[Name, Value] : Entries_)
    if (Value.Expiry_ > Now)
      Result.push_back({Name.first, Name.second, Value.Quarantined_, Value.Crashes_.size(),
                        Value.Expiry_ - Now});
  return Result;
}

std::size_t Quarantine::quarantinedCount() const {
  return static_cast<std::size_t>(std::count_if(
      Entries_.begin(), Entries_.end(), [](const auto &Item) { return Item.second.Quarantined_; }));
}

QuarantineItem Quarantine::itemOf(TimePoint Now, const Key &Name, const Entry &Value) const {
  return {
      Name.first, Name.second, {Value.Crashes_.begin(), Value.Crashes_.end()}, Value.Expiry_ - Now};
}

std::vector<QuarantineSend> Quarantine::publish(TimePoint Now, QuarantineBody Message) {
  std::vector<QuarantineSend> Sends;
  toAll(Message, Sends);
  if (Repeats_.size() < MaxRepeats)
    Repeats_.push_back({std::move(Message), Now + RepeatInterval, RepeatCount});
  return Sends;
}

void Quarantine::toAll(const QuarantineBody &Message, std::vector<QuarantineSend> &Sends) const {
  for (const HostId &Peer : Peers_)
    Sends.push_back({Peer, Message});
}

} // namespace bronzestand
