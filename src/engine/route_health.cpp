#include "bronzestand/route_health.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

namespace bronzestand {
namespace {

/// A class is in trouble while less of its calls are accepted and succeed.
constexpr double TroubleLevel = 0.7;
/// States below this are passed on.
constexpr double SoundLevel = 0.9;
/// Classes that were called or run within this time are those that the server calls or runs now.
constexpr Duration RecentTime = std::chrono::seconds(5);
/// A state is forgotten after this time without a newer measurement.
constexpr Duration StateLifetime = std::chrono::milliseconds(2500);
/// A state is passed on for this time after its trouble, so that all nodes learn of the end.
constexpr Duration TellRecovery = std::chrono::milliseconds(2500);
/// Weight of one measurement that is worse or better than the known state; several servers measure
/// the same class. Recovery counts more, because requests are refused until it is known.
constexpr double WorseWeight = 0.65;
constexpr double BetterWeight = 0.9;
/// Half-life of a run in the measured success, in seconds, and runs that are assumed to have
/// succeeded. Few runs of a class pass one server of a large fleet.
constexpr double RunHalfLifeS = 1.0;
constexpr double AssumedSuccesses = 0.5;
/// Half-life of a call in the measured share of rejections, in seconds. Short, so that the recovery
/// of the server shows within half a second.
constexpr double RejectionHalfLifeS = 0.3;

/// Weight of one measurement of the room; several nodes measure it from their own budgets.
constexpr double RoomWeight = 0.5;
/// A room of full servers counts for this time.
constexpr Duration FullTime = std::chrono::milliseconds(500);
/// Time over which the retries left are spread while they complete hardly any call. Full servers
/// need them for as long as they are full; at other ones they show the end.
constexpr Duration FullSpreadTime = std::chrono::seconds(10);
constexpr Duration ProbeSpreadTime = std::chrono::seconds(4);
/// A room above this counts as 1, which the mean of several measurements would never reach.
constexpr double FullLevel = 0.95;
/// Factor by which the room must rise to be news.
constexpr double NewsFactor = 3.0;
/// A fall from a lower room is not news, because it makes little difference.
constexpr double MinNewsShare = 0.1;
/// A class of runs needs the calls that it made within this time. Longer than a degradation, in
/// which few of its runs are admitted.
constexpr Duration NeedLifetime = std::chrono::seconds(60);
/// Half-life in seconds of a run and of a call whose run is not known, in their numbers.
constexpr double NeedHalfLifeS = 5.0;
/// A class whose runs make fewer calls each does not need them: most of its requests are whole
/// without, and a few calls of other classes are taken for its own.
constexpr double MinCalls = 0.5;
/// Runs from which the number of calls of a run is known, and runs after which older ones count
/// half.
constexpr double MinRuns = 8.0;
constexpr double MaxRuns = 512.0;
/// Share of failed runs that shows that a class needs a called class without room.
constexpr double NeedLevel = 0.3;

/// Success below which the admitted share shrinks, by urgency.
constexpr std::array<double, 3> TargetSuccess{0.3, 0.45, 0.6};
/// Success above which the callee has recovered.
constexpr double RecoveredLevel = 0.65;
/// Share that is always admitted, and factors of the share for each 100 ms.
constexpr double MinAdmitted = 0.17;
constexpr double ShrinkFactor = 0.7;
constexpr double GrowFactor = 1.25;
constexpr double RecoverFactor = 4.0;
constexpr double UnknownFactor = 1.12;
/// The same factor while the room is known: the room is measured, so most of it is given at once.
constexpr double RoomRecoverFactor = 25.0;
/// Share that is always admitted while the room is known. It is measured by the calls of the whole
/// fleet, so fewer requests suffice than for the success of runs.
constexpr double MinRoomShare = 0.05;
/// Room that is kept for the urgent requests that will come, as a multiple of that of those that
/// come now, when no room is left: the retries left are spread over two seconds, and a degradation
/// may last longer.
constexpr double MaxReserve = 1.5;
/// All requests are admitted only if at least this share of them gets all answers then.
constexpr double MinOpen = 0.1;
/// Requests that a node may admit later if it admitted fewer than its share, and the debt at which
/// it admits none. The limit of the places falls gradually, so that nodes with a small share don't
/// admit a request all at the same time and then none.
constexpr double MaxCredit = 1.0;
constexpr double CreditScale = 1.25;
/// Half-life of a request in the demand that arrives at this node, in seconds. An entry of a large
/// fleet sees a few requests a second.
constexpr double DemandHalfLifeS = 5.0;
/// A share above this counts as 1, which sums of demands miss by rounding.
constexpr double WholeShare = 0.999;
/// Assumed requests per second of a class of which none arrived, so that sums are not zero.
constexpr double MinDemand = 1e-3;

/// Returns the share of the calls that are accepted and succeed.
double levelOf(const RouteState &State) { return State.Success_ * State.Accepted_; }

} // namespace

RouteHealth::OwnRuns::OwnRuns() : Failures_(RunHalfLifeS, AssumedSuccesses), Rate_(NeedHalfLifeS) {}

RouteHealth::RouteHealth() : Rejections_(RejectionHalfLifeS, AssumedSuccesses) {}

void RouteHealth::merge(const ClassId &Class, double Success, double Accepted, TimePoint At) {
  const bool Sound = Success * Accepted >= SoundLevel;
  auto Found = Entries_.find(Class);
  if (Found == Entries_.end()) {
    if (Sound)
      return;
    Found = Entries_.emplace(Class, Entry()).first;
  }
  Entry &Item = Found->second;
  if (At <= Item.At_)
    return;
  const auto Move = [](double &Value, double Measured) {
    Value += (Measured > Value ? BetterWeight : WorseWeight) * (Measured - Value);
  };
  Move(Item.Success_, Success);
  Move(Item.Accepted_, Accepted);
  Item.At_ = At;
  if (Item.Success_ * Item.Accepted_ < SoundLevel)
    Item.TroubleAt_ = At;
}

// The room of a class changes within tenths of a second, what limits a class hardly ever. So the
// room of the limiting class is not passed on from hop to hop, but looked up.
std::optional<RouteHealth::KnownRoom> RouteHealth::roomOf(TimePoint Now,
                                                          const ClassId &Class) const {
  const auto Found = Entries_.find(Class);
  if (Found == Entries_.end() || Found->second.Limit_.empty() ||
      Now - Found->second.RoomAt_ > StateLifetime)
    return std::nullopt;
  const Entry &Item = Found->second;
  KnownRoom Result{Item.Room_, Item.Answers_, Item.Limit_, Item.RoomAt_};
  const auto Limiting = Entries_.find(Item.Limit_);
  if (Limiting != Entries_.end() && Limiting->second.Limit_ == Item.Limit_ &&
      Limiting->second.RoomAt_ > Item.RoomAt_) {
    Result.Room_ = Limiting->second.Room_;
    Result.At_ = Limiting->second.RoomAt_;
  }
  return Result;
}

void RouteHealth::mergeRoom(const ClassId &Class, const KnownRoom &Known) {
  auto Found = Entries_.find(Class);
  if (Found == Entries_.end()) {
    if (Known.Room_.Share_ >= 1.0)
      return;
    Found = Entries_.emplace(Class, Entry()).first;
    Found->second.At_ = Known.At_;
  }
  Entry &Item = Found->second;
  const auto Old = roomOf(Known.At_, Class);
  if (Old && Old->Limit_ != Known.Limit_ && Known.Room_.Share_ >= Old->Room_.Share_)
    return;
  if (Old && Old->Limit_ == Known.Limit_ && Known.At_ <= Item.RoomAt_)
    return;
  // Nodes that have not recognised full servers yet tell a room that is not theirs.
  if (Old && Old->Room_.Full_ && !Known.Room_.Full_ && Known.Room_.Share_ < 1.0 &&
      Known.At_ - Old->At_ <= FullTime)
    return;
  const bool Blends = Old && Class == Known.Limit_ && Old->Room_.Full_ == Known.Room_.Full_;
  const double Weight = Known.Room_.Share_ >= 1.0 ? BetterWeight : RoomWeight;
  const auto Move = [&](double &Value, double Measured) {
    Value += (Blends ? Weight : 1.0) * (Measured - Value);
  };
  Move(Item.Room_.Share_, Known.Room_.Share_);
  Move(Item.Room_.Open_, Known.Room_.Open_);
  Item.Room_.Full_ = Known.Room_.Full_;
  if (Item.Room_.Share_ >= FullLevel)
    Item.Room_ = RoomMeter::Room();
  // A node that has restarted counts the calls of runs that fail, and so too few.
  Item.Answers_ = Old ? std::max(Old->Answers_, Known.Answers_) : Known.Answers_;
  Item.Limit_ = Known.Limit_;
  Item.RoomAt_ = Known.At_;
  if (Class == Known.Limit_)
    noteNews(Item);
  if (Item.Room_.Share_ < SoundLevel)
    Item.TroubleAt_ = std::max(Item.TroubleAt_, Known.At_);
}

void RouteHealth::noteNews(Entry &Item) {
  const double Share = Item.Room_.Share_;
  const bool Falls = Item.NewsShare_ >= MinNewsShare && NewsFactor * Share <= Item.NewsShare_;
  if (Share >= NewsFactor * Item.NewsShare_ || Falls) {
    NewsAt_ = Item.RoomAt_;
    Item.NewsShare_ = Share;
  }
  Item.NewsShare_ = std::min(Item.NewsShare_, Share);
}

bool RouteHealth::hasNews(TimePoint Now) const {
  return NewsAt_ != TimePoint() && Now - NewsAt_ <= NewsTime;
}

std::optional<ClassId> RouteHealth::onlyClass(TimePoint Now) const {
  std::optional<ClassId> Result;
  for (const auto &[Class, Runs] : OwnRuns_) {
    if (Now - Runs.LastRun_ > RecentTime)
      continue;
    if (Result)
      return std::nullopt;
    Result = Class;
  }
  return Result;
}

void RouteHealth::called(TimePoint Now, const ClassId &Class,
                         const std::optional<ClassId> &Parent) {
  Called_[Class] = Now;
  const auto Caller = Parent ? Parent : onlyClass(Now);
  if (!Caller) {
    if (!isAnyLimited(Now))
      LooseCalls_.try_emplace(Class, NeedHalfLifeS).first->second.add(Now);
    return;
  }
  Need &Item = Needs_[*Caller][Class];
  Item.At_ = Now;
  if (mayCount(Now, *Caller))
    Item.Calls_ += 1.0;
}

void RouteHealth::measured(TimePoint Now, const ClassId &Class, double Accepted,
                           const RoomMeter::Room &Room) {
  measured(Now, Class, Accepted);
  mergeRoom(Class, {Room, 1.0, Class, Now});
}

void RouteHealth::measured(TimePoint Now, const ClassId &Class, double Accepted) {
  const auto Known = Entries_.find(Class);
  merge(Class, Known == Entries_.end() ? 1.0 : Known->second.Success_, Accepted, Now);
}

// Runs that fail make fewer calls than they need, so they count only while nothing else is known.
bool RouteHealth::mayCount(TimePoint Now, const ClassId &Class) {
  return OwnRuns_[Class].Counted_ < MinRuns || !isAnyLimited(Now);
}

void RouteHealth::countRun(const ClassId &Class) {
  double &Runs = OwnRuns_[Class].Counted_;
  Runs += 1.0;
  if (Runs < MaxRuns)
    return;
  Runs /= 2.0;
  for (auto &Item : Needs_[Class])
    Item.second.Calls_ /= 2.0;
}

void RouteHealth::learnNeeds(TimePoint Now, const ClassId &Class) {
  if (OwnRuns_[Class].Failures_.share(Now) < NeedLevel)
    return;
  for (const auto &[Callee, At] : Called_) {
    const auto Known = roomOf(Now, Callee);
    if (Now - At <= RecentTime && Known && Known->Room_.Share_ < 1.0)
      Needs_[Class][Callee].At_ = Now;
  }
}

double RouteHealth::callsOf(TimePoint Now, const ClassId &Class, const ClassId &Callee,
                            const Need &Item) const {
  const double Runs = OwnRuns_.at(Class).Counted_;
  if (Item.Calls_ > 0.0)
    return Runs >= MinRuns ? Item.Calls_ / Runs : 1.0;
  const auto Loose = LooseCalls_.find(Callee);
  double Sharing = 0.0;
  for (const auto &[Other, Needed] : Needs_)
    if (const auto Found = Needed.find(Callee);
        Found != Needed.end() && Found->second.Calls_ <= 0.0)
      if (const auto Own = OwnRuns_.find(Other); Own != OwnRuns_.end())
        Sharing += Own->second.Rate_.rate(Now);
  // Both rates stand still while a class is limited, so that their ratio stays that of before.
  return Loose == LooseCalls_.end() || Sharing <= 0.0
             ? 1.0
             : std::max(1.0, Loose->second.rate(Now) / Sharing);
}

void RouteHealth::deriveRoom(TimePoint Now, const ClassId &Class) {
  const auto Needed = Needs_.find(Class);
  if (Needed == Needs_.end())
    return;
  std::optional<KnownRoom> Least;
  for (const auto &[Callee, Item] : Needed->second) {
    auto Known = Now - Item.At_ <= NeedLifetime ? roomOf(Now, Callee) : std::nullopt;
    const double Calls = callsOf(Now, Class, Callee, Item);
    if (!Known || Calls < MinCalls)
      continue;
    Known->Answers_ *= Calls;
    if (Least && Known->Limit_ == Least->Limit_)
      Least->Answers_ += Known->Answers_;
    else if (!Least || Known->Room_.Share_ < Least->Room_.Share_)
      Least = Known;
  }
  if (Least)
    mergeRoom(Class, *Least);
}

bool RouteHealth::isCalleeInTrouble(TimePoint Now) const {
  return std::any_of(Called_.begin(), Called_.end(), [&](const auto &Item) {
    const auto State = find(Now, Item.first);
    return State && Now - Item.second <= RecentTime && levelOf(*State) < TroubleLevel;
  });
}

void RouteHealth::measure(TimePoint Now, const ClassId &Class) {
  const double Failed = isCalleeInTrouble(Now) ? OwnRuns_[Class].Failures_.share(Now) : 0.0;
  merge(Class, 1.0 - Failed, 1.0 - Rejections_.share(Now), Now);
  deriveRoom(Now, Class);
}

void RouteHealth::ended(TimePoint Now, const ClassId &Class, RunEnd End) {
  Rejections_.ended(Now, End == RunEnd::Rejected);
  OwnRuns &Runs = OwnRuns_[Class];
  if (End != RunEnd::Rejected)
    Runs.Failures_.ended(Now, End == RunEnd::Failed);
  Runs.LastRun_ = Now;
  if (End == RunEnd::Failed)
    learnNeeds(Now, Class);
  if (End != RunEnd::Rejected && mayCount(Now, Class))
    countRun(Class);
  if (End != RunEnd::Rejected && !isAnyLimited(Now))
    Runs.Rate_.add(Now);
  measure(Now, Class);
}

void RouteHealth::heard(TimePoint Now, const std::vector<RouteState> &States) {
  for (const RouteState &State : States) {
    if (State.Age_ <= StateLifetime)
      merge(State.Class_, State.Success_, State.Accepted_, Now - State.Age_);
    if (!State.Limit_.empty() && State.RoomAge_ <= StateLifetime)
      mergeRoom(State.Class_, {{State.Room_, State.Open_, State.Full_},
                               State.Answers_,
                               State.Limit_,
                               Now - State.RoomAge_});
  }
}

std::vector<RouteState> RouteHealth::states(TimePoint Now) {
  std::vector<RouteState> Result;
  // Without a new run only the end of the trouble further down is news.
  const bool InTrouble = isCalleeInTrouble(Now);
  const bool Recovered = std::exchange(CalleeInTrouble_, InTrouble) && !InTrouble;
  for (auto Item = Entries_.begin(); Item != Entries_.end();) {
    const auto Own = OwnRuns_.find(Item->first);
    if (Recovered && Own != OwnRuns_.end() && Now - Own->second.LastRun_ <= StateLifetime)
      merge(Item->first, 1.0, Item->second.Accepted_, Now);
    if (Now - Item->second.At_ > StateLifetime) {
      Item = Entries_.erase(Item);
      continue;
    }
    if (Now - Item->second.TroubleAt_ <= TellRecovery)
      Result.push_back(*find(Now, Item->first));
    ++Item;
  }
  std::sort(Result.begin(), Result.end(),
            [](const RouteState &A, const RouteState &B) { return A.Age_ < B.Age_; });
  Result.resize(std::min(Result.size(), MaxStates));
  return Result;
}

std::optional<RouteState> RouteHealth::find(TimePoint Now, const ClassId &Class) const {
  const auto Found = Entries_.find(Class);
  if (Found == Entries_.end() || Now - Found->second.At_ > StateLifetime)
    return std::nullopt;
  const Entry &Item = Found->second;
  RouteState Result;
  Result.Class_ = Class;
  Result.Success_ = Item.Success_;
  Result.Accepted_ = Item.Accepted_;
  Result.Age_ = Now - Item.At_;
  if (const auto Known = roomOf(Now, Class)) {
    Result.Room_ = Known->Room_.Share_;
    Result.Open_ = Known->Room_.Open_;
    Result.Full_ = Known->Room_.Full_;
    Result.Answers_ = Known->Answers_;
    Result.Limit_ = Known->Limit_;
    Result.RoomAge_ = Now - Known->At_;
  }
  return Result;
}

bool RouteHealth::isLimited(TimePoint Now, const ClassId &Class) const {
  return roomOf(Now, Class).has_value();
}

bool RouteHealth::needsLimited(TimePoint Now, const ClassId &Class) const {
  const auto Known = roomOf(Now, Class);
  return Known && Known->Limit_ != Class;
}

bool RouteHealth::isAnyLimited(TimePoint Now) const {
  return std::any_of(Entries_.begin(), Entries_.end(), [&](const auto &Item) {
    const auto Known = roomOf(Now, Item.first);
    return Known && Known->Room_.Share_ < 1.0;
  });
}

std::optional<RouteState> RouteHealth::worst(TimePoint Now) const {
  std::optional<RouteState> Result;
  for (const auto &[Class, Item] : Entries_) {
    const auto State = find(Now, Class);
    if (State && levelOf(*State) < (Result ? levelOf(*Result) : TroubleLevel))
      Result = State;
  }
  return Result;
}

void shareRooms(TimePoint Now, RoomMeter &Rooms, RetryBudget &Budget, RouteHealth &Health) {
  for (const ServiceId &Service : Rooms.told(Now)) {
    const bool MayLend = Budget.mayLend(Now, Service);
    Budget.lend(Service, MayLend && (Rooms.isDegraded(Service) || Rooms.isFull(Service)));
    const std::vector<ClassId> Classes = Rooms.classes(Now, Service);
    std::optional<RoomMeter::Room> Known;
    for (const ClassId &Class : Classes)
      if (const auto State = Health.find(Now, Class); State && State->Limit_ == Class)
        Known = RoomMeter::Room{State->Room_, State->Open_, State->Full_};
    const double Retries = Budget.available(Now, Service, RoomMeter::Horizon);
    const bool IsWaste = MayLend && !Rooms.gainsByRetries(Now, Service);
    Budget.spread(Service, IsWaste ? std::optional(Retries) : std::nullopt,
                  Rooms.isFull(Service) ? FullSpreadTime : ProbeSpreadTime);
    const RoomMeter::Room Room = Rooms.room(Now, Service, Retries, Known);
    const double Accepted = Rooms.accepted(Now, Service);
    const bool TellsRoom = MayLend && Rooms.takeNews(Now, Service);
    for (const ClassId &Class : Classes)
      TellsRoom ? Health.measured(Now, Class, Accepted, Room)
                : Health.measured(Now, Class, Accepted);
  }
}

void RouteAdmission::update(const ClassId &Class, std::uint32_t Urgency,
                            std::optional<double> Success) {
  const double Target = TargetSuccess[std::min<std::size_t>(Urgency, TargetSuccess.size() - 1)];
  const bool Low = Success && *Success < Target;
  const auto Found = Shares_.find(Class);
  if (Found == Shares_.end()) {
    if (Low)
      Shares_[Class].Share_ = ShrinkFactor;
    return;
  }
  Found->second.ByRoom_ = false;
  double &Share = Found->second.Share_;
  if (Low)
    Share = std::max(MinAdmitted, Share * ShrinkFactor);
  else if (!Success)
    Share *= UnknownFactor;
  else
    Share *= *Success >= RecoveredLevel ? RecoverFactor : GrowFactor;
  if (Share >= 1.0)
    Shares_.erase(Found);
}

bool RouteAdmission::admit(TimePoint Now, const ClassId &Class, const ReturnOrder::Place &Place) {
  const bool New = Place.Refusals_ == 0;
  if (New)
    Offered_.try_emplace(Class, DemandHalfLifeS).first->second.add(Now);
  const auto Found = Shares_.find(Class);
  if (Found == Shares_.end())
    return true;
  Limit &Item = Found->second;
  if (!Item.ByRoom_)
    return Place.Position_ < Item.Share_;
  if (New)
    Item.Credit_ = std::min(MaxCredit, Item.Credit_ + Item.Share_);
  if (Place.Position_ >= Item.Share_ * (1.0 + Item.Credit_ / CreditScale))
    return false;
  Item.Credit_ -= 1.0;
  return true;
}

void RouteAdmission::update(TimePoint Now, const std::vector<Demand> &Classes) {
  std::map<ClassId, Group> ByLimit;
  for (const Demand &Item : Classes) {
    const std::optional<RouteState> &State = Item.State_;
    if (State && !State->Limit_.empty())
      ByLimit[State->Limit_].push_back(&Item);
    else
      update(Item.Class_, Item.Urgency_, State ? std::optional(State->Success_) : std::nullopt);
  }
  for (auto &Item : ByLimit)
    distribute(Now, Item.second);
}

void RouteAdmission::distribute(TimePoint Now, const Group &Classes) {
  const auto DemandOf = [&](const Demand &Item) {
    const auto Found = Offered_.find(Item.Class_);
    return std::max(MinDemand, Found == Offered_.end() ? 0.0 : Found->second.rate(Now));
  };
  std::map<std::uint32_t, double> DemandByRank;
  double Room = 0.0;
  for (const Demand *Item : Classes) {
    DemandByRank[Item->Urgency_] += DemandOf(*Item);
    // Of requests that need few answers, more get them if all are admitted.
    const RouteState &State = *Item->State_;
    const double Whole = std::pow(State.Open_, State.Answers_);
    Room += DemandOf(*Item) * (Whole >= std::max(MinOpen, State.Room_) ? 1.0 : State.Room_);
  }
  double Wanted = 0.0;
  for (const auto &Item : DemandByRank)
    Wanted += Item.second;
  const double Reserve = 1.0 + MaxReserve * (1.0 - Room / Wanted);
  std::map<std::uint32_t, double> ShareByRank;
  for (const auto &[Rank, OfRank] : DemandByRank) {
    const double Given = std::min(Room, OfRank);
    ShareByRank[Rank] = Given / OfRank;
    Room = std::max(0.0, Room - Reserve * Given);
  }
  for (const Demand *Item : Classes)
    move(Item->Class_, std::max(MinRoomShare, ShareByRank[Item->Urgency_]));
}

void RouteAdmission::move(const ClassId &Class, double Target) {
  const double Share = std::min(Target, share(Class) * RoomRecoverFactor);
  if (Share >= WholeShare) {
    Shares_.erase(Class);
    return;
  }
  Limit &Item = Shares_[Class];
  Item.Share_ = Share;
  Item.ByRoom_ = true;
}

std::optional<Duration> RouteAdmission::timeForRoom(TimePoint Now, const ClassId &Class,
                                                    std::size_t Requests) const {
  const auto Found = Shares_.find(Class);
  const auto Demand = Offered_.find(Class);
  if (Found == Shares_.end() || !Found->second.ByRoom_ || Demand == Offered_.end())
    return std::nullopt;
  const double PerSecond = std::max(MinDemand, Found->second.Share_ * Demand->second.rate(Now));
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(static_cast<double>(Requests) / PerSecond));
}

double RouteAdmission::share(const ClassId &Class) const {
  const auto Found = Shares_.find(Class);
  return Found == Shares_.end() ? 1.0 : Found->second.Share_;
}

} // namespace bronzestand
