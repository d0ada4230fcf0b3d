#include "mesh/team_share_part.h"

#include "node/clock.h"

namespace bronzestand::node {
namespace {

using nlohmann::json;

/// Longest time for which a request waits for the broker; long enough to open a link between
/// regions.
constexpr Duration MaxHoldTime = std::chrono::milliseconds(160);

/// A host that could not be reached is assumed to be on the other side of a partition for this
/// long.
constexpr Duration DownRetention = std::chrono::seconds(3);
/// A host whose server is no longer listed is kept for this long, because it may still serve
/// callers and may be listed again.
constexpr Duration UnlistedRetention = std::chrono::seconds(15);

enum class ShareMessage : unsigned { Request, Grant };

} // namespace

TeamSharePart::TeamSharePart(boost::asio::io_context &Io, const Settings &Config, FleetState &Fleet,
                             PeerLinks &Links)
    : Self_(Config.Host_), Fleet_(Fleet), Links_(Links), Shares_(Config.Host_), Timer_(Io) {}

absl::Status TeamSharePart::start() {
  Links_.setHandler(MessageKind::TeamLimits,
                    [this](const Peer &From, const json &Body) { onMessage(From, Body); });
  Fleet_.onConfig([this] { configChanged(); });
  Fleet_.onServers([this] { updateHosts(now()); });
  Links_.addHostDown([this](const HostId &Host, LinkEnd Reason) {
    if (Reason == LinkEnd::Failed)
      Down_[Host] = now();
  });
  Links_.addLinkUp([this](const Peer &Other) { Down_.erase(Other.Host_); });
  return absl::OkStatus();
}

void TeamSharePart::stop() {
  Timer_.cancel();
  Held_.clear();
}

void TeamSharePart::updateHosts(TimePoint Now) {
  LastListed_[Self_] = Now;
  for (const HostId &Host : Fleet_.servers().hosts())
    LastListed_[Host] = Now;
  std::set<HostId> Down;
  for (auto Item = Down_.begin(); Item != Down_.end();) {
    if (Now - Item->second > DownRetention) {
      Item = Down_.erase(Item);
      continue;
    }
    Down.insert(Item->first);
    ++Item;
  }
  std::vector<HostId> Hosts;
  for (auto Item = LastListed_.begin(); Item != LastListed_.end();) {
    if (Now - Item->second > UnlistedRetention && !Links_.isLinked(Item->first)) {
      Item = LastListed_.erase(Item);
      continue;
    }
    Hosts.push_back(Item->first);
    ++Item;
  }
  Shares_.setHosts(std::move(Hosts), Down);
}

void TeamSharePart::configChanged() {
  std::map<TeamId, TeamShares::Limit> Limits;
  for (const FleetTeam &Team : Fleet_.config().Teams_)
    Limits[Team.Spec_.Name_] = {Team.Spec_.Rate_, Team.Spec_.Burst_};
  Shares_.setLimits(now(), Limits);
}

void TeamSharePart::admit(const TeamId &Team, DecisionCallback Done) {
  const TimePoint Now = now();
  const TeamShares::Decision Result = Shares_.admit(Now, Team);
  if (Result == TeamShares::Decision::Held) {
    Held_[Team].push_back({Now, std::move(Done)});
    requestTokens(Team);
    scheduleTimeout();
    return;
  }
  Done(Result == TeamShares::Decision::Admitted);
  requestTokens(Team);
}

void TeamSharePart::requestTokens(const TeamId &Team) {
  const TimePoint Now = now();
  const auto Next = Shares_.nextRequest(Now, Team);
  if (!Next)
    return;
  ++TokenRequests_;
  if (Next->To_ == Self_)
    onGrant(Shares_.serve(Now, Team, Next->Count_));
  else
    Links_.send(
        Next->To_, MessageKind::TeamLimits,
        json::array({static_cast<unsigned>(ShareMessage::Request), Team.str(), Next->Count_}));
}

void TeamSharePart::onMessage(const Peer &From, const json &Body) {
  const TeamId Team(Body.at(1).get<std::string>());
  const auto Count = Body.at(2).get<std::uint32_t>();
  if (Body.at(0).get<unsigned>() == static_cast<unsigned>(ShareMessage::Grant)) {
    onGrant({Team, Count, Duration(Body.at(3).get<Duration::rep>())});
    return;
  }
  const TeamShares::Grant Value = Shares_.serve(now(), Team, Count);
  Links_.send(From.Host_, MessageKind::TeamLimits,
              json::array({static_cast<unsigned>(ShareMessage::Grant), Team.str(), Value.Count_,
                           Value.EmptyFor_.count()}));
}

void TeamSharePart::onGrant(const TeamShares::Grant &Value) {
  const TimePoint Now = now();
  Shares_.granted(Now, Value);
  const auto Found = Held_.find(Value.Team_);
  while (Found != Held_.end() && !Found->second.empty()) {
    const TeamShares::Decision Result = Shares_.decide(Now, Value.Team_);
    if (Result == TeamShares::Decision::Held)
      break;
    const DecisionCallback Done = std::move(Found->second.front().Done_);
    Found->second.pop_front();
    Done(Result == TeamShares::Decision::Admitted);
  }
  requestTokens(Value.Team_);
}

void TeamSharePart::scheduleTimeout() {
  TimePoint First = TimePoint::max();
  for (const auto &[Team, Items] : Held_)
    if (!Items.empty())
      First = std::min(First, Items.front().Since_ + MaxHoldTime);
  if (First == TimePoint::max())
    return;
  Timer_.expires_after(std::max(Duration::zero(), First - now()));
  Timer_.async_wait([this](const boost::system::error_code &Failure) {
    if (!Failure)
      onTimeout();
  });
}

void TeamSharePart::onTimeout() {
  const TimePoint Now = now();
  for (auto &[Team, Items] : Held_) {
    while (!Items.empty() && Now - Items.front().Since_ >= MaxHoldTime) {
      ++DecidedWithoutBroker_;
      const DecisionCallback Done = std::move(Items.front().Done_);
      Items.pop_front();
      Done(Shares_.decideWithoutBroker(Now, Team) == TeamShares::Decision::Admitted);
    }
  }
  scheduleTimeout();
}

nlohmann::json TeamSharePart::dump() const {
  std::size_t HeldCount = 0;
  for (const auto &[Team, Items] : Held_)
    HeldCount += Items.size();
  return {{"asks", TokenRequests_}, {"decided_alone", DecidedWithoutBroker_}, {"held", HeldCount}};
}

} // namespace bronzestand::node
