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

} // namespace

StateExchange::StateExchange(const Settings &Config, FleetState &Fleet, PeerLinks &Links,
                             EventLog &Events, Incarnation Run)
    : Self_(Config.Host_), Fleet_(Fleet), Links_(Links), Events_(Events), Random_(Run) {}

// Fleets with a metadata store don't spread documents, so the message kind is free for this.
absl::Status StateExchange::start() {
  Links_.setHandler(
      MessageKind::ConfigSpread,
      [this](const Peer &From, const nlohmann::json &Body) { onMessage(From.Host_, Body); });
  return absl::OkStatus();
}

// A platform that was restored from a copy gives a node that starts older data than its peers have.
bool StateExchange::isStarting() const {
  return Fleet_.isReady() && !Answered_ && Queries_ < MaxStartQueries;
}

void StateExchange::tick(TimePoint Now) {
  const bool Behind = Fleet_.needsPeers(Now);
  BehindSince_ = Behind ? std::min(BehindSince_, Now) : TimePoint::max();
  const bool Wanted = isStarting() || (Behind && Now - BehindSince_ >= MinBehindTime);
  if (!Wanted || Now - AskedAt_ < QueryInterval)
    return;
  const HostId Peer = randomPeer();
  if (Peer.empty())
    return;
  AskedAt_ = Now;
  ++Queries_;
  Links_.send(Peer, MessageKind::ConfigSpread,
              encodeFleetState(FleetStateQuery{Fleet_.knowledge()}));
}

HostId StateExchange::randomPeer() {
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
  else
    onReply(From, std::move(std::get<FleetStateReply>(Message)));
}

void StateExchange::onQuery(const HostId &From, const FleetStateQuery &Query) {
  if (!Fleet_.isReady())
    return;
  FleetStateReply Reply;
  Reply.Position_ = Fleet_.position();
  Reply.Confirmed_ = !Fleet_.needsPeers(now());
  if (Fleet_.version() > Query.Known_.Version_)
    Reply.Config_ = Fleet_.config();
  if (Fleet_.position() > Query.Known_.Position_) {
    Reply.Servers_.emplace();
    for (const auto &[Id, Server] : Fleet_.servers().all()) {
      Reply.Servers_->push_back(Server);
      if (Fleet_.servers().isMissing(Id))
        Reply.Missing_.push_back(Id);
    }
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
  if (Reply.Config_)
    Fleet_.apply(*std::move(Reply.Config_));
  if (Reply.Servers_)
    Fleet_.adopt(*std::move(Reply.Servers_), Reply.Missing_, Reply.Position_);
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
