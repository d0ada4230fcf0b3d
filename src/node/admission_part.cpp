#include "node/admission_part.h"

#include "node/clock.h"

namespace bronzestand::node {
namespace {

/// A longer gap between ticks means that the process was paused (design section 5).
constexpr Duration PauseGap = std::chrono::seconds(1);

} // namespace

std::string routeName(const RouteSpec &Route) {
  return Route.Method_ + " " + Route.Path_ + (Route.Prefix_ ? "*" : "");
}

AdmissionPart::AdmissionPart(const Settings &Config)
    : Config_(Config), Enabled_(Config.isEnabled(Mechanism::Admission)),
      FairnessEnabled_(Config.isEnabled(Mechanism::Fairness)) {}

std::optional<Standing> AdmissionPart::admit(const std::string &Route, const TeamId &Team,
                                             std::uint8_t ClassRank, std::uint64_t Spread) {
  // Without fairness all requests count towards a single team, which has no share to exceed.
  const Standing Value =
      Priorities_.standing(now(), FairnessEnabled_ ? Team : TeamId(), ClassRank, Spread);
  if (Enabled_ && Levels_.overloaded(now(), Route, Value)) {
    ++Refused_;
    return std::nullopt;
  }
  ++Admitted_;
  if (FairnessEnabled_)
    Priorities_.noteAdmitted(now(), Team);
  return Value;
}

void AdmissionPart::note(const HostId &From, const std::string &Route,
                         const std::vector<ServiceLevel> &Levels) {
  if (Enabled_)
    Levels_.note(now(), From, Route, Levels);
}

std::vector<ServiceLevel> AdmissionPart::levels(const std::string &Route, std::uint16_t Own) const {
  if (!Enabled_)
    return {};
  std::vector<ServiceLevel> Result = Levels_.levels(now(), Route);
  Result.push_back({Config_.Service_, Own});
  return Result;
}

void AdmissionPart::tick(TimePoint Now) {
  if (LastTick_ != TimePoint() && Now - LastTick_ > PauseGap)
    Levels_.clear();
  LastTick_ = Now;
  Priorities_.tick(Now);
}

nlohmann::json AdmissionPart::dump() const {
  return {{"admitted", Admitted_}, {"refused", Refused_}, {"teams", Priorities_.teams()}};
}

} // namespace bronzestand::node
