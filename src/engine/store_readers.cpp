#include "bronzestand/store_readers.h"

#include <algorithm>

#include "bronzestand/rendezvous.h"

namespace bronzestand {
namespace {

using std::chrono::milliseconds;

/// Readers of a data centre. With two, a change arrives while one of them is being replaced.
constexpr std::size_t ReaderCount = 2;
/// In a data centre with up to this many hosts every node reads; two readers would save little.
constexpr std::size_t MaxUnsharedHosts = 6;
/// With less time to apply a change, a follower could not wait for SilenceLimit before it reads.
constexpr Duration MinSharedApplyTime = milliseconds(2000);
constexpr std::string_view RankKey = "store_reader";

/// Time after which a reader that is not heard no longer serves.
constexpr Duration SilenceLimit = milliseconds(1000);
/// Interval between notices. Ticks of 100 ms make it about 400 ms.
constexpr Duration NoticeInterval = milliseconds(350);
/// Interval between requests for notices, and time for which a reader grants them: two may be lost.
constexpr Duration FollowInterval = milliseconds(950);
constexpr Duration FollowLifetime = milliseconds(3000);
/// Interval between requests to a host that does not serve.
constexpr Duration RetryInterval = milliseconds(2000);
/// A host that was not asked for this time may serve again.
constexpr Duration ViewLifetime = milliseconds(5000);
/// Notices on a slow link are late. One that answers an older request than this is too late; at
/// normal speed requests are answered within FollowInterval and NoticeInterval.
constexpr Duration MaxEchoAge = milliseconds(2000);
/// A reader that lacks changes of this node for longer does not serve. The same as the time after
/// which a node that is behind others reads the store again.
constexpr Duration MaxLag = milliseconds(500);
/// Parts of the time to apply a change. A watch of the first reader returns after 0.5 of it, and
/// one of the second reader fails after 1.35 of it; the rest is for the latency of the store and
/// the pause between watches.
constexpr double FreshShare = 0.65;
constexpr double ServingShare = 1.45;
/// The second reader asks the store at once when the first one no longer serves; followers wait for
/// it for this time before they ask as well.
constexpr Duration RefreshTime = milliseconds(300);
/// Time after the first response of the store in which a reader usually answers a request.
constexpr Duration StartTime = milliseconds(300);
/// Bounds on the requests for notices while no host serves: to hosts that respond without serving,
/// as in an outage of the store, and to all hosts.
constexpr std::size_t MaxLostAsked = 4;
constexpr std::size_t MaxAsked = 16;

constexpr std::array<std::string_view, 5> DutyNames{"none", "cover", "second", "first", "every"};

Duration partOf(Duration Time, double Share) {
  return std::chrono::duration_cast<Duration>(Time * Share);
}

} // namespace

std::string_view readDutyName(ReadDuty Value) { return DutyNames[static_cast<std::size_t>(Value)]; }

StoreReaders::StoreReaders(HostId Self, Duration ApplyTime)
    : Self_(std::move(Self)), ApplyTime_(ApplyTime) {}

std::vector<HostId> StoreReaders::rank(const std::vector<HostId> &Hosts) {
  return topHosts(RankKey, Hosts, Hosts.size());
}

void StoreReaders::setHosts(std::vector<HostId> Hosts) {
  std::sort(Hosts.begin(), Hosts.end());
  if (Hosts == Hosts_)
    return;
  Hosts_ = std::move(Hosts);
  Ranked_ = rank(Hosts_);
  Listed_ = std::binary_search(Hosts_.begin(), Hosts_.end(), Self_);
  for (auto Item = Views_.begin(); Item != Views_.end();)
    Item = std::binary_search(Hosts_.begin(), Hosts_.end(), Item->first) ? std::next(Item)
                                                                         : Views_.erase(Item);
}

void StoreReaders::stop() { Stopping_ = NoticeDue_ = true; }

void StoreReaders::noteResponse(TimePoint Now) {
  RespondedAt_ = Now;
  if (!StartedAt_)
    StartedAt_ = Now;
  Lost_ = false;
  NoticeDue_ = true;
}

void StoreReaders::noteLost() {
  if (!std::exchange(Lost_, true))
    NoticeDue_ = true;
}

void StoreReaders::handle(TimePoint Now, const HostId &From, const ReaderFollow &Message) {
  Follower &Item = Followers_[From];
  Item.AskedAt_ = Now;
  Item.Echo_ = Message.Sequence_;
}

std::optional<TimePoint> StoreReaders::handle(TimePoint Now, const HostId &From,
                                              const ReaderNotice &Message, StorePosition Own) {
  const auto Found = Views_.find(From);
  if (Found == Views_.end())
    return std::nullopt; // not asked, or no longer listed
  View &Item = Found->second;
  Item.HeardAt_ = Now;
  const TimePoint Before = Now - Duration(1);
  Item.TriedUntil_ = std::min(Item.TriedUntil_, Before);
  if (Message.Echo_ < SequenceCount)
    Item.EchoAt_ = std::max(Item.EchoAt_, Item.SentAt_[Message.Echo_]);
  const StorePosition Checked{Message.Known_.Era_, Message.Checked_};
  if (Checked >= Own)
    Item.LagSince_.reset();
  else if (!Item.LagSince_)
    Item.LagSince_ = Now;
  const bool Lags = Item.LagSince_ && (Checked.Era_ != Own.Era_ || Now - *Item.LagSince_ > MaxLag);
  const TimePoint RespondedAt = Now - Message.ResponseAge_;
  TimePoint ServingUntil = TimePoint::min();
  if (Message.State_ == ReaderState::Current && !Lags)
    ServingUntil = std::min({Now + SilenceLimit, Item.EchoAt_ + MaxEchoAge,
                             RespondedAt + partOf(ApplyTime_, ServingShare)});
  if (ServingUntil < Now) {
    Item.ServingUntil_ = std::min(Item.ServingUntil_, Before);
    Item.FreshUntil_ = std::min(Item.FreshUntil_, Before);
    return std::nullopt;
  }
  Item.ServingUntil_ = ServingUntil;
  Item.FreshUntil_ = std::min(ServingUntil, RespondedAt + partOf(ApplyTime_, FreshShare));
  if (!FirstHeardAt_)
    FirstHeardAt_ = Now;
  return RespondedAt;
}

void StoreReaders::noteUnreachable(TimePoint Now, const HostId &Host) {
  const auto Found = Views_.find(Host);
  if (Found == Views_.end())
    return;
  View &Item = Found->second;
  const TimePoint Before = Now - Duration(1);
  for (TimePoint *Limit : {&Item.TriedUntil_, &Item.ServingUntil_, &Item.FreshUntil_})
    *Limit = std::min(*Limit, Before);
}

void StoreReaders::noteLinkLost(TimePoint Now, const HostId &Host) {
  const auto Found = Views_.find(Host);
  if (Found != Views_.end() && isHopeful(Now, Found->second))
    Found->second.AskedAt_ = Now - FollowInterval;
}

bool StoreReaders::isShared() const {
  const std::size_t Count = Hosts_.size() + (Listed_ ? 0 : 1);
  return Count > MaxUnsharedHosts && ApplyTime_ >= MinSharedApplyTime;
}

bool StoreReaders::isHopeful(TimePoint Now, const View &Item) {
  return Now <= Item.ServingUntil_ || Now <= Item.TriedUntil_ || Now - Item.AskedAt_ > ViewLifetime;
}

bool StoreReaders::isHopeful(TimePoint Now, const HostId &Host) const {
  const auto Found = Views_.find(Host);
  return Found == Views_.end() || isHopeful(Now, Found->second);
}

std::size_t StoreReaders::hopefulAbove(TimePoint Now) const {
  std::size_t Count = 0;
  for (const HostId &Host : Ranked_) {
    if (Host == Self_ || Count == ReaderCount)
      break;
    Count += isHopeful(Now, Host) ? 1 : 0;
  }
  return Count;
}

bool StoreReaders::isServing(TimePoint Now, const HostId &Host) const {
  const auto Found = Views_.find(Host);
  return Found != Views_.end() && Now <= Found->second.ServingUntil_;
}

HostId StoreReaders::followed(TimePoint Now) const {
  for (const auto &[Host, Item] : Views_)
    if (Now <= Item.FreshUntil_)
      return Host;
  return {};
}

// A second reader that serves but has not asked the store for a while gets a little time.
bool StoreReaders::hasFreshReader(TimePoint Now) const {
  TimePoint FreshUntil = TimePoint::min();
  bool Serving = false;
  for (const auto &[Host, Item] : Views_) {
    FreshUntil = std::max(FreshUntil, Item.FreshUntil_);
    Serving = Serving || Now <= Item.ServingUntil_;
  }
  return Now <= FreshUntil || (Serving && Now - RefreshTime <= FreshUntil);
}

ReadDuty StoreReaders::duty(TimePoint Now) const {
  if (!isShared())
    return ReadDuty::Every;
  if (Listed_ && !Stopping_) {
    const std::size_t Above = hopefulAbove(Now);
    if (Above == 0)
      return ReadDuty::First;
    if (Above < ReaderCount)
      return ReadDuty::Second;
  }
  if (!Stopping_ && !Followers_.empty())
    return ReadDuty::Second;
  const bool Starting = !FirstHeardAt_ && StartedAt_ && Now - *StartedAt_ <= StartTime;
  return Starting || hasFreshReader(Now) ? ReadDuty::None : ReadDuty::Cover;
}

std::vector<HostId> StoreReaders::followers() const {
  std::vector<HostId> Result;
  for (const auto &[Host, Item] : Followers_)
    Result.push_back(Host);
  return Result;
}

std::vector<ReaderMessage> StoreReaders::tick(TimePoint Now, const ReaderKnowledge &Own) {
  for (auto Item = Followers_.begin(); Item != Followers_.end();)
    Item = Now - Item->second.AskedAt_ > FollowLifetime ? Followers_.erase(Item) : std::next(Item);
  const ReadDuty Duty = duty(Now);
  if (Duty >= ReadDuty::Second && LastDuty_ < ReadDuty::Second && FirstHeardAt_)
    ++Takeovers_;
  LastDuty_ = Duty;
  if (Duty == ReadDuty::None)
    Lost_ = false; // an old failure says nothing of the next request
  std::vector<ReaderMessage> Out;
  addFollows(Now, Out);
  addNotices(Now, Own, Out);
  return Out;
}

// A reader whose store responds needs to know only whether those above it serve.
void StoreReaders::addFollows(TimePoint Now, std::vector<ReaderMessage> &Out) {
  if (!isShared())
    return;
  const bool OnlyAbove = LastDuty_ >= ReadDuty::Second && Listed_ && !Lost_ && RespondedAt_;
  std::size_t Hopeful = 0;
  std::size_t Lost = 0;
  std::size_t Asked = 0;
  for (const HostId &Host : Ranked_) {
    if (Host == Self_) {
      if (OnlyAbove)
        return;
      continue;
    }
    if (Hopeful == ReaderCount || Lost == MaxLostAsked || Asked == MaxAsked)
      return;
    ++Asked;
    const auto [Found, New] = Views_.try_emplace(Host);
    View &Item = Found->second;
    if (New || Now - Item.AskedAt_ > ViewLifetime)
      Item.TriedUntil_ = Now + SilenceLimit;
    const bool Serves = isHopeful(Now, Item);
    Hopeful += Serves ? 1 : 0;
    Lost += !Serves && Now - Item.HeardAt_ <= FollowLifetime ? 1 : 0;
    if (!New && Now - Item.AskedAt_ < (Serves ? FollowInterval : RetryInterval))
      continue;
    Item.AskedAt_ = Now;
    Item.Sequence_ = static_cast<std::uint8_t>((Item.Sequence_ + 1) % SequenceCount);
    Item.SentAt_[Item.Sequence_] = Now;
    Out.push_back({Host, ReaderFollow{Item.Sequence_}});
  }
}

// A node that has begun to read because it is followed says nothing before the store responds.
std::optional<ReaderNotice> StoreReaders::makeNotice(TimePoint Now,
                                                     const ReaderKnowledge &Own) const {
  ReaderNotice Result;
  Result.Known_ = Own.Known_;
  Result.Checked_ = Own.Checked_;
  Result.Trusted_ = Own.Trusted_;
  if (RespondedAt_)
    Result.ResponseAge_ = Now - *RespondedAt_;
  if (Stopping_)
    Result.State_ = ReaderState::Stopping;
  else if (Lost_)
    Result.State_ = ReaderState::Lost;
  else if (!RespondedAt_ || Result.ResponseAge_ > partOf(ApplyTime_, ServingShare))
    return std::nullopt;
  return Result;
}

void StoreReaders::addNotices(TimePoint Now, const ReaderKnowledge &Own,
                              std::vector<ReaderMessage> &Out) {
  const bool Due = NoticeDue_ || Now - NoticedAt_ >= NoticeInterval;
  auto Notice = Followers_.empty() ? std::nullopt : makeNotice(Now, Own);
  if (Due) {
    NoticeDue_ = false;
    NoticedAt_ = Now;
  }
  if (!Notice)
    return;
  for (auto &[Host, Item] : Followers_) {
    if (!Due && Item.Notified_)
      continue;
    Item.Notified_ = true;
    Notice->Echo_ = Item.Echo_;
    Out.push_back({Host, *Notice});
  }
}

} // namespace bronzestand
