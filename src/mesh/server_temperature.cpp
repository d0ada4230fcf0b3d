#include "mesh/server_temperature.h"

#include <algorithm>
#include <charconv>

#include <fmt/format.h>

#include "node/clock.h"

namespace bronzestand::node {
namespace {

/// A health request waits for a slot of the server like any other request.
constexpr Duration HealthTimeout = std::chrono::seconds(2);
/// One that runs and one that is being closed.
constexpr std::size_t HealthConnections = 2;
/// A health answer names the state only with one of these statuses.
constexpr std::array<unsigned, 2> HealthStatuses{200, 503};
/// A server that names a longer time is asked again after this one.
constexpr std::int64_t MaxColdMs = 3'600'000;

} // namespace

ServerTemperature::ServerTemperature(boost::asio::io_context &Io, const Settings &Config,
                                     const HeaderNames &Names, FleetState &Fleet, EventLog &Events,
                                     std::function<void()> OnWarm)
    : Config_(Config), Names_(Names), Fleet_(Fleet), Events_(Events), OnWarm_(std::move(OnWarm)),
      On_(Config.Mesh_ && Config.Mesh_->ColdOver_),
      Client_(Io, Config.BackendServer_, HealthConnections), Limit_(now()) {
  if (!On_)
    return;
  Fleet_.onConfig([this] { configure(); });
  Fleet_.onServers([this] { readList(); });
}

void ServerTemperature::configure() {
  const auto &Services = Fleet_.config().Services_;
  const auto Found = Services.find(Config_.Service_);
  const double Rate = Found == Services.end() ? 0.0 : Found->second.ColdRate_;
  Limit_.configured(now(), Rate, *Config_.Mesh_->ColdOver_, Config_.Mesh_->ColdSlack_);
  check();
}

void ServerTemperature::readList() {
  const BackendServer *Own = Fleet_.ownServer();
  if (Own == nullptr)
    return;
  Limit_.listed(now(), Own->Id_, Own->StartedMs_, Own->ColdFor_);
  check();
}

void ServerTemperature::mayBeCold() {
  if (!On_)
    return;
  Limit_.unknown(now());
  check();
}

void ServerTemperature::requestEnded(TimePoint SentAt, HttpResult Result,
                                     const HttpResponse &Response) {
  if (!On_)
    return;
  if (Result == HttpResult::Answered)
    Limit_.answered(now(), SentAt, Response.ConnectionOpenedAt_);
  else if (Result == HttpResult::Lost || Result == HttpResult::NotSent)
    Limit_.connectionLost(now());
  check();
}

void ServerTemperature::callStarted(CallId Call, const ClassId &Class, std::uint32_t Running) {
  if (!On_)
    return;
  Limit_.callStarted(now(), Call, Class, Running);
  check();
}

void ServerTemperature::callEnded(CallId Call, bool Served, std::optional<double> Pace) {
  if (!On_)
    return;
  Limit_.callEnded(now(), Call, Served, Pace);
  check();
}

HttpClient::MayWrite ServerTemperature::writeCheck(std::function<void()> OnWithheld) {
  const TimePoint SentAt = now();
  if (Limit_.state(SentAt) == Temperature::Off)
    return {};
  return [this, SentAt, Doubts = Limit_.doubts(), OnWithheld = std::move(OnWithheld)] {
    if (Limit_.mayWrite(now(), SentAt, Doubts))
      return true;
    OnWithheld();
    return false;
  };
}

void ServerTemperature::check() {
  const TimePoint Now = now();
  const auto Found = Fleet_.config().Services_.find(Config_.Service_);
  // Without an entry of the server no answer proves anything.
  // An evacuated server gets nothing.
  if (Fleet_.isClosed(Now) || !Limit_.healthDue(Now) || Found == Fleet_.config().Services_.end() ||
      Found->second.HealthPath_.empty() || Fleet_.ownServer() == nullptr)
    return;
  Limit_.healthSent(Now);
  HttpRequest Request;
  Request.Method_ = "GET";
  Request.Target_ = Found->second.HealthPath_;
  SendOptions Options;
  // A new connection reaches the server that listens now.
  Options.MaxIdle_ = Duration::zero();
  Client_.send(
      std::move(Request), HealthTimeout,
      [this](HttpResult Result, const HttpResponse &Response) { onHealth(Result, Response); }, {},
      std::move(Options));
}

std::optional<Duration> ServerTemperature::coldForOf(HttpResult Result,
                                                     const HttpResponse &Response) const {
  const BackendServer *Own = Fleet_.ownServer();
  const bool HasStatus = std::find(HealthStatuses.begin(), HealthStatuses.end(),
                                   Response.Status_) != HealthStatuses.end();
  if (Result != HttpResult::Answered || Own == nullptr || !HasStatus ||
      findHeader(Response.Headers_, Names_.Instance_) != Own->Id_)
    return std::nullopt;
  const auto Text = findHeader(Response.Headers_, Names_.ColdFor_);
  if (!Text)
    return Duration::zero();
  std::int64_t Count = 0;
  const char *End = Text->data() + Text->size();
  const auto Parsed = std::from_chars(Text->data(), End, Count);
  if (Parsed.ec != std::errc() || Parsed.ptr != End || Count < 0)
    return std::nullopt;
  return std::chrono::milliseconds(std::min(Count, MaxColdMs));
}

void ServerTemperature::onHealth(HttpResult Result, const HttpResponse &Response) {
  const std::optional<Duration> ColdFor = coldForOf(Result, Response);
  const TimePoint Now = now();
  Limit_.healthEnded(Now, ColdFor);
  LastColdFor_ = ColdFor.value_or(LastColdFor_);
  ++(!ColdFor ? HealthUnproved_ : *ColdFor > Duration::zero() ? HealthCold_ : HealthWarm_);
  logChange(Now);
  OnWarm_();
}

void ServerTemperature::logChange(TimePoint Now) {
  const bool Cold = isLimiting(Now);
  if (Cold == LoggedCold_)
    return;
  LoggedCold_ = Cold;
  const BackendServer *Own = Fleet_.ownServer();
  Events_.write(Now, EventClass::Belief, "backend_gate", Cold ? "server_cold" : "server_warm",
                {{"server", Own == nullptr ? "" : Own->Id_},
                 {"temperature", temperatureName(Limit_.state(Now))},
                 {"rate", Limit_.rate(Now).value_or(0.0)},
                 {"named_us", LastColdFor_.count()},
                 {"listed_us", Own == nullptr ? 0 : Own->ColdFor_.count()},
                 {"doubts", Limit_.doubts()},
                 {"signs", Limit_.signs()},
                 {"health_unproved", HealthUnproved_},
                 {"config_version", Fleet_.version()}});
}

void ServerTemperature::tick(TimePoint Now) {
  if (!On_)
    return;
  check();
  logChange(Now);
}

void ServerTemperature::print(TimePoint Now, std::string &Out) const {
  if (!On_)
    return;
  Out += fmt::format(
      "# HELP bronzestand_server_cold Whether requests to the server are bounded because it is or "
      "may be cold\n# TYPE bronzestand_server_cold gauge\nbronzestand_server_cold {}\n"
      "# HELP bronzestand_cold_refusals_total Calls refused for lack of room at a cold server\n"
      "# TYPE bronzestand_cold_refusals_total counter\nbronzestand_cold_refusals_total {}\n"
      "# HELP bronzestand_health_requests_total Health requests to the server by result\n"
      "# TYPE bronzestand_health_requests_total counter\n"
      "bronzestand_health_requests_total{{result=\"warm\"}} {}\n"
      "bronzestand_health_requests_total{{result=\"cold\"}} {}\n"
      "bronzestand_health_requests_total{{result=\"unproved\"}} {}\n"
      "# HELP bronzestand_cold_signs_total Times that slow answers made the server one that may be "
      "cold\n# TYPE bronzestand_cold_signs_total counter\nbronzestand_cold_signs_total {}\n",
      isLimiting(Now) ? 1 : 0, Refused_, HealthWarm_, HealthCold_, HealthUnproved_, Limit_.signs());
}

nlohmann::json ServerTemperature::dump(TimePoint Now) const {
  return {{"temperature", temperatureName(Limit_.state(Now))},
          {"rate", Limit_.rate(Now).value_or(0.0)},
          {"wait_us", Limit_.timeUntil(Now, 1).count()},
          {"doubts", Limit_.doubts()},
          {"signs", Limit_.signs()},
          {"refused", Refused_},
          {"health_warm", HealthWarm_},
          {"health_cold", HealthCold_},
          {"health_unproved", HealthUnproved_}};
}

std::optional<double> GateLimits::rate(TimePoint Now) const {
  std::optional<double> Smallest;
  for (const RateLimit *Limit : All_)
    if (const auto Rate = Limit->rate(Now))
      Smallest = std::min(Smallest.value_or(*Rate), *Rate);
  return Smallest;
}

Duration GateLimits::timeUntil(TimePoint Now, std::size_t Requests) const {
  Duration Longest{};
  for (const RateLimit *Limit : All_)
    Longest = std::max(Longest, Limit->timeUntil(Now, Requests));
  return Longest;
}

void GateLimits::sent(TimePoint Now) {
  for (RateLimit *Limit : All_)
    Limit->sent(Now);
}

} // namespace bronzestand::node
