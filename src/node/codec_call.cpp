#include "node/codec_call.h"

#include <algorithm>
#include <cmath>

#include "bronzestand/quarantine.h"
#include "bronzestand/route_health.h"
#include "bronzestand/server_failures.h"
#include "node/answer_head.h"

namespace bronzestand {
namespace {

using nlohmann::json;

/// Levels and shares travel as whole hundredths.
constexpr double ShedUnits = 100.0;
constexpr double ShareUnits = 100.0;
/// A pace beyond this says no more than that the server should not be used.
constexpr double MaxPace = 100.0;

unsigned encodeShare(double Share) { return static_cast<unsigned>(Share * ShareUnits); }

double decodeShare(const json &In) {
  const auto Value = In.get<unsigned>();
  if (Value > ShareUnits)
    throw json::out_of_range::create(401, "share out of range", &In);
  return Value / ShareUnits;
}

// Bodies are bytes, not text, so they travel as CBOR byte strings.
json toBinary(const std::string &Text) {
  return json::binary(std::vector<std::uint8_t>(Text.begin(), Text.end()));
}

std::string fromBinary(const json &In) {
  const auto &Bytes = In.get_binary();
  return std::string(Bytes.begin(), Bytes.end());
}

template <typename Enum> Enum checkedEnum(const json &In, Enum Last) {
  const auto Value = In.get<unsigned>();
  if (Value > static_cast<unsigned>(Last))
    throw json::out_of_range::create(401, "enumerator out of range", &In);
  return static_cast<Enum>(Value);
}

/// A node of an earlier build passes on answers of its server that this one would not.
void refuseBrokenHead(Answer &Out) {
  if (Out.Outcome_ != Outcome::Served ||
      (node::isFinalStatus(Out.HttpStatus_) &&
       std::all_of(Out.Headers_.begin(), Out.Headers_.end(), node::isSound)))
    return;
  Out.Outcome_ = Outcome::Unknown;
  Out.Refusal_ = Refusal::ConnectionLost;
  Out.Headers_.clear();
  Out.Body_.clear();
}

/// Nodes of earlier builds send the revision alone.
void decodeKnowledge(const json &In, std::size_t First, Knowledge &Out) {
  In.at(First).get_to(Out.Position_.Revision_);
  if (In.size() <= First + 1)
    return;
  In.at(First + 1).get_to(Out.Position_.Era_);
  In.at(First + 2).get_to(Out.Version_);
}

} // namespace

void to_json(json &Out, const Header &In) { Out = json::array({In.Name_, In.Value_}); }

void from_json(const json &In, Header &Out) {
  In.at(0).get_to(Out.Name_);
  In.at(1).get_to(Out.Value_);
}

void to_json(json &Out, const ServiceLevel &In) { Out = json::array({In.Service_, In.Threshold_}); }

void from_json(const json &In, ServiceLevel &Out) {
  In.at(0).get_to(Out.Service_);
  In.at(1).get_to(Out.Threshold_);
}

void to_json(json &Out, const CrashRecord &In) {
  Out = json::array({In.Host_, In.Number_, In.OnlySuspect_});
}

void from_json(const json &In, CrashRecord &Out) {
  In.at(0).get_to(Out.Host_);
  In.at(1).get_to(Out.Number_);
  In.at(2).get_to(Out.OnlySuspect_);
}

void decodeCrashes(const json &In, std::vector<CrashRecord> &Out) {
  In.get_to(Out);
  if (Out.size() > Quarantine::CrashLimit)
    throw json::out_of_range::create(401, "too many crashes", &In);
}

void to_json(json &Out, const BackendLoad &In) {
  Out = json::array({In.Running_, In.Waiting_, In.Limit_, In.ServiceTime_.count(), In.MakesCalls_,
                     static_cast<unsigned>(In.Shed_ * ShedUnits)});
  const unsigned Failing = encodeShare(In.Failing_);
  const auto Pace =
      static_cast<unsigned>(std::lround(std::clamp(In.Pace_, 0.0, MaxPace) * ShareUnits));
  const auto CalleeShed = static_cast<unsigned>(In.CalleeShed_ * ShedUnits);
  const bool HasPace = Pace != ShareUnits || CalleeShed != 0;
  if (In.Rate_ > 0.0 || Failing != 0 || HasPace) {
    Out.push_back(In.Rate_);
    Out.push_back(In.RateWait_.count());
  }
  if (Failing != 0 || HasPace)
    Out.push_back(Failing);
  if (HasPace)
    Out.push_back(Pace);
  if (CalleeShed != 0)
    Out.push_back(CalleeShed);
}

void from_json(const json &In, BackendLoad &Out) {
  In.at(0).get_to(Out.Running_);
  In.at(1).get_to(Out.Waiting_);
  In.at(2).get_to(Out.Limit_);
  Out.ServiceTime_ = Duration(In.at(3).get<Duration::rep>());
  In.at(4).get_to(Out.MakesCalls_);
  Out.Shed_ = In.at(5).get<unsigned>() / ShedUnits;
  if (In.size() > 6) {
    In.at(6).get_to(Out.Rate_);
    Out.RateWait_ = Duration(In.at(7).get<Duration::rep>());
  }
  if (In.size() > 8)
    Out.Failing_ = decodeShare(In.at(8));
  if (In.size() > 9)
    Out.Pace_ = std::min(In.at(9).get<unsigned>() / ShareUnits, MaxPace);
  if (In.size() > 10)
    Out.CalleeShed_ = In.at(10).get<unsigned>() / ShedUnits;
}

void to_json(json &Out, const ServerFailure &In) {
  Out = json::array({In.Server_, encodeShare(In.Share_), In.Age_.count()});
}

void from_json(const json &In, ServerFailure &Out) {
  In.at(0).get_to(Out.Server_);
  Out.Share_ = decodeShare(In.at(1));
  Out.Age_ = Duration(In.at(2).get<Duration::rep>());
}

void to_json(json &Out, const RouteState &In) {
  Out = json::array(
      {In.Class_, encodeShare(In.Success_), encodeShare(In.Accepted_), In.Age_.count()});
  if (In.Room_ < 1.0 || !In.Limit_.empty()) {
    Out.push_back(encodeShare(In.Room_));
    Out.push_back(In.Limit_);
    Out.push_back(encodeShare(In.Open_));
    Out.push_back(In.Answers_);
    Out.push_back(In.RoomAge_.count());
    if (In.Full_)
      Out.push_back(In.Full_);
  }
}

void from_json(const json &In, RouteState &Out) {
  In.at(0).get_to(Out.Class_);
  Out.Success_ = decodeShare(In.at(1));
  Out.Accepted_ = decodeShare(In.at(2));
  Out.Age_ = Duration(In.at(3).get<Duration::rep>());
  if (In.size() > 4)
    Out.Room_ = decodeShare(In.at(4));
  if (In.size() > 5) {
    In.at(5).get_to(Out.Limit_);
    Out.Open_ = decodeShare(In.at(6));
    Out.Answers_ = std::max(0.0, In.at(7).get<double>());
    Out.RoomAge_ = Duration(In.at(8).get<Duration::rep>());
    Out.Full_ = In.size() > 9 && In.at(9).get<bool>();
  }
}

void to_json(json &Out, const RootStanding &In) {
  Out = json::array({In.ClassRank_, In.Place_, In.Team_, In.Repeated_});
}

void from_json(const json &In, RootStanding &Out) {
  In.at(0).get_to(Out.ClassRank_);
  In.at(1).get_to(Out.Place_);
  In.at(2).get_to(Out.Team_);
  In.at(3).get_to(Out.Repeated_);
}

std::vector<RouteState> decodeRouteStates(const json &In) {
  auto Result = In.get<std::vector<RouteState>>();
  if (Result.size() > RouteHealth::MaxStates)
    throw json::out_of_range::create(401, "too many classes", &In);
  return Result;
}

void decodeFailures(const json &In, std::vector<ServerFailure> &Out) {
  In.get_to(Out);
  if (Out.size() > ServerFailures::MaxEntries)
    throw json::out_of_range::create(401, "too many failing servers", &In);
}

void to_json(json &Out, const Call &In) {
  Out = json::array({In.Id_,
                     In.Request_,
                     In.Team_,
                     In.Class_,
                     In.Service_,
                     In.Method_,
                     In.Target_,
                     In.Headers_,
                     toBinary(In.Body_.str()),
                     In.TimeLeft_.count(),
                     In.Attempts_,
                     In.Standing_.value(),
                     In.IdempotencyKey_,
                     In.KeyId_,
                     In.Fingerprint_,
                     In.AtMostOnce_,
                     In.Idempotent_,
                     In.Objective_.count(),
                     In.Known_.Position_.Revision_,
                     In.Known_.Position_.Era_,
                     In.Known_.Version_,
                     In.Crashes_});
  if (In.ServerRate_ > 0.0 || !In.Failing_.empty() || In.Root_)
    Out.push_back(In.ServerRate_);
  if (!In.Failing_.empty() || In.Root_)
    Out.push_back(In.Failing_);
  if (In.Root_)
    Out.push_back(*In.Root_);
}

void from_json(const json &In, Call &Out) {
  In.at(0).get_to(Out.Id_);
  In.at(1).get_to(Out.Request_);
  In.at(2).get_to(Out.Team_);
  In.at(3).get_to(Out.Class_);
  In.at(4).get_to(Out.Service_);
  In.at(5).get_to(Out.Method_);
  In.at(6).get_to(Out.Target_);
  In.at(7).get_to(Out.Headers_);
  Out.Body_ = fromBinary(In.at(8));
  Out.TimeLeft_ = Duration(In.at(9).get<Duration::rep>());
  In.at(10).get_to(Out.Attempts_);
  const auto Value = In.at(11).get<std::uint16_t>();
  Out.Standing_ = {static_cast<std::uint8_t>(Value >> 8U), static_cast<std::uint8_t>(Value)};
  In.at(12).get_to(Out.IdempotencyKey_);
  In.at(13).get_to(Out.KeyId_);
  In.at(14).get_to(Out.Fingerprint_);
  In.at(15).get_to(Out.AtMostOnce_);
  In.at(16).get_to(Out.Idempotent_);
  Out.Objective_ = Duration(In.at(17).get<Duration::rep>());
  decodeKnowledge(In, 18, Out.Known_);
  if (In.size() > 21)
    decodeCrashes(In.at(21), Out.Crashes_);
  if (In.size() > 22)
    In.at(22).get_to(Out.ServerRate_);
  if (In.size() > 23)
    decodeFailures(In.at(23), Out.Failing_);
  if (In.size() > 24)
    Out.Root_ = In.at(24).get<RootStanding>();
}

void to_json(json &Out, const Answer &In) {
  Out = json::array({In.Id_, static_cast<unsigned>(In.Outcome_), static_cast<unsigned>(In.Refusal_),
                     In.HttpStatus_, In.Headers_, toBinary(In.Body_), In.UnusedAttempts_,
                     In.Levels_, In.Leaving_, In.Load_, In.Known_.Position_.Revision_,
                     In.Known_.Position_.Era_, In.Known_.Version_, In.Crashes_});
  const bool HasRoutes = !In.Routes_.empty();
  if (In.ServerLeaving_ || !In.Failing_.empty() || HasRoutes)
    Out.push_back(In.ServerLeaving_);
  if (!In.Failing_.empty() || HasRoutes)
    Out.push_back(In.Failing_);
  if (HasRoutes)
    Out.push_back(In.Routes_);
}

void from_json(const json &In, Answer &Out) {
  In.at(0).get_to(Out.Id_);
  Out.Outcome_ = checkedEnum(In.at(1), Outcome::Unknown);
  Out.Refusal_ = checkedEnum(In.at(2), Refusal::Evacuated);
  In.at(3).get_to(Out.HttpStatus_);
  In.at(4).get_to(Out.Headers_);
  Out.Body_ = fromBinary(In.at(5));
  In.at(6).get_to(Out.UnusedAttempts_);
  In.at(7).get_to(Out.Levels_);
  In.at(8).get_to(Out.Leaving_);
  In.at(9).get_to(Out.Load_);
  decodeKnowledge(In, 10, Out.Known_);
  if (In.size() > 13)
    decodeCrashes(In.at(13), Out.Crashes_);
  Out.ServerLeaving_ = In.size() > 14 && In.at(14).get<bool>();
  if (In.size() > 15)
    decodeFailures(In.at(15), Out.Failing_);
  if (In.size() > 16)
    Out.Routes_ = decodeRouteStates(In.at(16));
  refuseBrokenHead(Out);
}

} // namespace bronzestand
