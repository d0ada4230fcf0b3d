#include "node/config_part.h"

#include <algorithm>
#include <random>

#include <boost/algorithm/string/predicate.hpp>

#include "node/clock.h"
#include "node/codec_config.h"

namespace bronzestand::node {
namespace {

using nlohmann::json;

/// Peers of the settings that are connected in one round; bounds the links of a start-up.
constexpr std::size_t PeersPerRound = 6;
constexpr Duration ConnectInterval = std::chrono::milliseconds(300);

std::function<std::uint64_t()> makeRandom() {
  return [Engine = std::mt19937_64(std::random_device()())]() mutable { return Engine(); };
}

/// The data centre in the path of a host list; empty for another path.
DataCentreId dataCentreOf(const std::string &Path) {
  constexpr std::string_view Prefix = "hosts/";
  if (!boost::starts_with(Path, Prefix))
    return DataCentreId();
  return DataCentreId(Path.substr(Prefix.size(), Path.find('/', Prefix.size()) - Prefix.size()));
}

} // namespace

ConfigPart::ConfigPart(PlatformReader &Reader, PeerLinks &Links, const Settings &Config,
                       Incarnation Run)
    : Reader_(Reader), Links_(Links), Config_(Config), Log_(makeLogger("config")), Started_(now()),
      Spread_(Started_, {Config.Host_, Config.DataCentre_, Config.Region_, Run, makeRandom()}),
      StartPeers_(Config.Peers_) {
  std::shuffle(StartPeers_.begin(), StartPeers_.end(), std::mt19937_64(std::random_device()()));
  Reader_.setCallbacks(
      [this](const PlatformReply &Reply) { apply(Spread_.handlePlatformReply(now(), Reply)); },
      [this] { Spread_.handlePlatformFailure(now()); });
  Links_.setHandler(MessageKind::ConfigSpread, [this](const Peer &From, const json &Body) {
    apply(Spread_.handle(now(), From.Host_, Body.get<ConfigMessage>()));
  });
  Links_.addLinkUp([this](const Peer &Other) {
    if (!Spread_.ready())
      Spread_.addStartPeer(Other.Host_);
  });
}

absl::Status ConfigPart::start() { return absl::OkStatus(); }

void ConfigPart::tick(TimePoint Now) {
  connectPeers(Now);
  for (const DataCentreId &DataCentre : std::exchange(ChangedDataCentres_, {}))
    updateHosts(DataCentre);
  apply(Spread_.tick(Now));
}

void ConfigPart::connectPeers(TimePoint Now) {
  if (Spread_.ready() || StartPeers_.empty() || Now < NextConnect_)
    return;
  NextConnect_ = Now + ConnectInterval;
  for (std::size_t Count = std::min(PeersPerRound, StartPeers_.size()); Count != 0; --Count)
    Links_.connect(StartPeers_[NextStartPeer_++ % StartPeers_.size()]);
}

void ConfigPart::updateHosts(const DataCentreId &DataCentre) {
  std::vector<HostId> Live;
  if (LiveHosts_) {
    Live = LiveHosts_(DataCentre);
  } else {
    for (const auto &[Name, List] : Catalogue_.hostLists())
      if (Name.first == DataCentre)
        for (const HostSpec &Host : List.Hosts_)
          Live.push_back(Host.Id_);
  }
  const bool Own = DataCentre == Config_.DataCentre_;
  if (Own && std::find(Live.begin(), Live.end(), Config_.Host_) == Live.end())
    Live.push_back(Config_.Host_);
  Spread_.setHosts(DataCentre, Own ? Config_.Region_ : Catalogue_.regionOf(DataCentre),
                   std::move(Live));
}

void ConfigPart::apply(ConfigEffects Effects) {
  for (ConfigEffect &Effect : Effects)
    std::visit([this](auto &Value) { on(Value); }, Effect);
}

void ConfigPart::on(const SendConfig &Effect) {
  Links_.send(Effect.To_, MessageKind::ConfigSpread, Effect.Message_);
}

void ConfigPart::on(const ReadPlatform &Effect) { Reader_.read(Effect.Since_, Effect.Wait_); }

void ConfigPart::on(const CancelRead & /*Effect*/) { Reader_.cancel(); }

void ConfigPart::on(DocumentAccepted &Effect) {
  const std::string &Path = Effect.Path_;
  if (Effect.Body_)
    Catalogue_.put(*std::move(Effect.Body_));
  else
    Catalogue_.erase(Path);
  updateKeys(Path);
  if (const DataCentreId DataCentre = dataCentreOf(Path); !DataCentre.empty()) {
    hostsChanged(DataCentre);
  }
  // The regions of the data centres decide which readers are linked.
  if (Path == "fleet")
    for (const auto &[Name, List] : Catalogue_.hostLists())
      hostsChanged(Name.first);
  Log_->info("document {} revision {} in force", Path, Effect.Revision_);
  for (const ChangeCallback &Callback : OnChange_)
    Callback(Path);
}

void ConfigPart::on(const DocumentRefused &Effect) {
  Log_->warn("document {} revision {} refused: {}", Effect.Path_, Effect.Revision_,
             describe(Effect.Errors_.front()));
}

void ConfigPart::on(const ConfigReady & /*Effect*/) {
  constexpr Duration StartLimit = std::chrono::seconds(2);
  ReadyByTime_ = now() - Started_ >= StartLimit;
  Log_->info("ready, {}", ReadyByTime_ ? "no peer answered in time" : "peers have answered");
}

void ConfigPart::updateKeys(const std::string &Path) {
  constexpr std::string_view Prefix = "teams/";
  if (Path == "fleet")
    Keys_.setSalt(Catalogue_.fleet().KeySalt_);
  if (!boost::starts_with(Path, Prefix))
    return;
  const TeamId Name(Path.substr(Prefix.size()));
  if (const TeamSpec *Team = Catalogue_.findTeam(Name))
    Keys_.setTeam(*Team);
  else
    Keys_.eraseTeam(Name);
}

std::map<std::string, Revision> ConfigPart::inForce() const {
  std::map<std::string, Revision> Result;
  for (const auto &Item : Spread_.dump().Documents_)
    Result[Item.Path_] = Item.Accepted_;
  return Result;
}

json ConfigPart::dump() const {
  const ConfigSpreadDump Spread = Spread_.dump();
  json InForce = json::object();
  json Removed = json::object();
  json Refused = json::object();
  for (const DocumentState &Item : Spread.Documents_) {
    if (Item.Accepted_ != 0)
      (Item.Removed_ ? Removed : InForce)[Item.Path_] = Item.Accepted_;
    if (Item.Refused_ == 0)
      continue;
    json Errors = json::array();
    for (const ErrorDetail &Error : Item.Errors_)
      Errors.push_back(describe(Error));
    Refused[Item.Path_] = {{"revision", Item.Refused_}, {"errors", std::move(Errors)}};
  }
  const char *Reason = !Spread_.ready()                        ? "waits for peers"
                       : Spread_.store().newestAccepted() == 0 ? "no documents"
                       : ReadyByTime_                          ? "start-up time passed"
                                                               : "peers have answered";
  return {{"revision", revision()},
          {"newest_in_force", Spread_.store().newestAccepted()},
          {"ready", isReady()},
          {"ready_reason", Reason},
          {"reader", Spread.Reader_},
          {"reader_rank", Spread.ReaderRank_},
          {"neighbours", Spread.Neighbours_.size()},
          {"remote_readers", Spread.RemoteReaders_.size()},
          {"key_conflicts", Keys_.conflicts()},
          {"in_force", std::move(InForce)},
          {"removed", std::move(Removed)},
          {"refused", std::move(Refused)}};
}

} // namespace bronzestand::node
