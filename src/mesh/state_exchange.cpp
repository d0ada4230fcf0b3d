#include "mesh/state_exchange.h"

#include "node/clock.h"

namespace bronzestand::node {
namespace {

/// A change usually arrives from the platform within this time, so a node asks its peers only after
/// it.
constexpr Duration MinBehindTime = std::chrono::milliseconds(300);
/// Interval between queries, each to another host.
constexpr Duration QueryInterval = std::chrono::milliseconds(400);
/// Queries after the start before a node takes what it read from the platform for complete.
constexpr std::uint64_t MaxStartQueries = 5;
/// A peer that has all changes vouches for this node for this long, which covers a lost reply.
constexpr Duration VouchTime = 3 * QueryInterval;
/// The second reader sends a change after this time unless the first one has told of it. Less than
/// MinBehindTime, so that followers do not ask for the whole state first.
constexpr Duration HoldTime = std::chrono::milliseconds(100);

} // namespace

StateExchange::StateExchange(const Settings &Config, FleetState &Fleet, PeerLinks &Links,
                             EventLog &Events, Incarnation Run)
    : Self_(Config.Host_), Fleet_(Fleet), Links_(Links), Events_(Events), Random_(Run) {}

// Fleets with a metadata store don't spread documents, so the message kind is free for this.
absl::Status StateExchange::start() {
  Links_.setHandler(
      MessageKind::ConfigSpread,
      [this](const Peer &From, const nlohmann::json &Body) { onMessage(From.Host_, Body); });
  Links_.addHostDown([this](const HostId &Host, LinkEnd Reason) {
    if (Reason == LinkEnd::Failed)
      Fleet_.readers().noteUnreachable(now(), Host);
    else if (Reason == LinkEnd::Lost)
      Fleet_.readers().noteLinkLost(now(), Host);
  });
  Fleet_.setPublisher([this](const FleetChange &Change) { publish(Change); });
  return absl::OkStatus();
}

// A platform that was restored from a copy gives a node that starts older data than its peers have.
bool StateExchange::isStarting() const {
  return Fleet_.isReady() && !Answered_ && Queries_ < MaxStartQueries;
}

void StateExchange::drain() {
  Fleet_.readers().stop();
  sendDue(now());
}

void StateExchange::sendDue(TimePoint Now) {
  for (const ReaderMessage &Message : Fleet_.readers().tick(Now, Fleet_.readerKnowledge())) {
    FleetStateBody Body;
    if (const auto *Follow = std::get_if<ReaderFollow>(&Message.Body_))
      Body = FleetFollow{Fleet_.knowledge(), *Follow};
    else
      Body = std::get<ReaderNotice>(Message.Body_);
    Links_.send(Message.To_, MessageKind::ConfigSpread, encodeFleetState(Body));
  }
}

void StateExchange::publish(const FleetChange &Change) {
  const TimePoint Now = now();
  const bool Second = Fleet_.readers().duty(Now) == ReadDuty::Second;
  if (!Change.empty() && Second)
    Held_.push_back({Change, Now + HoldTime});
  else if (!Change.empty())
    sendChange(Change);
  sendDue(Now);
}

void StateExchange::sendChange(const FleetChange &Change) {
  const std::vector<HostId> Followers = Fleet_.readers().followers();
  if (Followers.empty())
    return;
  ++ChangesSent_;
  const nlohmann::json Body = encodeFleetState(Change);
  for (const HostId &Host : Followers)
    Links_.send(Host, MessageKind::ConfigSpread, Body);
}

void StateExchange::sendHeldChanges(TimePoint Now) {
  while (!Held_.empty() && Held_.front().DueAt_ <= Now) {
    if (Held_.front().Change_.To_ > ReaderTold_)
      sendChange(Held_.front().Change_);
    Held_.erase(Held_.begin());
  }
}

void StateExchange::tick(TimePoint Now) {
  sendHeldChanges(Now);
  sendDue(Now);
  const bool Behind = Fleet_.needsPeers(Now);
  BehindSince_ = Behind ? std::min(BehindSince_, Now) : TimePoint::max();
  const bool Wanted = isStarting() || (Behind && Now - BehindSince_ >= MinBehindTime);
  if (!Wanted || Now - AskedAt_ < QueryInterval)
    return;
  const HostId Peer = choosePeer(Now);
  if (Peer.empty())
    return;
  AskedAt_ = Now;
  ++Queries_;
  FleetStateQuery Query{Fleet_.received()};
  if (Fleet_.readers().isShared())
    Query.Known_.Position_ = Fleet_.completeUntil();
  Links_.send(Peer, MessageKind::ConfigSpread, encodeFleetState(Query));
}

HostId StateExchange::choosePeer(TimePoint Now) {
  if (HostId Reader = std::exchange(Ahead_, {}); Fleet_.readers().isServing(Now, Reader))
    return Reader;
  std::set<HostId> Hosts = Fleet_.servers().hosts();
  Hosts.erase(Self_);
  if (Hosts.empty())
    return {};
  std::uniform_int_distribution<std::size_t> Position(0, Hosts.size() - 1);
  return *std::next(Hosts.begin(), static_cast<std::ptrdiff_t>(Position(Random_)));
}

void StateExchange::onMessage(const HostId &From, const nlohmann::json &Body) {
  FleetStateBody Message = decodeFleetState(Body);
  if (auto *Query = std::get_if<FleetStateQuery>(&Message))
    onQuery(From, *Query);
  else if (auto *Reply = std::get_if<FleetStateReply>(&Message))
    onReply(From, std::move(*Reply));
  else if (auto *Follow = std::get_if<FleetFollow>(&Message))
    onFollow(From, *Follow);
  else if (auto *Notice = std::get_if<ReaderNotice>(&Message))
    onNotice(From, *Notice);
  else
    onChange(From, std::get<FleetChange>(Message));
}

void StateExchange::onFollow(const HostId &From, const FleetFollow &Message) {
  const TimePoint Now = now();
  Fleet_.noteKnowledge(Message.Known_);
  Fleet_.readers().handle(Now, From, Message.Follow_);
  sendDue(Now);
}

void StateExchange::onNotice(const HostId &From, const ReaderNotice &Message) {
  const StorePosition Own = Fleet_.completeUntil();
  const auto RespondedAt = Fleet_.readers().handle(now(), From, Message, Own);
  if (!RespondedAt)
    return;
  ReaderTold_ = std::max(ReaderTold_, Message.Known_);
  if (Own >= Message.Known_) {
    Fleet_.noteFollowed(*RespondedAt, {Message.Known_.Era_, Message.Checked_}, Message.Trusted_);
    return;
  }
  Ahead_ = From;
  Fleet_.noteKnowledge({Message.Known_, 0});
}

void StateExchange::onChange(const HostId &From, const FleetChange &Message) {
  if (Fleet_.readers().isServing(now(), From))
    Fleet_.applyChange(Message);
}

void StateExchange::onQuery(const HostId &From, const FleetStateQuery &Query) {
  if (!Fleet_.isReady())
    return;
  FleetStateReply Reply;
  Reply.Position_ = Fleet_.readers().isShared() ? Fleet_.toldPosition() : Fleet_.position();
  Reply.Confirmed_ = !Fleet_.needsPeers(now());
  if (Fleet_.version() > Query.Known_.Version_)
    Reply.Config_ = Fleet_.config();
  if (Reply.Position_ > Query.Known_.Position_) {
    Reply.Servers_.emplace();
    for (const auto &[Id, Server] : Fleet_.servers().all()) {
      Reply.Servers_->push_back(Server);
      if (Fleet_.servers().isMissing(Id))
        Reply.Missing_.push_back(Id);
    }
    Reply.Evacuated_ = Fleet_.evacuations();
  }
  Links_.send(From, MessageKind::ConfigSpread, encodeFleetState(std::move(Reply)));
}

void StateExchange::onReply(const HostId &From, FleetStateReply Reply) {
  const TimePoint Now = now();
  // A reply that comes late must not replace what the platform has said since.
  if (!Fleet_.needsPeers(Now) && !isStarting())
    return;
  Answered_ = true;
  const Knowledge Before = Fleet_.knowledge();
  if (Reply.Config_) {
    const std::uint64_t Version = Reply.Config_->Version_;
    if (const absl::Status Applied = Fleet_.apply(*std::move(Reply.Config_)); !Applied.ok())
      Events_.write(Now, EventClass::Belief, "state_exchange", "config_refused",
                    {{"peer", From.str()}, {"version", Version}, {"reason", Applied.message()}});
  }
  if (Reply.Servers_)
    Fleet_.adopt(*std::move(Reply.Servers_), Reply.Missing_, Reply.Position_, Reply.Evacuated_,
                 Fleet_.readers().isServing(Now, From));
  if (Reply.Confirmed_ && Reply.Position_ >= Fleet_.position())
    Fleet_.noteVouched(Now + VouchTime);
  if (Fleet_.position() == Before.Position_ && Fleet_.version() == Before.Version_)
    return;
  ++Adopted_;
  Events_.write(Now, EventClass::Belief, "state_exchange", "state_adopted",
                {{"peer", From.str()},
                 {"era", Fleet_.position().Era_},
                 {"revision", Fleet_.position().Revision_},
                 {"previous", Before.Position_.Revision_},
                 {"version", Fleet_.version()},
                 {"peer_confirmed", Reply.Confirmed_}});
}

} // namespace bronzestand::node
