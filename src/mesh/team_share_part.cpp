#include "mesh/team_share_part.h"

#include <fmt/format.h>

#include "node/clock.h"

namespace bronzestand::node {
namespace {

using nlohmann::json;

/// Longest time for which a request waits for the broker; long enough to open a link between
/// regions.
constexpr Duration MaxHoldTime = std::chrono::milliseconds(160);

/// A host whose server left the platform's list is kept for this long, because it may still serve
/// callers and may be listed again.
constexpr Duration LeftRetention = std::chrono::seconds(15);
/// A host that is no longer listed without having left may be on the other side of a partition, and
/// uses its share there.
constexpr Duration LostRetention = std::chrono::hours(1);

/// Interval of the log lines on tokens.
constexpr Duration ReportInterval = std::chrono::seconds(1);

} // namespace

TeamSharePart::TeamSharePart(boost::asio::io_context &Io, const Settings &Config, FleetState &Fleet,
                             PeerLinks &Links, EventLog &Events)
    : Self_(Config.Host_), Fleet_(Fleet), Links_(Links), Events_(Events),
      Shares_(Config.Host_, now(), wallMicroseconds()), Timer_(Io) {}

absl::Status TeamSharePart::start() {
  Links_.setHandler(MessageKind::TeamLimits,
                    [this](const Peer &From, const json &Body) { onMessage(From, Body); });
  Fleet_.onConfig([this] { configChanged(); });
  Fleet_.onServers([this] { updateHosts(now()); });
  Links_.addHostDown([this](const HostId &Host, LinkEnd Reason) { onHostDown(Host, Reason); });
  Links_.addLinkUp([this](const Peer &Other) { Shares_.reachable(Other.Host_); });
  return absl::OkStatus();
}

void TeamSharePart::stop() {
  Timer_.cancel();
  Held_.clear();
}

void TeamSharePart::drain() {
  for (const auto &[Lender, Value] : Shares_.leave(now()))
    send(Lender, Value);
}

void TeamSharePart::tick(TimePoint Now) {
  updateHosts(Now);
  sendOffers(Shares_.tick(Now));
  if (Now - ReportedAt_ >= ReportInterval)
    report(Now);
}

void TeamSharePart::report(TimePoint Now) {
  ReportedAt_ = Now;
  for (const auto &[Team, Counts] : Counts_) {
    if (Counts.Granted_ + Counts.Denied_ != 0)
      Events_.write(Now, EventClass::Belief, "team_shares", "tokens_granted",
                    {{"team", Team.str()},
                     {"granted", Counts.Granted_},
                     {"denied", Counts.Denied_},
                     {"requesters", Counts.Requesters_.size()},
                     {"fraction", Shares_.rateFraction(Team)}});
    if (Counts.AdmittedAlone_ + Counts.RefusedAlone_ != 0)
      Events_.write(Now, EventClass::Belief, "team_shares", "broker_silent",
                    {{"team", Team.str()},
                     {"broker", Shares_.brokerOf(Team).str()},
                     {"admitted", Counts.AdmittedAlone_},
                     {"refused", Counts.RefusedAlone_}});
  }
  Counts_.clear();
  const ShareLoans &Loans = Shares_.loans();
  for (ShareLoans::Shard Item = 0; Item < ShareLoans::ShardCount; ++Item) {
    if (ReportedBrokers_[Item] == Loans.broker(Item))
      continue;
    ReportedBrokers_[Item] = Loans.broker(Item);
    Events_.write(Now, EventClass::Belief, "team_shares", "broker_changed",
                  {{"shard", Item},
                   {"broker", Loans.broker(Item).str()},
                   {"hosts", Loans.hosts()},
                   {"unreachable", Loans.unreachableHosts()},
                   {"lenders", Loans.lenders(Item)},
                   {"fraction", Loans.fraction(Item)}});
  }
}

void TeamSharePart::updateHosts(TimePoint Now) {
  // Without the platform's list, this node can't tell which part of a rate its share is.
  if (!Fleet_.isReady())
    return;
  for (const auto &[Id, Server] : Fleet_.servers().all())
    Listings_[Server.Host_] = {Now, Server.Leaving_};
  Listings_[Self_] = {Now, false};
  std::vector<HostId> Hosts;
  for (auto Item = Listings_.begin(); Item != Listings_.end();) {
    const auto &[Host, Value] = *Item;
    const Duration Retention = Value.Leaving_ ? LeftRetention : LostRetention;
    if (Now - Value.Last_ > Retention && !Links_.isLinked(Host)) {
      Item = Listings_.erase(Item);
      continue;
    }
    Hosts.push_back(Host);
    ++Item;
  }
  Shares_.setHosts(std::move(Hosts));
}

void TeamSharePart::onHostDown(const HostId &Host, LinkEnd Reason) {
  if (Reason == LinkEnd::Failed)
    Shares_.unreachable(now(), Host);
  if (Reason != LinkEnd::Lost)
    return;
  Shares_.messagesLost(Host);
  std::vector<TeamId> Waiting;
  for (const auto &[Team, Items] : Held_)
    if (!Items.empty())
      Waiting.push_back(Team);
  for (const TeamId &Team : Waiting)
    requestTokens(Team);
}

void TeamSharePart::configChanged() {
  std::map<TeamId, TeamShares::Limit> Limits;
  for (const FleetTeam &Team : Fleet_.config().Teams_)
    Limits[Team.Spec_.Name_] = {Team.Spec_.Rate_, Team.Spec_.Burst_};
  Shares_.setLimits(now(), Limits);
}

void TeamSharePart::admit(const TeamId &Team, DecisionCallback Done) {
  const TimePoint Now = now();
  TeamShares::Token Taken;
  const TeamShares::Decision Result = Shares_.admit(Now, Team, &Taken);
  if (Result == TeamShares::Decision::Held) {
    Held_[Team].push_back({Now, std::move(Done)});
    requestTokens(Team);
    scheduleTimeout();
    return;
  }
  Done(Result == TeamShares::Decision::Admitted, Taken);
  requestTokens(Team);
}

void TeamSharePart::returned(const TeamId &Team, const TeamShares::Token &Unused) {
  ++TokensReturned_;
  Shares_.returned(now(), Team, Unused);
}

void TeamSharePart::requestTokens(const TeamId &Team) {
  const TimePoint Now = now();
  const auto Next = Shares_.nextRequest(Now, Team);
  if (!Next)
    return;
  ++TokenRequests_;
  if (Next->To_ == Self_)
    onGrant(serve(Now, Self_, *Next));
  else
    send(Next->To_, *Next);
}

void TeamSharePart::send(const HostId &To, const TeamShareBody &Body) {
  Links_.send(To, MessageKind::TeamLimits, encodeTeamShares(Body));
}

void TeamSharePart::sendOffers(const std::vector<ShareLoans::Outgoing> &Offers) {
  for (const auto &[To, Value] : Offers)
    send(To, Value);
}

TeamShares::Grant TeamSharePart::serve(TimePoint Now, const HostId &From,
                                       const TeamShares::TokenRequest &Request) {
  TeamShares::Grant Value = Shares_.serve(Now, Request);
  TokenCounts &Counts = Counts_[Request.Team_];
  Counts.Granted_ += Value.Count_;
  Counts.Denied_ += Request.Count_ - Value.Count_;
  Counts.Requesters_.insert(From);
  TokensGranted_ += Value.Count_;
  TokensDenied_ += Request.Count_ - Value.Count_;
  return Value;
}

void TeamSharePart::onMessage(const Peer &From, const json &Body) {
  const TeamShareBody Message = decodeTeamShares(Body);
  const TimePoint Now = now();
  if (const auto *Request = std::get_if<TeamShares::TokenRequest>(&Message))
    send(From.Host_, serve(Now, From.Host_, *Request));
  else if (const auto *Grant = std::get_if<TeamShares::Grant>(&Message))
    onGrant(*Grant);
  else if (const auto *Offer = std::get_if<ShareLoans::Offer>(&Message))
    send(From.Host_, Shares_.offered(Now, From.Host_, *Offer));
  else if (const auto *Answer = std::get_if<ShareLoans::Answer>(&Message))
    sendOffers(Shares_.answered(Now, From.Host_, *Answer));
}

void TeamSharePart::onGrant(const TeamShares::Grant &Value) {
  const TimePoint Now = now();
  Shares_.granted(Now, Value);
  const auto Found = Held_.find(Value.Team_);
  while (Found != Held_.end() && !Found->second.empty()) {
    TeamShares::Token Taken;
    const TeamShares::Decision Result = Shares_.decide(Now, Value.Team_, &Taken);
    if (Result == TeamShares::Decision::Held)
      break;
    const DecisionCallback Done = std::move(Found->second.front().Done_);
    Found->second.pop_front();
    Done(Result == TeamShares::Decision::Admitted, Taken);
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
      TeamShares::Token Taken;
      const bool Admitted =
          Shares_.decideWithoutBroker(Now, Team, &Taken) == TeamShares::Decision::Admitted;
      ++(Admitted ? Counts_[Team].AdmittedAlone_ : Counts_[Team].RefusedAlone_);
      Done(Admitted, Taken);
    }
  }
  scheduleTimeout();
}

nlohmann::json TeamSharePart::dump() const {
  std::size_t HeldCount = 0;
  for (const auto &[Team, Items] : Held_)
    HeldCount += Items.size();
  const ShareLoans &Loans = Shares_.loans();
  json Shards = json::array();
  for (ShareLoans::Shard Item = 0; Item < ShareLoans::ShardCount; ++Item)
    Shards.push_back({{"broker", Loans.broker(Item).str()},
                      {"lenders", Loans.lenders(Item)},
                      {"fraction", Loans.fraction(Item)}});
  return {{"asks", TokenRequests_},
          {"decided_alone", DecidedWithoutBroker_},
          {"held", HeldCount},
          {"tokens_granted", TokensGranted_},
          {"tokens_denied", TokensDenied_},
          {"tokens_returned", TokensReturned_},
          {"hosts", Loans.hosts()},
          {"unreachable", Loans.unreachableHosts()},
          {"shards", std::move(Shards)}};
}

void TeamSharePart::print(std::string &Out) const {
  const auto Counter = [&Out](std::string_view Name, std::string_view Help, std::uint64_t Value) {
    Out += fmt::format("# HELP {0} {1}\n# TYPE {0} counter\n{0} {2}\n", Name, Help, Value);
  };
  Counter("bronzestand_tokens_granted_total", "Tokens granted as the broker of a team",
          TokensGranted_);
  Counter("bronzestand_tokens_denied_total", "Tokens requested from this broker and not granted",
          TokensDenied_);
  Counter("bronzestand_tokens_returned_total",
          "Tokens returned by requests that were refused and have not run", TokensReturned_);
  Counter("bronzestand_decided_without_broker_total",
          "Requests decided without an answer of the broker", DecidedWithoutBroker_);
}

} // namespace bronzestand::node
