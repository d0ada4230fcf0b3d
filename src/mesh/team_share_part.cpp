#include "mesh/team_share_part.h"

#include "node/clock.h"

namespace bronzestand::node {
namespace {

using nlohmann::json;

/// Longest wait of a request for the broker. It covers opening a link between regions.
constexpr Duration HoldTime = std::chrono::milliseconds(160);

/// A host that could not be reached is taken to be beyond a partition for this long.
constexpr Duration DownLife = std::chrono::seconds(3);
/// A host whose server is gone from the list may still serve callers, and may come back.
constexpr Duration UnlistedLife = std::chrono::seconds(15);

enum class ShareMessage : unsigned { Ask, Grant };

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
  Waiting_.clear();
}

void TeamSharePart::updateHosts(TimePoint Now) {
  Listed_[Self_] = Now;
  for (const HostId &Host : Fleet_.servers().hosts())
    Listed_[Host] = Now;
  std::set<HostId> Down;
  for (auto Item = Down_.begin(); Item != Down_.end();) {
    if (Now - Item->second > DownLife) {
      Item = Down_.erase(Item);
      continue;
    }
    Down.insert(Item->first);
    ++Item;
  }
  std::vector<HostId> Hosts;
  for (auto Item = Listed_.begin(); Item != Listed_.end();) {
    if (Now - Item->second > UnlistedLife && !Links_.isLinked(Item->first)) {
      Item = Listed_.erase(Item);
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

void TeamSharePart::admit(const TeamId &Team, Decided Done) {
  const TimePoint Now = now();
  const TeamShares::Decision Verdict = Shares_.admit(Now, Team);
  if (Verdict == TeamShares::Decision::Held) {
    Waiting_[Team].push_back({Now, std::move(Done)});
    ask(Team);
    scheduleTimeout();
    return;
  }
  Done(Verdict == TeamShares::Decision::Admitted);
  ask(Team);
}

void TeamSharePart::ask(const TeamId &Team) {
  const TimePoint Now = now();
  const auto Next = Shares_.nextRequest(Now, Team);
  if (!Next)
    return;
  ++Asks_;
  if (Next->To_ == Self_)
    onGrant(Shares_.serve(Now, Team, Next->Count_));
  else
    Links_.send(Next->To_, MessageKind::TeamLimits,
                json::array({static_cast<unsigned>(ShareMessage::Ask), Team.str(), Next->Count_}));
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
  const auto Found = Waiting_.find(Value.Team_);
  while (Found != Waiting_.end() && !Found->second.empty()) {
    const TeamShares::Decision Verdict = Shares_.decide(Now, Value.Team_);
    if (Verdict == TeamShares::Decision::Held)
      break;
    const Decided Done = std::move(Found->second.front().Done_);
    Found->second.pop_front();
    Done(Verdict == TeamShares::Decision::Admitted);
  }
  ask(Value.Team_);
}

void TeamSharePart::scheduleTimeout() {
  TimePoint First = TimePoint::max();
  for (const auto &[Team, Items] : Waiting_)
    if (!Items.empty())
      First = std::min(First, Items.front().Since_ + HoldTime);
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
  for (auto &[Team, Items] : Waiting_) {
    while (!Items.empty() && Now - Items.front().Since_ >= HoldTime) {
      ++Alone_;
      const Decided Done = std::move(Items.front().Done_);
      Items.pop_front();
      Done(Shares_.decideWithoutBroker(Now, Team) == TeamShares::Decision::Admitted);
    }
  }
  scheduleTimeout();
}

nlohmann::json TeamSharePart::dump() const {
  std::size_t Held = 0;
  for (const auto &[Team, Items] : Waiting_)
    Held += Items.size();
  return {{"asks", Asks_}, {"decided_alone", Alone_}, {"held", Held}};
}

} // namespace bronzestand::node
