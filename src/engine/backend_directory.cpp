#include "bronzestand/backend_directory.h"

#include <utility>

namespace bronzestand {
namespace {

/// Entries that were lost with the platform's list reappear about 2 s after it is available again.
constexpr Duration RecoveryTime = std::chrono::milliseconds(2500);
/// Removals are remembered for longer than the age of a copy from which the platform is restored.
constexpr Duration DepartureRetention = std::chrono::minutes(1);

bool hasEqualFields(const BackendServer &A, const BackendServer &B) {
  return A.Host_ == B.Host_ && A.Port_ == B.Port_ && A.Service_ == B.Service_ &&
         A.DataCentre_ == B.DataCentre_ && A.Slots_ == B.Slots_ && A.StartedMs_ == B.StartedMs_ &&
         A.Leaving_ == B.Leaving_ && A.ColdFor_ == B.ColdFor_;
}

} // namespace

bool BackendDirectory::put(BackendServer Entry) {
  Held_.erase(Entry.Id_);
  Index_.Valid_ = false;
  BackendServer &Current = Entries_[Entry.Id_];
  if (Current.StartedMs_ > Entry.StartedMs_)
    return false; // the new entry is of an earlier run of the server
  Missing_.erase(Entry.Id_);
  // A removal of a later run stays known, because a restored list may contain that run.
  const auto Removal = Departed_.find(Entry.Id_);
  if (Removal != Departed_.end() && Removal->second.StartedMs_ <= Entry.StartedMs_) {
    if (Removal->second.StartedMs_ == Entry.StartedMs_ && Removal->second.Leaving_)
      Entry.Leaving_ = true;
    Departed_.erase(Removal);
  }
  if (Current.StartedMs_ == Entry.StartedMs_ && Current.Leaving_)
    Entry.Leaving_ = true;
  const bool Changed = !hasEqualFields(Current, Entry) || Current.Id_.empty();
  Current = std::move(Entry);
  return Changed;
}

bool BackendDirectory::markLeaving(const std::string &Id) {
  const auto Found = Entries_.find(Id);
  return Found != Entries_.end() && !std::exchange(Found->second.Leaving_, true);
}

bool BackendDirectory::remove(TimePoint Now, const std::string &Id, bool Trusted) {
  Held_.erase(Id);
  const auto Found = Entries_.find(Id);
  if (Found == Entries_.end())
    return false;
  // The entry of a server that announced that it is leaving will not reappear.
  if (!Trusted && !Found->second.Leaving_) {
    Missing_.emplace(Id, Now + RecoveryTime);
    return false;
  }
  erase(Now, Id);
  return true;
}

void BackendDirectory::erase(TimePoint Now, const std::string &Id) {
  const BackendServer &Entry = Entries_.at(Id);
  Departure &Removal = Departed_[Id];
  if (Entry.StartedMs_ >= Removal.StartedMs_)
    Removal = {Entry.StartedMs_, Entry.Leaving_, Now};
  Removal.At_ = Now;
  Index_.Valid_ = false;
  Entries_.erase(Id);
  Missing_.erase(Id);
}

bool BackendDirectory::hasDeparted(const BackendServer &Entry) const {
  const BackendServer *Current = find(Entry.Id_);
  if (Current != nullptr && Current->StartedMs_ >= Entry.StartedMs_)
    return false;
  const auto Found = Departed_.find(Entry.Id_);
  return Found != Departed_.end() && Found->second.StartedMs_ >= Entry.StartedMs_;
}

bool BackendDirectory::replace(TimePoint Now, std::vector<BackendServer> Entries, bool Trusted,
                               bool NewHistory) {
  std::set<std::string> Listed;
  bool Changed = false;
  const auto HeldBefore = std::exchange(Held_, {});
  for (BackendServer &Entry : Entries) {
    Listed.insert(Entry.Id_);
    const auto Before = HeldBefore.find(Entry.Id_);
    if ((NewHistory || Before != HeldBefore.end()) && hasDeparted(Entry)) {
      const std::string Id = Entry.Id_;
      const TimePoint Until = NewHistory ? Now + RecoveryTime : Before->second.Until_;
      Held_[Id] = {std::move(Entry), Until};
      continue;
    }
    Changed = put(std::move(Entry)) || Changed;
  }
  std::vector<std::string> Absent;
  for (const auto &[Id, Entry] : Entries_)
    if (Listed.count(Id) == 0)
      Absent.push_back(Id);
  for (const std::string &Id : Absent)
    Changed = remove(Now, Id, Trusted) || Changed;
  // The servers whose entries were lost need the whole time again after another restore.
  if (NewHistory)
    for (auto &[Id, Until] : Missing_)
      Until = Now + RecoveryTime;
  return Changed;
}

bool BackendDirectory::expire(TimePoint Now) {
  bool Changed = false;
  for (auto Item = Missing_.begin(); Item != Missing_.end();) {
    if (Item->second > Now) {
      ++Item;
      continue;
    }
    const std::string Id = Item->first;
    ++Item;
    erase(Now, Id);
    Changed = true;
  }
  std::vector<BackendServer> Recovered;
  for (const auto &[Id, Item] : Held_)
    if (Item.Until_ <= Now)
      Recovered.push_back(Item.Entry_);
  for (BackendServer &Entry : Recovered)
    Changed = put(std::move(Entry)) || Changed;
  for (auto Item = Departed_.begin(); Item != Departed_.end();)
    Item = Now - Item->second.At_ > DepartureRetention ? Departed_.erase(Item) : std::next(Item);
  return Changed;
}

const BackendServer *BackendDirectory::find(const std::string &Id) const {
  const auto Found = Entries_.find(Id);
  return Found == Entries_.end() ? nullptr : &Found->second;
}

const BackendDirectory::Index &BackendDirectory::index() const {
  if (Index_.Valid_)
    return Index_;
  Index_.ByService_.clear();
  Index_.ByHost_.clear();
  for (const auto &[Id, Entry] : Entries_) {
    Index_.ByService_[Entry.Service_].push_back(&Entry);
    const BackendServer *&AtHost = Index_.ByHost_[Entry.Host_];
    if (AtHost == nullptr || Entry.StartedMs_ > AtHost->StartedMs_)
      AtHost = &Entry;
  }
  Index_.Valid_ = true;
  return Index_;
}

const BackendServer *BackendDirectory::findByHost(const HostId &Host) const {
  const auto &ByHost = index().ByHost_;
  const auto Found = ByHost.find(Host);
  return Found == ByHost.end() ? nullptr : Found->second;
}

const std::vector<const BackendServer *> &
BackendDirectory::findByService(const ServiceId &Service) const {
  static const std::vector<const BackendServer *> None;
  const auto &ByService = index().ByService_;
  const auto Found = ByService.find(Service);
  return Found == ByService.end() ? None : Found->second;
}

std::set<HostId> BackendDirectory::hosts() const {
  std::set<HostId> Result;
  for (const auto &[Id, Entry] : Entries_)
    Result.insert(Entry.Host_);
  return Result;
}

} // namespace bronzestand
