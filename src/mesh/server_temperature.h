#ifndef BRONZESTAND_MESH_SERVER_TEMPERATURE_H
#define BRONZESTAND_MESH_SERVER_TEMPERATURE_H

#include <array>
#include <functional>
#include <optional>
#include <string>

#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include "bronzestand/cold_limit.h"
#include "bronzestand/server_limit.h"
#include "mesh/event_log.h"
#include "mesh/fleet_state.h"
#include "mesh/header_names.h"
#include "node/http_client.h"

namespace bronzestand::node {

/// Observes whether the backend server beside this node is cold: feeds ColdLimit from the
/// configuration, the platform's list and what happens on connections, and sends the health
/// requests that are due. Does nothing without MeshSettings::ColdOver_.
/// docs/design/cold-servers.md.
class ServerTemperature {
public:
  /// \param OnWarm called when calls that wait may be sent earlier than timeUntil() said.
  ServerTemperature(boost::asio::io_context &Io, const Settings &Config, const HeaderNames &Names,
                    FleetState &Fleet, EventLog &Events, std::function<void()> OnWarm);
  ServerTemperature(const ServerTemperature &) = delete;
  ServerTemperature &operator=(const ServerTemperature &) = delete;
  ~ServerTemperature() = default;

  ColdLimit &limit() { return Limit_; }
  const ColdLimit &limit() const { return Limit_; }
  /// Returns whether the bound is not known yet, so that no request may be sent.
  bool isUnconfigured() const { return On_ && Fleet_.version() == 0; }
  /// Returns whether the limit refuses a request that would be sent now.
  bool mustWait(TimePoint Now) const { return Limit_.timeUntil(Now, 1) > Duration::zero(); }
  /// Returns whether calls have to expect the limit.
  bool isLimiting(TimePoint Now) const { return Limit_.rate(Now).has_value(); }
  /// Records that the server may have become cold without a restart.
  void mayBeCold();
  /// Records how a request ended that was sent to the server.
  void requestEnded(TimePoint SentAt, HttpResult Result, const HttpResponse &Response);
  /// Records a call that is sent to the server, and its end, as in ColdSigns.
  void callStarted(CallId Call, const ClassId &Class, std::uint32_t Running);
  void callEnded(CallId Call, bool Served, std::optional<double> Pace);
  /// Records that a call was refused or withheld for lack of room at a server that may be cold.
  void noteRefused() { ++Refused_; }
  /// Returns a check that ends a request unsent if the server may have become cold while its
  /// connection was being opened, or if this took so long that the bound has no room for it any
  /// more. To be called when the request takes its place in the limit.
  /// \param OnWithheld called when the check ends the request.
  HttpClient::MayWrite writeCheck(std::function<void()> OnWithheld);

  void tick(TimePoint Now);
  /// Appends metrics as Prometheus text.
  void print(TimePoint Now, std::string &Out) const;
  nlohmann::json dump(TimePoint Now) const;

private:
  void configure();
  void readList();
  /// Sends the health request that is due, if any.
  void check();
  void onHealth(HttpResult Result, const HttpResponse &Response);
  /// Returns the time that a health answer names; std::nullopt if it proves nothing.
  std::optional<Duration> coldForOf(HttpResult Result, const HttpResponse &Response) const;
  void logChange(TimePoint Now);

  const Settings &Config_;
  const HeaderNames &Names_;
  FleetState &Fleet_;
  EventLog &Events_;
  std::function<void()> OnWarm_;
  const bool On_;
  HttpClient Client_;
  ColdLimit Limit_;
  bool LoggedCold_ = false;
  Duration LastColdFor_{}; ///< named by the last health answer that proved something
  std::uint64_t Refused_ = 0;
  std::uint64_t HealthWarm_ = 0;
  std::uint64_t HealthCold_ = 0;
  std::uint64_t HealthUnproved_ = 0;
};

/// The limits on the requests to the backend server, in the order in which they are asked; the
/// strictest one applies.
class GateLimits {
public:
  GateLimits(ServerLimit &Named, ColdLimit &Cold) : All_{&Named, &Cold} {}

  /// Returns the smallest rate; std::nullopt without a limit.
  std::optional<double> rate(TimePoint Now) const;
  /// Returns the longest time until a number of further requests may have been sent.
  Duration timeUntil(TimePoint Now, std::size_t Requests) const;
  void sent(TimePoint Now);

private:
  std::array<RateLimit *, 2> All_;
};

} // namespace bronzestand::node

#endif
