#include "bronzestand/backend_directory.h"

namespace bronzestand {
namespace {

/// Entries that lapsed with the platform's list are back about 2 s after its return.
constexpr Duration ReturnTime = std::chrono::milliseconds(2500);

bool isSame(const BackendServer &A, const BackendServer &B) {
  return A.Host_ == B.Host_ && A.Port_ == B.Port_ && A.Service_ == B.Service_ &&
         A.DataCentre_ == B.DataCentre_ && A.Slots_ == B.Slots_ && A.StartedMs_ == B.StartedMs_ &&
         A.Leaving_ == B.Leaving_ && A.ColdFor_ == B.ColdFor_;
}

} // namespace

bool BackendDirectory::put(BackendServer Entry) {
  Missing_.erase(Entry.Id_);
  BackendServer &Held = Entries_[Entry.Id_];
  if (Held.StartedMs_ > Entry.StartedMs_)
    return false; // of an earlier run of the server
  const bool Changed = !isSame(Held, Entry) || Held.Id_.empty();
  Held = std::move(Entry);
  return Changed;
}

bool BackendDirectory::remove(TimePoint Now, const std::string &Id, bool Trusted) {
  const auto Found = Entries_.find(Id);
  if (Found == Entries_.end())
    return false;
  // A server that said that it leaves does not come back.
  if (!Trusted && !Found->second.Leaving_) {
    Missing_.emplace(Id, Now + ReturnTime);
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
  std::vector<std::string> Lacking;
  for (const auto &[Id, Entry] : Entries_)
    if (Listed.count(Id) == 0)
      Lacking.push_back(Id);
  for (const std::string &Id : Lacking)
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

const BackendServer *BackendDirectory::at(const HostId &Host) const {
  const BackendServer *Last = nullptr;
  for (const auto &[Id, Entry] : Entries_)
    if (Entry.Host_ == Host && (Last == nullptr || Entry.StartedMs_ > Last->StartedMs_))
      Last = &Entry;
  return Last;
}

std::vector<const BackendServer *> BackendDirectory::of(const ServiceId &Service) const {
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
