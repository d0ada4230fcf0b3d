#include "bronzestand/backend_directory.h"

namespace bronzestand {
namespace {

/// Entries that were lost with the platform's list reappear about 2 s after it is available again.
constexpr Duration RecoveryTime = std::chrono::milliseconds(2500);

bool hasEqualFields(const BackendServer &A, const BackendServer &B) {
  return A.Host_ == B.Host_ && A.Port_ == B.Port_ && A.Service_ == B.Service_ &&
         A.DataCentre_ == B.DataCentre_ && A.Slots_ == B.Slots_ && A.StartedMs_ == B.StartedMs_ &&
         A.Leaving_ == B.Leaving_ && A.ColdFor_ == B.ColdFor_;
}

} // namespace

bool BackendDirectory::put(BackendServer Entry) {
  Missing_.erase(Entry.Id_);
  BackendServer &Current = Entries_[Entry.Id_];
  if (Current.StartedMs_ > Entry.StartedMs_)
    return false; // the new entry is of an earlier run of the server
  const bool Changed = !hasEqualFields(Current, Entry) || Current.Id_.empty();
  Current = std::move(Entry);
  return Changed;
}

bool BackendDirectory::remove(TimePoint Now, const std::string &Id, bool Trusted) {
  const auto Found = Entries_.find(Id);
  if (Found == Entries_.end())
    return false;
  // The entry of a server that announced that it is leaving will not reappear.
  if (!Trusted && !Found->second.Leaving_) {
    Missing_.emplace(Id, Now + RecoveryTime);
    return false;
  }
  Entries_.erase(Found);
  Missing_.erase(Id);
  return true;
}

bool BackendDirectory::replace(TimePoint Now, std::vector<BackendServer> Entries, bool Trusted) {
  std::set<std::string> Listed;
  bool Changed = false;
  for (BackendServer &Entry : Entries) {
    Listed.insert(Entry.Id_);
    Changed = put(std::move(Entry)) || Changed;
  }
  std::vector<std::string> Absent;
  for (const auto &[Id, Entry] : Entries_)
    if (Listed.count(Id) == 0)
      Absent.push_back(Id);
  for (const std::string &Id : Absent)
    Changed = remove(Now, Id, Trusted) || Changed;
  return Changed;
}

bool BackendDirectory::expire(TimePoint Now) {
  bool Changed = false;
  for (auto Item = Missing_.begin(); Item != Missing_.end();) {
    if (Item->second > Now) {
      ++Item;
      continue;
    }
    Entries_.erase(Item->first);
    Item = Missing_.erase(Item);
    Changed = true;
  }
  return Changed;
}

const BackendServer *BackendDirectory::find(const std::string &Id) const {
  const auto Found = Entries_.find(Id);
  return Found == Entries_.end() ? nullptr : &Found->second;
}

const BackendServer *BackendDirectory::findByHost(const HostId &Host) const {
  const BackendServer *Latest = nullptr;
  for (const auto &[Id, Entry] : Entries_)
    if (Entry.Host_ == Host && (Latest == nullptr || Entry.StartedMs_ > Latest->StartedMs_))
      Latest = &Entry;
  return Latest;
}

std::vector<const BackendServer *> BackendDirectory::findByService(const ServiceId &Service) const {
  std::vector<const BackendServer *> Result;
  for (const auto &[Id, Entry] : Entries_)
    if (Entry.Service_ == Service)
      Result.push_back(&Entry);
  return Result;
}

std::set<HostId> BackendDirectory::hosts() const {
  std::set<HostId> Result;
  for (const auto &[Id, Entry] : Entries_)
    Result.insert(Entry.Host_);
  return Result;
}

} // namespace bronzestand
