#include "node/limits_part.h"

#include <boost/algorithm/string/predicate.hpp>

#include "node/clock.h"
#include "node/codec_team_limits.h"

namespace bronzestand::node {
namespace {

constexpr Duration MaxHoldTime = std::chrono::milliseconds(50);
constexpr Duration FastTickInterval = std::chrono::milliseconds(10);
constexpr Duration PauseGap = std::chrono::seconds(1);
/// Leases and bulk loans last up to 1 s. After twice that time without a message or a request, the
/// supervisor's tick every 100 ms is enough.
constexpr Duration FastTickDuration = std::chrono::seconds(2);

} // namespace

LimitsPart::LimitsPart(boost::asio::io_context &Io, const Settings &Config,
                       const ConfigPart &Documents, PeerLinks &Links, Incarnation Run)
    : Config_(Config), Documents_(Documents), Links_(Links), Log_(makeLogger("limits")),
      Enabled_(Config.isEnabled(Mechanism::TeamLimits)), Timer_(Io),
      Limits_(Config.Host_, Config.DataCentre_, Run, now()), LastTick_(now()) {}

absl::Status LimitsPart::start() {
  if (!Enabled_) {
    Log_->warn("team limits are disabled");
    return absl::OkStatus();
  }
  Running_ = true;
  LastTick_ = now();
  HostsChanged_ = TeamsChanged_ = true;
  Links_.setHandler(MessageKind::TeamLimits, [this](const Peer &From, const nlohmann::json &Body) {
    const auto Message = Body.get<LimitMessage>();
    const TimePoint Now = now();
    checkPause(Now);
    Limits_.handle(Now, From.Host_, Message);
    // Joins and loans of owners take seconds and need no fast ticks. A LeaveNotice does, because
    // another broker takes over.
    if (std::holds_alternative<LeaseRequest>(Message) ||
        std::holds_alternative<LeaseGrant>(Message) || std::holds_alternative<LeaveNotice>(Message))
      startFastTicks(Now);
    applyEffects(Now);
  });
  return absl::OkStatus();
}

void LimitsPart::stop() {
  Running_ = false;
  Timer_.cancel();
  Held_.clear();
  HeldCount_ = 0;
}

void LimitsPart::admit(const TeamId &Team, DecisionCallback Done) {
  if (!Enabled_) {
    Done(true);
    return;
  }
  const TimePoint Now = now();
  checkPause(Now);
  // The keys of a new team are valid at once, so its limit has to be in force as well.
  if (TeamsChanged_)
    applyTeams(Now);
  const LimitDecision Decision = Limits_.admit(Now, Team);
  startFastTicks(Now);
  if (Decision == LimitDecision::Hold) {
    ++Queued_;
    ++HeldCount_;
    Held_[Team].push_back({Now + MaxHoldTime, std::move(Done)});
    applyEffects(Now);
    return;
  }
  applyEffects(Now);
  ++(Decision == LimitDecision::Admitted ? Admitted_ : Refused_);
  Done(Decision == LimitDecision::Admitted);
}

void LimitsPart::wakeAfterPause(TimePoint Now) {
  ++Pauses_;
  LastTick_ = Now;
  Limits_.wakeAfterPause(Now);
  refuseExpired(Now);
  Log_->info("process was paused, dropped the leases that may have expired");
}

// Also called for messages and requests, which may be read before the first tick after a pause.
void LimitsPart::checkPause(TimePoint Now) {
  if (Now > LastTick_ + PauseGap)
    wakeAfterPause(Now);
}

void LimitsPart::leaving(TimePoint Now) {
  Leaving_ = true;
  if (Enabled_ && HeldCount_ == 0)
    releaseShare(Now);
}

void LimitsPart::releaseShare(TimePoint Now) {
  if (std::exchange(ShareReleased_, true))
    return;
  Limits_.leaving(Now);
  applyEffects(Now);
  Log_->info("returned the leases and released the share of this host");
}

void LimitsPart::tick(TimePoint Now) {
  if (!Enabled_)
    return;
  checkPause(Now);
  applyCatalogue(Now);
  if (!FastTicking_)
    runTick(Now);
}

void LimitsPart::runTick(TimePoint Now) {
  ++Ticks_;
  LastTick_ = Now;
  Limits_.tick(Now);
  applyEffects(Now);
  refuseExpired(Now);
  if (Leaving_ && HeldCount_ == 0)
    releaseShare(Now);
}

void LimitsPart::startFastTicks(TimePoint Now) {
  FastTicksEnd_ = Now + FastTickDuration;
  if (!FastTicking_ && Running_) {
    FastTicking_ = true;
    scheduleFastTick();
  }
}

void LimitsPart::scheduleFastTick() {
  Timer_.expires_after(FastTickInterval);
  Timer_.async_wait([this](const boost::system::error_code &Failure) {
    if (Failure || !Running_) {
      FastTicking_ = false;
      return;
    }
    const TimePoint Now = now();
    checkPause(Now);
    runTick(Now);
    if (Now < FastTicksEnd_ || HeldCount_ > 0)
      scheduleFastTick();
    else
      FastTicking_ = false;
  });
}

// Documents arrive one by one and are applied at the next tick, when all that arrived together are
// in force. Hosts that applied different parts of the list would each use too large a share.
void LimitsPart::onChange(const std::string &Path) {
  HostsChanged_ |= boost::algorithm::starts_with(Path, "hosts/") || Path == "fleet";
  TeamsChanged_ |= boost::algorithm::starts_with(Path, "teams/");
}

void LimitsPart::applyCatalogue(TimePoint Now) {
  if (!Documents_.isReady())
    return;
  if (TeamsChanged_)
    applyTeams(Now);
  if (!std::exchange(HostsChanged_, false))
    return;
  std::vector<LimitHost> Hosts;
  for (const auto &[Name, List] : Documents_.catalogue().hostLists())
    for (const HostSpec &Host : List.Hosts_)
      Hosts.push_back(
          {Host.Id_, Host.DataCentre_, Documents_.catalogue().regionOf(Host.DataCentre_)});
  Limits_.setHosts(Now, Hosts);
  applyEffects(Now);
}

void LimitsPart::applyTeams(TimePoint Now) {
  TeamsChanged_ = false;
  const std::map<TeamId, TeamSpec> &Present = Documents_.catalogue().teams();
  for (auto It = Teams_.begin(); It != Teams_.end();) {
    if (Present.count(It->first) != 0) {
      ++It;
      continue;
    }
    Limits_.removeTeam(Now, It->first);
    It = Teams_.erase(It);
  }
  for (const auto &[Name, Team] : Present) {
    const std::pair<double, double> Wanted(Team.Rate_, Team.Burst_);
    const auto [It, Added] = Teams_.try_emplace(Name, Wanted);
    if (!Added && It->second == Wanted)
      continue;
    It->second = Wanted;
    Limits_.setTeam(Now, Name, Team.Rate_, Team.Burst_);
  }
  applyEffects(Now);
}

void LimitsPart::applyEffects(TimePoint Now) {
  std::vector<TeamId> Ready;
  for (LimitEffect &Effect : Limits_.takeEffects()) {
    if (auto *Send = std::get_if<LimitSend>(&Effect))
      Links_.send(Send->To_, MessageKind::TeamLimits, Send->Message_);
    else
      Ready.push_back(std::get<LimitReady>(Effect).Team_);
  }
  for (const TeamId &Team : Ready)
    retryHeld(Now, Team);
}

void LimitsPart::retryHeld(TimePoint Now, const TeamId &Team) {
  const auto Found = Held_.find(Team);
  if (Found == Held_.end())
    return;
  std::deque<HeldRequest> Waiting = std::exchange(Found->second, {});
  std::vector<DecisionCallback> Admitted;
  for (HeldRequest &Entry : Waiting) {
    if (Limits_.admit(Now, Team, true) == LimitDecision::Admitted)
      Admitted.push_back(std::move(Entry.Done_));
    else
      Found->second.push_back(std::move(Entry));
  }
  HeldCount_ -= Admitted.size();
  Admitted_ += Admitted.size();
  applyEffects(Now);
  for (const DecisionCallback &Done : Admitted)
    Done(true);
}

void LimitsPart::refuseExpired(TimePoint Now) {
  std::vector<DecisionCallback> Expired;
  for (auto &[Team, Waiting] : Held_)
    while (!Waiting.empty() && Waiting.front().Deadline_ <= Now) {
      Expired.push_back(std::move(Waiting.front().Done_));
      Waiting.pop_front();
    }
  HeldCount_ -= Expired.size();
  Refused_ += Expired.size();
  for (const DecisionCallback &Done : Expired)
    Done(false);
}

nlohmann::json LimitsPart::dump() const {
  nlohmann::json Result{{"enabled", Enabled_}, {"admitted", Admitted_}, {"refused", Refused_},
                        {"queued", Queued_},   {"held", HeldCount_},    {"ticks", Ticks_},
                        {"pauses", Pauses_}};
  const TeamLimitsDump State = Limits_.dump(now());
  Result["hosts_counted"] = State.HostsCounted_;
  Result["joins_missing"] = State.JoinsMissing_;
  Result["own_right_usable"] = State.OwnShareUsable_;
  for (const TeamLimitsDump::Team &Team : State.Teams_)
    Result["teams"][Team.Team_.str()] = {{"leased", Team.LeasedFraction_},
                                         {"level", Team.Level_},
                                         {"pool", Team.PoolFraction_},
                                         {"lent", Team.PoolLent_},
                                         {"pool_level", Team.PoolLevel_}};
  return Result;
}

} // namespace bronzestand::node
