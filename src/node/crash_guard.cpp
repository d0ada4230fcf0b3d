#include "node/crash_guard.h"

#include <algorithm>

#include <boost/algorithm/string/predicate.hpp>

#include "node/clock.h"
#include "node/codec_quarantine.h"

namespace bronzestand::node {
namespace {

/// A dying process closes its connections and its listener one after another; the probe comes
/// after the last of them. The answer to a lost call waits for it.
constexpr std::chrono::milliseconds ProbeDelay{20};
/// A probe without any answer is not a refusal.
constexpr std::chrono::milliseconds ProbeLimit{200};
/// Suspects that wait to run alone; more are refused as overloaded.
constexpr std::size_t MaxWaiting = 1024;

} // namespace

CrashGuard::CrashGuard(boost::asio::io_context &Io, const Settings &Config, ConfigPart &Documents,
                       PeerLinks &Links)
    : Io_(Io), Config_(Config), Documents_(Documents), Links_(Links),
      Log_(makeLogger("quarantine")), Quarantine_(Config.Host_), Timer_(Io), Probe_(Io) {
  Documents_.addChangeCallback([this](const std::string &Path) {
    if (boost::starts_with(Path, "hosts/") && boost::ends_with(Path, "/" + Config_.Service_.str()))
      setPeers();
  });
}

absl::Status CrashGuard::start() {
  Links_.setHandler(MessageKind::Quarantine, [this](const Peer &From, const nlohmann::json &Body) {
    Quarantine_.handle(now(), From.Host_, decodeQuarantine(Body));
    admitWaiting();
  });
  return absl::OkStatus();
}

void CrashGuard::stop() {
  Timer_.cancel();
  boost::system::error_code Ignored;
  Probe_.close(Ignored);
  Waiting_.clear();
  Lost_.clear();
}

void CrashGuard::setPeers() {
  std::set<HostId> Peers;
  for (const auto &[Name, List] : Documents_.catalogue().hostLists())
    if (List.Service_ == Config_.Service_)
      for (const HostSpec &Host : List.Hosts_)
        Peers.insert(Host.Id_);
  send(Quarantine_.setPeers(now(), Peers));
}

void CrashGuard::send(const std::vector<QuarantineSend> &Messages) {
  for (const QuarantineSend &Item : Messages)
    Links_.send(Item.To_, MessageKind::Quarantine, encodeQuarantine(Item.Message_));
}

void CrashGuard::enter(const CallKey &Key, const Call &Request, Entered Done) {
  if (!Config_.isEnabled(Mechanism::Quarantine)) {
    Done(std::nullopt);
    return;
  }
  Waiting Item{Key, Request.Team_, Request.Fingerprint_, now() + Request.TimeLeft_, nullptr};
  bool MustWait = false;
  std::optional<Refusal> Reason = tryEnter(Item, MustWait);
  if (MustWait && Waiting_.size() < MaxWaiting) {
    ++Waited_;
    Item.Done_ = std::move(Done);
    Waiting_.push_back(std::move(Item));
    return;
  }
  if (MustWait)
    Reason = Refusal::Overloaded;
  Done(Reason);
}

std::optional<Refusal> CrashGuard::tryEnter(const Waiting &Item, bool &MustWait) {
  const TimePoint Now = now();
  const StartVerdict Verdict = Quarantine_.mayStart(Now, Item.Fingerprint_, Item.Team_);
  if (Verdict == StartVerdict::Quarantined) {
    ++Refused_;
    return Refusal::Quarantined;
  }
  // A call that starts while a crash is being decided would count as one that ran at it.
  MustWait = Verdict == StartVerdict::WaitAlone || Probing_;
  if (!MustWait) {
    Running_[Item.Key_] = ++LastNumber_;
    Quarantine_.started(Now, LastNumber_, Item.Fingerprint_, Item.Team_);
  }
  return std::nullopt;
}

void CrashGuard::admitWaiting() {
  std::deque<Waiting> Items = std::exchange(Waiting_, {});
  std::vector<std::pair<Entered, std::optional<Refusal>>> Ready;
  for (Waiting &Item : Items) {
    bool MustWait = false;
    std::optional<Refusal> Reason;
    if (Item.Deadline_ <= now())
      Reason = Refusal::DeadlineTooShort;
    else
      Reason = tryEnter(Item, MustWait);
    if (MustWait)
      Waiting_.push_back(std::move(Item));
    else
      Ready.emplace_back(std::move(Item.Done_), Reason);
  }
  // Last, because a callback may enter or leave other calls.
  for (const auto &[Done, Reason] : Ready)
    Done(Reason);
}

void CrashGuard::leave(const CallKey &Key, bool Served) {
  const auto Item = std::find_if(Waiting_.begin(), Waiting_.end(),
                                 [&Key](const Waiting &Other) { return Other.Key_ == Key; });
  if (Item != Waiting_.end()) {
    Waiting_.erase(Item);
    return;
  }
  const auto Found = Running_.find(Key);
  if (Found == Running_.end())
    return;
  const CallId Number = Found->second;
  Running_.erase(Found);
  send(Quarantine_.finished(now(), Number, Served));
  // Posted, because the caller of leave() is still in the middle of ending the call.
  if (!Waiting_.empty())
    boost::asio::post(Io_, [this] { admitWaiting(); });
}

void CrashGuard::lost(const CallKey &Key, std::function<void()> Done) {
  if (Running_.count(Key) == 0) {
    Done();
    return;
  }
  Lost_[Key] = std::move(Done);
  if (!Probing_)
    startProbe();
}

void CrashGuard::startProbe() {
  Probing_ = true;
  Timer_.expires_after(ProbeDelay);
  Timer_.async_wait([this](const boost::system::error_code &Failure) {
    if (!Failure)
      probe();
  });
}

void CrashGuard::probe() {
  boost::system::error_code Failure;
  const boost::asio::ip::tcp::endpoint Address(
      boost::asio::ip::make_address(Config_.BackendServer_.Address_, Failure),
      Config_.BackendServer_.Port_);
  Timer_.expires_after(ProbeLimit);
  Timer_.async_wait([this](const boost::system::error_code &Cancelled) {
    boost::system::error_code Ignored;
    if (!Cancelled)
      Probe_.close(Ignored);
  });
  Probe_.async_connect(Address, [this](const boost::system::error_code &Result) {
    Timer_.cancel();
    boost::system::error_code Ignored;
    Probe_.close(Ignored);
    decide(Result == boost::asio::error::connection_refused);
  });
}

void CrashGuard::decide(bool Refused) {
  Probing_ = false;
  const bool AllLost = Lost_.size() >= 2 && Lost_.size() == Running_.size();
  if (Refused || AllLost) {
    ++Crashes_;
    Log_->warn("backend server crashed, {} calls ran", Running_.size());
    Running_.clear();
    send(Quarantine_.crashed(now()));
  }
  const auto Ended = std::exchange(Lost_, {});
  for (const auto &[Key, Done] : Ended)
    Done();
  admitWaiting();
}

void CrashGuard::tick(TimePoint Now) {
  send(Quarantine_.tick(Now));
  admitWaiting();
}

nlohmann::json CrashGuard::dump() const {
  nlohmann::json Table = nlohmann::json::array();
  for (const Quarantine::Listed &Item : Quarantine_.list(now()))
    Table.push_back({{"team", Item.Team_.str()},
                     {"fingerprint", fingerprintText(Item.Fingerprint_)},
                     {"state", Item.Quarantined_ ? "quarantined" : "suspect"},
                     {"crashes", Item.Crashes_},
                     {"seconds_left", Item.TimeLeft_.count() / 1'000'000}});
  return {{"entries", Quarantine_.size()},
          {"table", std::move(Table)},
          {"quarantined", Quarantine_.quarantinedCount()},
          {"crashes", Crashes_},
          {"refused", Refused_},
          {"waited", Waited_},
          {"waiting", Waiting_.size()}};
}

} // namespace bronzestand::node
