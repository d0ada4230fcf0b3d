#include "node/codec_claims.h"

#include "node/codec_call.h"

namespace bronzestand {

using nlohmann::json;

// Found by argument-dependent lookup from within nlohmann::json.
static void to_json(json &Out, const ClaimDigest &In) {
  Out = json::array({In.High_, In.Low_, In.KeyUnixMs_});
}
static void from_json(const json &In, ClaimDigest &Out) {
  In.at(0).get_to(Out.High_);
  In.at(1).get_to(Out.Low_);
  In.at(2).get_to(Out.KeyUnixMs_);
}

static void to_json(json &Out, const ClaimOwner &In) {
  Out = json::array({In.Host_, In.Incarnation_, In.Attempt_});
}
static void from_json(const json &In, ClaimOwner &Out) {
  In.at(0).get_to(Out.Host_);
  In.at(1).get_to(Out.Incarnation_);
  In.at(2).get_to(Out.Attempt_);
}

static void to_json(json &Out, const HandoverEntry &In) {
  Out = json::array({In.Key_, In.BodyHash_, In.Owner_, In.Age_.count(), In.Contested_});
}
static void from_json(const json &In, HandoverEntry &Out) {
  In.at(0).get_to(Out.Key_);
  In.at(1).get_to(Out.BodyHash_);
  In.at(2).get_to(Out.Owner_);
  Out.Age_ = Duration(In.at(3).get<Duration::rep>());
  In.at(4).get_to(Out.Contested_);
}

namespace {

json fieldsOf(const ClaimRequest &In) {
  return json::array({In.Key_, In.BodyHash_, In.Owner_, In.Members_});
}
void read(const json &In, ClaimRequest &Out) {
  In.at(0).get_to(Out.Key_);
  In.at(1).get_to(Out.BodyHash_);
  In.at(2).get_to(Out.Owner_);
  In.at(3).get_to(Out.Members_);
}

json fieldsOf(const ClaimVote &In) {
  return json::array({In.Key_, In.Attempt_, static_cast<unsigned>(In.Verdict_), In.Witness_,
                      In.Owner_, In.BodyHash_, In.Known_});
}
void read(const json &In, ClaimVote &Out) {
  In.at(0).get_to(Out.Key_);
  In.at(1).get_to(Out.Attempt_);
  const auto Verdict = In.at(2).get<unsigned>();
  if (Verdict > static_cast<unsigned>(ClaimVerdict::Abstained))
    throw json::out_of_range::create(401, "enumerator out of range", &In);
  Out.Verdict_ = static_cast<ClaimVerdict>(Verdict);
  In.at(3).get_to(Out.Witness_);
  In.at(4).get_to(Out.Owner_);
  In.at(5).get_to(Out.BodyHash_);
  In.at(6).get_to(Out.Known_);
}

json fieldsOf(const ClaimRelease &In) { return json::array({In.Key_, In.Owner_}); }
void read(const json &In, ClaimRelease &Out) {
  In.at(0).get_to(Out.Key_);
  In.at(1).get_to(Out.Owner_);
}

json fieldsOf(const HandoverRequest &In) {
  return json::array({In.Slot_, In.Revision_, In.Incarnation_, In.Before_, In.Fence_, In.Members_});
}
void read(const json &In, HandoverRequest &Out) {
  In.at(0).get_to(Out.Slot_);
  In.at(1).get_to(Out.Revision_);
  In.at(2).get_to(Out.Incarnation_);
  In.at(3).get_to(Out.Before_);
  In.at(4).get_to(Out.Fence_);
  In.at(5).get_to(Out.Members_);
}

json fieldsOf(const HandoverReply &In) {
  return json::array({In.Slot_, In.Revision_, In.Incarnation_, In.Witness_, In.Fence_,
                      In.KnownFor_.count(), In.Entries_, In.LaterSets_});
}
void read(const json &In, HandoverReply &Out) {
  In.at(0).get_to(Out.Slot_);
  In.at(1).get_to(Out.Revision_);
  In.at(2).get_to(Out.Incarnation_);
  In.at(3).get_to(Out.Witness_);
  In.at(4).get_to(Out.Fence_);
  Out.KnownFor_ = Duration(In.at(5).get<Duration::rep>());
  In.at(6).get_to(Out.Entries_);
  In.at(7).get_to(Out.LaterSets_);
}

json fieldsOf(const ClaimProbe &In) { return json::array({In.Number_, In.Incarnation_}); }
void read(const json &In, ClaimProbe &Out) {
  In.at(0).get_to(Out.Number_);
  In.at(1).get_to(Out.Incarnation_);
}

json fieldsOf(const ClaimProbeReply &In) {
  return json::array({In.Number_, In.Incarnation_, In.Revision_});
}
void read(const json &In, ClaimProbeReply &Out) {
  In.at(0).get_to(Out.Number_);
  In.at(1).get_to(Out.Incarnation_);
  In.at(2).get_to(Out.Revision_);
}

template <std::size_t Index = 0> ClaimMessage decodeAt(std::size_t Wanted, const json &Fields) {
  if constexpr (Index < std::variant_size_v<ClaimMessage>) {
    if (Wanted != Index)
      return decodeAt<Index + 1>(Wanted, Fields);
    std::variant_alternative_t<Index, ClaimMessage> Result;
    read(Fields, Result);
    return Result;
  } else {
    throw json::out_of_range::create(401, "unknown claim message", &Fields);
  }
}

} // namespace

json encodeClaim(const ClaimMessage &Message) {
  return json::array(
      {Message.index(), std::visit([](const auto &Body) { return fieldsOf(Body); }, Message)});
}

ClaimMessage decodeClaim(const json &In) { return decodeAt(In.at(0).get<std::size_t>(), In.at(1)); }

} // namespace bronzestand
