#include "node/settings.h"

#include <algorithm>
#include <array>
#include <fstream>
#include <sstream>

#include <boost/asio/ip/address.hpp>

#include "engine/yaml_reader.h"
#include "node/memory_limits.h"

namespace bronzestand::node {
namespace {

using detail::YamlReader;

constexpr std::size_t MinSecretLength = 16;

struct EndpointField {
  const char *Name_;
  Endpoint Settings::*Member_;
};

constexpr std::array<EndpointField, 5> EndpointFields{{
    {"caller_listen", &Settings::CallerListen_},
    {"egress_listen", &Settings::EgressListen_},
    {"peer_listen", &Settings::PeerListen_},
    {"operator_listen", &Settings::OperatorListen_},
    {"backend_server", &Settings::BackendServer_},
}};

Endpoint readEndpoint(YamlReader &Reader, const char *Field, const std::string &Text) {
  auto Result = parseEndpoint(Text);
  if (Result.ok())
    return *std::move(Result);
  Reader.fail(ErrorCode::InvalidValue, Field,
              "must be an IP address and a port, for example 10.0.0.1:7000");
  return {};
}

std::vector<Endpoint> readEndpoints(YamlReader &Reader, const char *Field, bool Required) {
  std::vector<Endpoint> Result;
  for (const std::string &Text : Reader.texts(Field, Required))
    Result.push_back(readEndpoint(Reader, Field, Text));
  return Result;
}

constexpr std::array<std::string_view, 9> MechanismNames{
    "team_limits", "claims",   "dispatcher", "fairness",   "admission",
    "attempts",    "balancer", "quarantine", "link_budget"};

std::set<Mechanism> readDisabled(YamlReader &Reader) {
  std::set<Mechanism> Result;
  for (const std::string &Text : Reader.texts("disable")) {
    const auto *Found = std::find(MechanismNames.begin(), MechanismNames.end(), Text);
    if (Found == MechanismNames.end())
      Reader.fail(ErrorCode::InvalidValue, "disable", Text + " is not a mechanism");
    else
      Result.insert(static_cast<Mechanism>(Found - MechanismNames.begin()));
  }
  return Result;
}

ClaimSettings readClaims(YamlReader Reader) {
  ClaimSettings Claims;
  const auto ReadMs = [&](const char *Field, Duration &Value) {
    const auto Default = std::chrono::duration_cast<std::chrono::milliseconds>(Value).count();
    Value = std::chrono::milliseconds(Reader.integer(Field, 0, 3'600'000, false, Default));
  };
  ReadMs("lifetime_ms", Claims.Lifetime_);
  ReadMs("grace_ms", Claims.Grace_);
  ReadMs("skew_ms", Claims.Skew_);
  ReadMs("dispatch_window_ms", Claims.DispatchWindow_);
  ReadMs("probe_every_ms", Claims.ProbeEvery_);
  Reader.finish();
  return Claims;
}

LogSettings readLog(YamlReader Reader) {
  LogSettings Log;
  const std::string Format = Reader.text("format", false, "text");
  if (Format != "text" && Format != "json")
    Reader.fail(ErrorCode::InvalidValue, "format", "must be text or json");
  Log.Json_ = Format == "json";
  Log.Level_ = Reader.text("level", false, "info");
  YamlReader Parts = Reader.map("parts", false);
  for (const std::string &Name : Parts.fieldNames())
    Log.PartLevels_[Name] = Parts.text(Name.c_str());
  Reader.finish();
  return Log;
}

/// Fraction of the fleet's retry budget that nodes use for their own retries; the rest covers the
/// calls that a retried request makes in turn.
constexpr double OwnRetryShare = 0.5;

MeshSettings readMesh(YamlReader Reader) {
  MeshSettings Mesh;
  Mesh.Store_ = readEndpoint(Reader, "store", Reader.text("store"));
  YamlReader Regions = Reader.map("regions");
  for (const std::string &Name : Regions.fieldNames())
    Mesh.Regions_[Name] = Regions.text(Name.c_str());
  Mesh.RetryRatio_ = Reader.number("retry_ratio", 0.0, 10.0, false, 0.2);
  Mesh.RetryAllowance_ = Reader.number("retry_allowance", 0.0, 1e6, false, 20.0);
  Mesh.GracePeriod_ = std::chrono::milliseconds(
      static_cast<std::int64_t>(1000.0 * Reader.number("grace_seconds", 1.0, 3600.0, false, 6.0)));
  Mesh.ApplyTime_ =
      std::chrono::milliseconds(Reader.integer("apply_ms", 100, 3'600'000, false, 2000));
  if (Reader.has("cold_over"))
    Mesh.ColdOver_ =
        Reader.number("cold_over", MeshSettings::MinColdOver, MeshSettings::MaxColdOver);
  Mesh.ColdSlack_ = Reader.number("cold_slack", 0.0, MeshSettings::MaxColdSlack, false, 0.0);
  Mesh.EvacuateTime_ = std::chrono::milliseconds(Reader.integer(
      "evacuate_ms", MeshSettings::MinEvacuateMs, MeshSettings::MaxEvacuateMs, false, 5000));
  if (Reader.has("metrics_listen"))
    Mesh.MetricsListen_ = readEndpoint(Reader, "metrics_listen", Reader.text("metrics_listen"));
  Reader.finish();
  return Mesh;
}

} // namespace

std::string_view mechanismName(Mechanism Value) {
  return MechanismNames[static_cast<std::size_t>(Value)];
}

absl::StatusOr<Endpoint> parseEndpoint(const std::string &Text) {
  const std::size_t Colon = Text.rfind(':');
  boost::system::error_code Failure;
  Endpoint Result;
  if (Colon != std::string::npos) {
    Result.Address_ = Text.substr(0, Colon);
    boost::asio::ip::make_address(Result.Address_, Failure);
    const std::string Port = Text.substr(Colon + 1);
    if (Port.size() <= 5 && Port.find_first_not_of("0123456789") == std::string::npos &&
        !Port.empty()) {
      const int Value = std::stoi(Port);
      if (!Failure && Value >= 1 && Value <= 65'535) {
        Result.Port_ = static_cast<std::uint16_t>(Value);
        return Result;
      }
    }
  }
  return makeError({ErrorCode::InvalidValue, Text, "", "is not an IP address and a port"});
}

ParsedSettings parseSettings(const std::string &Source, const std::string &Text) {
  ParsedSettings Result;
  Settings &Out = Result.Settings_;
  YamlReader Reader(YamlReader::parse(Text, Source, Result.Errors_), Source, "", Result.Errors_);
  Out.Host_ = HostId(Reader.text("host_id"));
  Out.DataCentre_ = DataCentreId(Reader.text("data_centre"));
  Out.Region_ = RegionId(Reader.text("region"));
  Out.Service_ = ServiceId(Reader.text("service"));
  for (const EndpointField &Field : EndpointFields)
    Out.*Field.Member_ = readEndpoint(Reader, Field.Name_, Reader.text(Field.Name_));
  if (Reader.has("mesh"))
    Out.Mesh_ = readMesh(Reader.map("mesh"));
  Out.Platform_ = readEndpoints(Reader, "platform", !Out.Mesh_);
  Out.Peers_ = readEndpoints(Reader, "peers", false);
  Out.PeerSecret_ = Reader.text("peer_secret", !Out.Mesh_);
  if (!Out.Mesh_ && Out.PeerSecret_.size() < MinSecretLength)
    Reader.fail(ErrorCode::OutOfRange, "peer_secret", "must have at least 16 characters");
  Out.DrainLimit_ =
      std::chrono::milliseconds(Reader.integer("drain_limit_ms", 0, 3'600'000, false, 30'000));
  Out.MemoryBytes_ =
      BytesPerMb * static_cast<std::size_t>(Reader.integer("memory_mb", MinMemoryMb, MaxMemoryMb,
                                                           false, DefaultMemoryMb));
  Out.Log_ = readLog(Reader.map("log", false));
  Out.Claims_ = readClaims(Reader.map("claims", false));
  Out.Disabled_ = readDisabled(Reader);
  Reader.finish();
  return Result;
}

ParsedSettings loadSettings(const std::string &File) {
  std::ifstream In(File);
  if (!In) {
    ParsedSettings Result;
    Result.Errors_.push_back({ErrorCode::Unreadable, File, "", "can't be read"});
    return Result;
  }
  std::ostringstream Text;
  Text << In.rdbuf();
  return parseSettings(File, Text.str());
}

} // namespace bronzestand::node
