#include "node/crash_guard.h"

#include <algorithm>

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
/// One over the weight of a call in the mean time that calls run.
constexpr int MeanRunCalls = 10;

} // namespace

CrashGuard::CrashGuard(boost::asio::io_context &Io, const Settings &Config, PeerLinks &Links,
                       Restarts Speed)
    : Io_(Io), Config_(Config), Links_(Links), Restarts_(Speed), Log_(makeLogger("quarantine")),
      Quarantine_(Config.Host_), Timer_(Io), Probe_(Io) {}

absl::Status CrashGuard::start() {
  Links_.setHandler(MessageKind::Quarantine, [this](const Peer &From, const nlohmann::json &Body) {
    send(Quarantine_.handle(now(), From.Host_, decodeQuarantine(Body)));
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

void CrashGuard::setHosts(const std::set<HostId> &Hosts) {
  send(Quarantine_.setPeers(now(), Hosts));
}

void CrashGuard::send(const std::vector<QuarantineSend> &Messages) {
  for (const QuarantineSend &Item : Messages)
    Links_.send(Item.To_, MessageKind::Quarantine, encodeQuarantine(Item.Message_));
}

bool CrashGuard::mayWait(const Waiting &Item, Duration MaxWait) const {
  std::set<std::pair<TeamId, Fingerprint>> Ahead;
  for (const Waiting &Other : Waiting_) {
    // All copies of a request may run as soon as one of them has been served.
    if (Other.Team_ == Item.Team_ && Other.Fingerprint_ == Item.Fingerprint_)
      break;
    Ahead.insert({Other.Team_, Other.Fingerprint_});
  }
  const std::size_t PerStart = Quarantine::waitingPerStart(Ahead.size(), MeanRun_, MaxWait);
  return Waiting_.size() < MaxWaiting &&
         Quarantine::expectedWait(Ahead.size(), MeanRun_, PerStart) <= MaxWait;
}

void CrashGuard::enter(const CallKey &Key, const Call &Request, Duration MaxWait, Entered Done) {
  if (!Config_.isEnabled(Mechanism::Quarantine)) {
    Done(std::nullopt);
    return;
  }
  Quarantine_.learn(now(), Request.Fingerprint_, Request.Team_, Request.Crashes_);
  MaxWait = std::min(MaxWait, Request.TimeLeft_);
  Waiting Item{Key, Request.Team_, Request.Fingerprint_, now() + MaxWait, nullptr};
  bool MustWait = false;
  const std::size_t PerStart = Quarantine::waitingPerStart(Waiting_.size(), MeanRun_, MaxWait);
  std::optional<Refusal> Reason = tryEnter(Item, Waiting_.size(), PerStart, MustWait);
  if (MustWait && mayWait(Item, MaxWait)) {
    ++Waited_;
    Item.Done_ = std::move(Done);
    Waiting_.push_back(std::move(Item));
    return;
  }
  if (MustWait)
    Reason = Refusal::Overloaded;
  Done(Reason);
}

std::optional<Refusal> CrashGuard::tryEnter(const Waiting &Item, std::size_t Others,
                                            std::size_t PerStart, bool &MustWait) {
  const StartVerdict Verdict =
      Quarantine_.mayStart(now(), Item.Fingerprint_, Item.Team_, Others, PerStart);
  if (Verdict == StartVerdict::Quarantined) {
    ++Refused_;
    return Refusal::Quarantined;
  }
  MustWait = Verdict == StartVerdict::WaitAlone;
  if (!MustWait) {
    Running_[Item.Key_] = {++LastNumber_, Item.Team_, Item.Fingerprint_, now()};
    Quarantine_.started(LastNumber_, Item.Fingerprint_, Item.Team_);
  }
  return std::nullopt;
}

void CrashGuard::admitWaiting() {
  std::deque<Waiting> Items = std::exchange(Waiting_, {});
  std::vector<std::pair<Entered, std::optional<Refusal>>> Ready;
  std::size_t Left = Items.size();
  if (Left == 0)
    return;
  // The last one waits for all others.
  const std::size_t PerStart =
      Quarantine::waitingPerStart(Left, MeanRun_, Items.back().Deadline_ - now());
  for (Waiting &Item : Items) {
    --Left;
    bool MustWait = false;
    std::optional<Refusal> Reason;
    if (Item.Deadline_ <= now())
      Reason = Refusal::Overloaded;
    else
      Reason = tryEnter(Item, Waiting_.size() + Left, PerStart, MustWait);
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
  const RunningCall Ended = Found->second;
  Running_.erase(Found);
  if (Served) {
    const Duration Run = now() - Ended.StartedAt_;
    MeanRun_ += MeanRun_ == Duration::zero() ? Run : (Run - MeanRun_) / MeanRunCalls;
  }
  const bool Suspect = !Quarantine_.crashesOf(now(), Ended.Fingerprint_, Ended.Team_).empty();
  send(Quarantine_.finished(now(), Ended.Number_, Served));
  // Posted, because the caller of leave() is still in the middle of ending the call.
  if (Suspect && !Waiting_.empty())
    boost::asio::post(Io_, [this] { admitWaiting(); });
}

void CrashGuard::lost(const CallKey &Key, Decided Done) {
  if (Running_.count(Key) == 0) {
    Done({});
    return;
  }
  Lost_[Key] = std::move(Done);
  if (!Probing_)
    startProbe();
}

void CrashGuard::startProbe() {
  Probing_ = true;
  LastBeforeLoss_ = LastNumber_;
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
  const auto RanAtLoss = [this](const auto &Item) {
    return Item.second.Number_ <= LastBeforeLoss_;
  };
  const auto RanCalls =
      static_cast<std::size_t>(std::count_if(Running_.begin(), Running_.end(), RanAtLoss));
  const auto LostCalls = std::count_if(Lost_.begin(), Lost_.end(), [&](const auto &Item) {
    const auto Run = Running_.find(Item.first);
    return Run != Running_.end() && RanAtLoss(*Run);
  });
  const bool AllLost = Restarts_ == Restarts::Quick && RanCalls >= 2 &&
                       static_cast<std::size_t>(LostCalls) == RanCalls;
  const bool Crashed = Refused || AllLost;
  std::vector<std::pair<Decided, std::vector<CrashRecord>>> Ended;
  if (Crashed) {
    ++Crashes_;
    Log_->warn("backend server crashed, {} calls ran", RanCalls);
    send(Quarantine_.crashed(now(), LastBeforeLoss_));
  }
  for (auto &[Key, Done] : std::exchange(Lost_, {})) {
    const auto Run = Running_.find(Key);
    std::vector<CrashRecord> Crashes;
    if (Crashed && Run != Running_.end())
      Crashes = Quarantine_.crashesOf(now(), Run->second.Fingerprint_, Run->second.Team_);
    Ended.emplace_back(std::move(Done), std::move(Crashes));
  }
  if (Crashed)
    for (auto Item = Running_.begin(); Item != Running_.end();)
      Item = RanAtLoss(*Item) ? Running_.erase(Item) : std::next(Item);
  if (Crashed && OnCrash_)
    OnCrash_({RanCalls, Quarantine_.quarantinedCount()});
  for (auto &[Done, Crashes] : Ended)
    Done(std::move(Crashes));
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
