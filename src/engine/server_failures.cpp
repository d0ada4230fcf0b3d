#include "bronzestand/server_failures.h"

#include <algorithm>
#include <cmath>

namespace bronzestand {
namespace {

double seconds(Duration Time) { return std::chrono::duration<double>(Time).count(); }

} // namespace

double FailureMeter::decay(TimePoint Now) const {
  return std::exp2(-seconds(std::max(Duration::zero(), Now - Updated_)) / HalfLifeS_);
}

void FailureMeter::ended(TimePoint Now, bool Failed) {
  const double Factor = decay(Now);
  Calls_ = Calls_ * Factor + 1.0;
  Failed_ = Failed_ * Factor + (Failed ? 1.0 : 0.0);
  Updated_ = Now;
}

double FailureMeter::share(TimePoint Now) const {
  const double Factor = decay(Now);
  return Failed_ * Factor / (Calls_ * Factor + AssumedServed_);
}

void ServerFailures::heard(TimePoint Now, const ServerFailure &Item) {
  const TimePoint At = Now - std::max(Duration::zero(), Item.Age_);
  const auto Found = Entries_.find(Item.Server_);
  if (Now - At > Lifetime || (Found != Entries_.end() && Found->second.At_ >= At))
    return;
  // Of a server that works only its recovery is of interest.
  if (Item.Share_ < MinShare && Found == Entries_.end())
    return;
  const double Times = std::uniform_real_distribution<double>(1.0, MaxBelief)(Random_);
  Entries_[Item.Server_] = {std::clamp(Item.Share_, 0.0, 1.0), At,
                            At + std::chrono::duration_cast<Duration>(Times * Lifetime)};
}

double ServerFailures::share(TimePoint Now, const std::string &Server) const {
  const auto Found = Entries_.find(Server);
  return Found == Entries_.end() || Now > Found->second.BelievedUntil_ ? 0.0 : Found->second.Share_;
}

std::vector<ServerFailure> ServerFailures::newest(TimePoint Now,
                                                  const BackendDirectory &Directory) {
  std::map<ServiceId, std::size_t> FailingByService;
  for (auto Item = Entries_.begin(); Item != Entries_.end();) {
    const BackendServer *Server = Directory.find(Item->first);
    if (Server == nullptr || Now > Item->second.BelievedUntil_) {
      Item = Entries_.erase(Item);
      continue;
    }
    FailingByService[Server->Service_] += Item->second.Share_ >= MinShare ? 1 : 0;
    ++Item;
  }
  std::vector<ServerFailure> Result;
  for (const auto &[Id, Item] : Entries_) {
    const ServiceId &Service = Directory.find(Id)->Service_;
    if (Now - Item.At_ <= Lifetime &&
        2 * FailingByService[Service] <= Directory.findByService(Service).size())
      Result.push_back({Id, Item.Share_, Now - Item.At_});
  }
  std::sort(Result.begin(), Result.end(),
            [](const ServerFailure &A, const ServerFailure &B) { return A.Age_ < B.Age_; });
  Result.resize(std::min(Result.size(), MaxEntries));
  return Result;
}

} // namespace bronzestand
