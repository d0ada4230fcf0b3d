#include "bronzestand/backend_choice.h"

#include <algorithm>
#include <array>
#include <cmath>

#include "bronzestand/region_load.h"

namespace bronzestand {
namespace {

double seconds(Duration Time) { return std::chrono::duration<double>(Time).count(); }

/// Penalties for distance as a share of the latency objective, per call and per kilobyte: a nearer
/// server is preferred while it is slower by less than this. Traffic between data centres is billed
/// by volume, between regions at about seven times the price; sending an answer of 6 KB to another
/// region costs most of what a cheap request is worth.
constexpr std::array<double, 3> DistancePenalty{0.0, 0.05, 0.4};
constexpr std::array<double, 3> KilobytePenalty{0.0, 0.03, 0.3};
/// Round-trip time by distance, in seconds; the order of magnitude in both reference networks.
constexpr std::array<double, 3> RoundTripS{0.0005, 0.003, 0.024};
/// Weight of one result in the failure rate.
constexpr double FailureWeight = 0.12;
/// The failure rate also decays without calls, so that a failing server is tried again.
constexpr double FailureHalfLifeS = 2.0;
/// Servers with a higher failure rate are used only if all others of the same distance fail too.
constexpr double FailingRate = 0.25;
/// Additional cost of a server that always fails, in latency objectives.
constexpr double FailurePenalty = 4.0;
/// The limit of a server is told to a node that has restarted for this time.
constexpr Duration RateLifetime = std::chrono::seconds(5);
/// An unreachable server is avoided for this time.
constexpr Duration AvoidDuration = std::chrono::milliseconds(1500);
/// Latency objective for routes without one.
constexpr Duration DefaultObjective = std::chrono::seconds(1);
/// Assumed service time of servers that have not reported one, as a share of the objective.
constexpr double UnknownTimeShare = 0.2;
/// Factor on the service time of a server that is still warming up.
constexpr double ColdFactor = 2.0;
/// The same for a server that has returned and is spared no longer, so that its first call shows
/// how fast it is. It gets only one at a time until it has reported.
constexpr double ReturnedTimeShare = 0.01;
/// Additional cost of a server that may be cold and has not reported, in latency objectives: it is
/// used once the others have queues.
constexpr double RestPenalty = 1.0;
/// Time over which the nodes begin to use a server that has returned. Some 76 nodes call a service;
/// their first calls are then well below what a cold server bears.
constexpr Duration StaggerTime = std::chrono::seconds(8);
/// The same for a server that the list no longer shows as cold.
constexpr Duration WarmStaggerTime = std::chrono::seconds(1);
/// After each answer a cold server is spared by a node for a random time up to this one, because
/// all nodes together may send it some 13 requests/s.
constexpr Duration MaxColdRest = 2 * StaggerTime;
/// The servers of a service differ in speed by up to this factor. One that is slower is compared
/// with other distances by its own time.
constexpr double MaxSpeedRatio = 3.0;
/// Additional cost of a server whose calls all miss the latency objective, as a share of its slots.
/// The share that does is estimated for exponentially distributed service times.
constexpr double LatePenalty = 2.0;
/// Weight of a second in the queue against one of the service time.
constexpr double WaitWeight = 3.0;
/// exp() of more would not add to its logarithm.
constexpr double MaxExponent = 20.0;
/// Servers that have not reported for this time are left out of the spread that operators see.
constexpr Duration SpreadTime = std::chrono::seconds(5);
/// Number of the distances.
constexpr std::size_t Distances = 3;
/// Costs of a server by which it is compared with those at the same distance: of each slot in use,
/// so that all are used in proportion to their speed, and of the expected time in the queue in
/// service times.
constexpr double UsedPenalty = 0.25;
constexpr double QueuePenalty = 1.0;
/// A farther server is used with a probability that grows with the difference in cost and is 1 from
/// this difference on, in latency objectives and in penalties for the distance. Otherwise all nodes
/// would move all of their calls at the same moment.
constexpr double MoveObjectives = 0.02;
constexpr double MovePenalties = 0.2;
/// The probability falls by the factor e in this time since the last report of the nearer servers,
/// because a node that sends them no calls does not learn that they have room.
constexpr Duration ReviewTime = std::chrono::seconds(4);
/// The additional cost of a slow server falls by the factor e in this time since its last report,
/// so that it is tried again. With 96 nodes that is less than one call in a hundred.
constexpr Duration SlowReviewTime = std::chrono::seconds(30);

} // namespace

BackendChoice::BackendChoice(DataCentreId Home,
                             std::unordered_map<std::string, std::string> Regions,
                             std::uint64_t Seed)
    : Home_(std::move(Home)), Regions_(std::move(Regions)), Failures_(Seed), Random_(Seed) {}

Locality BackendChoice::localityOf(const BackendServer &Server) const {
  if (Server.DataCentre_ == Home_)
    return Locality::SameDataCentre;
  const auto Own = Regions_.find(Home_.str());
  const auto Other = Regions_.find(Server.DataCentre_.str());
  const bool Same =
      Own != Regions_.end() && Other != Regions_.end() && Own->second == Other->second;
  return Same ? Locality::SameRegion : Locality::OtherRegion;
}

RegionId BackendChoice::regionOf(const BackendServer &Server) const {
  const auto Found = Regions_.find(Server.DataCentre_.str());
  return RegionId(Found == Regions_.end() ? "" : Found->second);
}

bool BackendChoice::mayUse(const BackendServer &Server, const ServerScope &Scope) const {
  // Most calls allow all regions, and this runs for each server of each choice.
  const RegionId Region = Scope.Regions_ ? regionOf(Server) : RegionId();
  return !Server.Leaving_ && Scope.allows(Server.Id_, Server.DataCentre_, Region);
}

double BackendChoice::ownFailureRate(TimePoint Now, const ServerRecord &Record) {
  if (Record.FailureRate_ <= 0.0)
    return 0.0;
  const double Age = seconds(Now - Record.FailureAt_);
  return Record.FailureRate_ * std::exp2(-Age / FailureHalfLifeS);
}

double BackendChoice::failureRate(TimePoint Now, const std::string &Id,
                                  const ServerRecord &Record) const {
  return std::max(ownFailureRate(Now, Record), Failures_.share(Now, Id));
}

Duration BackendChoice::estimateWait(TimePoint Now, const ServerRecord &Record,
                                     const BackendServer &Server) const {
  const ServerLoad &Load = Record.Load_;
  return std::max(Load.rateTime(Now), Load.queueTime(Now, Load.limit(Server)));
}

bool BackendChoice::hasUnlimited(const BackendDirectory &Directory, const ServiceId &Service,
                                 const ServerScope &Scope) const {
  const auto &Servers = Directory.findByService(Service);
  return std::any_of(Servers.begin(), Servers.end(), [&](const BackendServer *Server) {
    const auto Found = Records_.find(Server->Id_);
    return mayUse(*Server, Scope) &&
           (Found == Records_.end() || Found->second.Load_.reported().Rate_ <= 0.0);
  });
}

double BackendChoice::rateOf(TimePoint Now, const std::string &Id) const {
  const auto Found = Records_.find(Id);
  const bool Known =
      Found != Records_.end() && Now - Found->second.Load_.reportedAt() <= RateLifetime;
  return Known ? Found->second.Load_.reported().Rate_ : 0.0;
}

double BackendChoice::distanceWeight(TimePoint Now, const BackendDirectory &Directory,
                                     const ServiceId &Service, const ServerScope &Scope) const {
  // While a data centre is evacuated its region has less room than the other ones.
  if (!RegionsRestricted_ && Scope.Evacuated_.empty())
    return 1.0;
  RegionLoad Load;
  for (const BackendServer *Server : Directory.findByService(Service)) {
    const auto Found = Records_.find(Server->Id_);
    if (Found == Records_.end() || !Found->second.Load_.isFresh(Now) ||
        localityOf(*Server) == Locality::OtherRegion || !mayUse(*Server, Scope))
      continue;
    const ServerLoad &Known = Found->second.Load_;
    if (const std::uint32_t Limit = Known.limit(*Server); Limit != 0)
      Load.add(static_cast<double>(Known.outstanding(Now)) / Limit);
  }
  return Load.distanceWeight();
}

double BackendChoice::penalty(std::size_t Distance, const CallNeeds &Needs) {
  const double Share =
      DistancePenalty[Distance] + KilobytePenalty[Distance] * Needs.Bytes_ / 1000.0;
  const bool Far = Distance == static_cast<std::size_t>(Locality::OtherRegion);
  return Share * (Far ? Needs.DistanceWeight_ : 1.0) * Needs.ObjectiveS_;
}

double BackendChoice::cost(TimePoint Now, const Candidate &Server, const Group &Servers,
                           const CallNeeds &Needs) const {
  const auto Distance = Server.Group_ % Distances;
  const double Result = RoundTripS[Distance] + penalty(Distance, Needs);
  if (Server.Record_ == nullptr)
    return Result + UnknownTimeShare * Needs.ObjectiveS_;
  const ServerRecord &Record = *Server.Record_;
  const std::uint32_t Limit = Record.Load_.limit(*Server.Server_);
  // Servers of a group get calls by their speed, so its mean counts unless one is much slower.
  double Service = Record.Load_.serviceTime(Now);
  if (Service <= 0.0)
    Service = (Record.Unproven_ ? ReturnedTimeShare : UnknownTimeShare) * Needs.ObjectiveS_;
  else
    Service = std::max(Servers.serviceTime(), Service / MaxSpeedRatio);
  if (Now < Record.ColdUntil_)
    Service *= ColdFactor;
  const double Wait = std::max(
      seconds(Record.Load_.rateTime(Now)),
      Record.Load_.expectedQueueTime(Now, Limit, Servers.usedShare(), Servers.meanShare()));
  return Result + Service + WaitWeight * Wait +
         FailurePenalty * Needs.ObjectiveS_ * failureRate(Now, Server.Server_->Id_, Record);
}

double BackendChoice::costInGroup(TimePoint Now, const Candidate &Server, const Group &Servers,
                                  const CallNeeds &Needs) const {
  if (Server.Record_ == nullptr)
    return 0.0;
  const ServerRecord &Record = *Server.Record_;
  const ServerLoad &Load = Record.Load_;
  double Result = FailurePenalty * failureRate(Now, Server.Server_->Id_, Record) +
                  WaitWeight * seconds(Load.rateTime(Now)) / Needs.ObjectiveS_;
  const double Service = Load.serviceTime(Now) * (Now < Record.ColdUntil_ ? ColdFactor : 1.0);
  if (Service > 0.0)
    Result += LatePenalty * std::exp(-Needs.ObjectiveS_ / Service -
                                     seconds(Now - Load.reportedAt()) / seconds(SlowReviewTime));
  const std::uint32_t Limit = Load.limit(*Server.Server_);
  // A server that has not reported is taken to be as busy as the others.
  const double Share = Load.share(Now, Limit) + (Load.isKnown() ? 0.0 : Servers.meanShare());
  Result += UsedPenalty * Share;
  if (Limit != 0 && Servers.Rate_ > 0.0) {
    const double Calls = Share * Limit - Limit + 1.0;
    const double Queue = Calls > MaxExponent ? Calls : std::log1p(std::exp(Calls));
    Result += QueuePenalty * Queue * Service / Limit / Servers.serviceTime();
  }
  return Result;
}

void BackendChoice::Candidates::clear() {
  Servers_.clear();
  Groups_ = {};
  Avoided_ = nullptr;
}

void BackendChoice::Group::add(TimePoint Now, const Candidate &Server) {
  if (Server.Rate_ <= 0.0)
    return;
  Rate_ += Server.Rate_;
  Weight_ += Server.Weight_;
  Slots_ += Server.Slots_;
  const ServerLoad &Load = Server.Record_->Load_;
  const double Recent = Server.Slots_ * Load.meanWeight(Now);
  Recent_ += Recent;
  MeanWeight_ = std::max(MeanWeight_, Load.meanWeight(Now));
  Used_ += Recent * Load.usedShare();
  Calls_ += Recent * Load.meanShare();
  ReportedAt_ = std::max(ReportedAt_, Load.reportedAt());
  ++Known_;
}

// Of independent exponential times with the given rates, those that end first (Efraimidis and
// Spirakis 2006, Weighted random sampling with a reservoir).
void BackendChoice::Group::draw(const Candidate &Server, std::mt19937_64 &Random) {
  const double Usual = Known_ == 0 ? 1.0 : Weight_ / static_cast<double>(Known_);
  const Candidate *Moved = &Server;
  const double Weight = Server.Weight_ > 0.0 ? Server.Weight_ : Usual;
  double Key = std::exponential_distribution<double>(Weight)(Random);
  for (std::size_t Position = 0; Position < Drawn_.size() && Moved != nullptr; ++Position)
    if (Drawn_[Position] == nullptr || Key < Keys_[Position]) {
      std::swap(Moved, Drawn_[Position]);
      std::swap(Key, Keys_[Position]);
    }
}

void BackendChoice::addCandidate(TimePoint Now, const BackendServer &Server, Candidates &To) {
  const auto Distance = static_cast<std::size_t>(localityOf(Server));
  Candidate Added{&Server};
  Kind Condition = Kind::Sound;
  if (const auto Found = Records_.find(Server.Id_); Found != Records_.end()) {
    const ServerRecord &Record = Found->second;
    if (Now < Record.AvoidUntil_) {
      if (To.Avoided_ == nullptr || Record.AvoidUntil_ < Records_.at(To.Avoided_->Id_).AvoidUntil_)
        To.Avoided_ = &Server;
      return;
    }
    Added.Record_ = &Record;
    Added.Slots_ = Record.Load_.limit(Server);
    const double Time =
        Record.Load_.serviceTime(Now) * (Now < Record.ColdUntil_ ? ColdFactor : 1.0);
    if (Time > 0.0 && Added.Slots_ > 0.0)
      Added.Rate_ = Added.Slots_ / Time;
    const double Most = Record.Load_.reported().Rate_;
    Added.Weight_ = Most > 0.0 ? std::min(Added.Rate_, Most) : Added.Rate_;
    if (isResting(Now, Record))
      Condition = Kind::Resting;
    else if (failureRate(Now, Server.Id_, Record) >= FailingRate)
      Condition = Kind::Failing;
  }
  Added.Group_ = static_cast<std::size_t>(Condition) * Distances + Distance;
  To.Groups_[Added.Group_].add(Now, Added);
  To.Servers_.push_back(Added);
}

const BackendChoice::Candidate *BackendChoice::bestOf(TimePoint Now, const Group &Servers,
                                                      const CallNeeds &Needs) const {
  const Candidate *Best = nullptr;
  double BestCost = 0.0;
  for (const Candidate *Server : Servers.Drawn_) {
    if (Server == nullptr)
      break;
    const double Cost = costInGroup(Now, *Server, Servers, Needs);
    if (Best == nullptr || Cost < BestCost) {
      Best = Server;
      BestCost = Cost;
    }
  }
  return Best;
}

std::optional<Duration> BackendChoice::loadAge(TimePoint Now, const Candidate &Server,
                                               const Group &Servers) const {
  const bool Sound = Server.Group_ / Distances == static_cast<std::size_t>(Kind::Sound);
  if (!Sound || Servers.Known_ == 0 || Server.Record_ == nullptr ||
      Server.Record_->Load_.rateTime(Now) > Duration::zero())
    return std::nullopt;
  return Now - Servers.ReportedAt_;
}

bool BackendChoice::isWorth(double Difference, double Penalty, Duration Age,
                            const CallNeeds &Needs) {
  if (Difference <= 0.0)
    return false;
  const double Whole = MoveObjectives * Needs.ObjectiveS_ + MovePenalties * Penalty;
  const double Chance =
      std::min(1.0, Difference / Whole) * std::exp(-seconds(Age) / seconds(ReviewTime));
  return std::uniform_real_distribution<double>()(Random_) < Chance;
}

const BackendServer *BackendChoice::best(TimePoint Now, Candidates &From, const CallNeeds &Needs) {
  for (const Candidate &Server : From.Servers_)
    From.Groups_[Server.Group_].draw(Server, Random_);
  struct Option {
    const Candidate *Server_ = nullptr;
    double Cost_ = 0.0;
  };
  Option Nearest;
  Option Best;
  const auto Consider = [&](const Group &Servers, double Penalty) {
    Option Next{bestOf(Now, Servers, Needs)};
    if (Next.Server_ == nullptr)
      return;
    Next.Cost_ = cost(Now, *Next.Server_, Servers, Needs) + Penalty;
    if (Nearest.Server_ == nullptr)
      Nearest = Next;
    if (Best.Server_ == nullptr || Next.Cost_ < Best.Cost_)
      Best = Next;
  };
  for (std::size_t Distance = 0; Distance < Distances; ++Distance) {
    const Group &Sound = From.Groups_[Distance];
    const Group &Resting = From.Groups_[Distances + Distance];
    const Group &Failing = From.Groups_[2 * Distances + Distance];
    Consider(Sound.empty() && Resting.empty() ? Failing : Sound, 0.0);
    Consider(Resting, RestPenalty * Needs.ObjectiveS_);
  }
  if (Best.Server_ == nullptr)
    return nullptr;
  if (Best.Server_ == Nearest.Server_)
    return Best.Server_->Server_;
  const auto Age = loadAge(Now, *Nearest.Server_, From.Groups_[Nearest.Server_->Group_]);
  const double Distance = penalty(Best.Server_->Group_ % Distances, Needs);
  const bool Moves = !Age || isWorth(Nearest.Cost_ - Best.Cost_, Distance, *Age, Needs);
  return (Moves ? Best : Nearest).Server_->Server_;
}

const BackendServer *BackendChoice::choose(TimePoint Now, const BackendDirectory &Directory,
                                           const ServiceId &Service, const ServerScope &Scope,
                                           Duration Objective, double Bytes) {
  Listed_.clear();
  Missing_.clear();
  for (const BackendServer *Server : Directory.findByService(Service)) {
    // Skips a server whose address is now used by one that started later.
    if (!mayUse(*Server, Scope) || Directory.findByHost(Server->Host_) != Server)
      continue;
    addCandidate(Now, *Server, Directory.isMissing(Server->Id_) ? Missing_ : Listed_);
  }
  CallNeeds Needs;
  Needs.ObjectiveS_ = seconds(Objective > Duration::zero() ? Objective : DefaultObjective);
  Needs.Bytes_ = Bytes;
  Needs.DistanceWeight_ = distanceWeight(Now, Directory, Service, Scope);
  for (Candidates *From : {&Listed_, &Missing_})
    if (const BackendServer *Server = best(Now, *From, Needs))
      return Server;
  return Listed_.Avoided_ != nullptr ? Listed_.Avoided_ : Missing_.Avoided_;
}

void BackendChoice::started(const std::string &Id) { Records_[Id].Load_.started(); }

void BackendChoice::finished(TimePoint Now, const std::string &Id, AttemptResult Result) {
  ServerRecord &Record = Records_[Id];
  Record.Load_.finished();
  if (Result == AttemptResult::Cancelled || Result == AttemptResult::Busy)
    return;
  const bool Failed = Result != AttemptResult::Served;
  Record.FailureRate_ = ownFailureRate(Now, Record);
  Record.FailureRate_ += FailureWeight * ((Failed ? 1.0 : 0.0) - Record.FailureRate_);
  Record.FailureAt_ = Now;
  if (Result == AttemptResult::Unreachable || Result == AttemptResult::WrongServer)
    Record.AvoidUntil_ = Now + AvoidDuration;
  else if (!Failed)
    Record.AvoidUntil_ = TimePoint();
}

void BackendChoice::report(TimePoint Now, const std::string &Id, const BackendLoad &Load) {
  ServerRecord &Record = Records_[Id];
  Record.Load_.report(Now, Load);
  Failures_.heard(Now, {Id, Load.Failing_, Duration::zero()});
  Record.Unproven_ = false;
  if (Load.Rate_ <= 0.0)
    Record.RestUntil_ = TimePoint();
  else if (Record.ListedCold_)
    Record.RestUntil_ = Now + randomTime(MaxColdRest);
}

void BackendChoice::heard(TimePoint Now, const std::vector<ServerFailure> &Items) {
  for (const ServerFailure &Item : Items)
    Failures_.heard(Now, Item);
}

void BackendChoice::unreachable(TimePoint Now, const std::string &Id) {
  Records_[Id].AvoidUntil_ = Now + AvoidDuration;
}

void BackendChoice::reachable(const std::string &Id) {
  const auto Found = Records_.find(Id);
  if (Found != Records_.end())
    Found->second.AvoidUntil_ = TimePoint();
}

void BackendChoice::update(TimePoint Now, const BackendDirectory &Directory) {
  for (auto Entry = Records_.begin(); Entry != Records_.end();) {
    const bool Gone =
        Directory.find(Entry->first) == nullptr && Entry->second.Load_.inFlight() == 0;
    Entry = Gone ? Records_.erase(Entry) : std::next(Entry);
  }
  // The servers of the first list were there before.
  const bool First = Records_.empty();
  for (const auto &[Id, Server] : Directory.all()) {
    ServerRecord &Record = Records_[Id];
    if (Record.StartedMs_ == Server.StartedMs_) {
      updateCold(Now, Server, false, Record);
      continue;
    }
    const ServerLoad Load = Record.Load_.restarted();
    Record = ServerRecord();
    Record.Load_ = Load;
    Record.StartedMs_ = Server.StartedMs_;
    Record.ColdUntil_ = Now + Server.ColdFor_;
    updateCold(Now, Server, !First, Record);
  }
}

Duration BackendChoice::randomTime(Duration Most) {
  return Duration(std::uniform_int_distribution<Duration::rep>(0, Most.count())(Random_));
}

void BackendChoice::updateCold(TimePoint Now, const BackendServer &Server, bool Returned,
                               ServerRecord &Record) {
  if (ColdServices_.count(Server.Service_) == 0)
    return;
  const bool Cold = Server.ColdFor_ > Duration::zero();
  if (Returned || (Cold && !Record.ListedCold_)) {
    Record.ColdUntil_ = Now + Server.ColdFor_;
    Record.Unproven_ = true;
    Record.RestUntil_ = Now + randomTime(StaggerTime);
  }
  // The nodes use the whole server again one after another.
  if (!Cold && Record.ListedCold_)
    Record.RestUntil_ = std::min(Record.RestUntil_, Now + randomTime(WarmStaggerTime));
  Record.ListedCold_ = Cold;
}

Duration BackendChoice::expectedWait(TimePoint Now, const BackendDirectory &Directory,
                                     const ServiceId &Service, const ServerScope &Scope) const {
  Duration Best = Duration::max();
  for (const BackendServer *Server : Directory.findByService(Service)) {
    const auto Found = Records_.find(Server->Id_);
    if (mayUse(*Server, Scope) && Found != Records_.end())
      Best = std::min(Best, estimateWait(Now, Found->second, *Server));
  }
  return Best == Duration::max() ? Duration::zero() : Best;
}

std::map<ServiceId, LoadSpread> BackendChoice::spreads(TimePoint Now,
                                                       const BackendDirectory &Directory) const {
  std::map<ServiceId, LoadSpread> Result;
  for (const auto &[Id, Record] : Records_) {
    const BackendServer *Server = Directory.find(Id);
    if (Server == nullptr || Now - Record.Load_.reportedAt() > SpreadTime)
      continue;
    const double Share = Record.Load_.share(Now, Record.Load_.limit(*Server));
    LoadSpread &Spread = Result[Server->Service_];
    ++Spread.Servers_;
    Spread.Busiest_ = std::max(Spread.Busiest_, Share);
    Spread.Mean_ += (Share - Spread.Mean_) / static_cast<double>(Spread.Servers_);
  }
  return Result;
}

} // namespace bronzestand
