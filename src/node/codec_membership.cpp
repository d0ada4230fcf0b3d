#include "node/codec_membership.h"

#include "node/codec_call.h"

namespace bronzestand {
namespace {

using nlohmann::json;

json toCount(TimePoint Time) { return Time.time_since_epoch().count(); }
TimePoint fromCount(const json &In) { return TimePoint(Duration(In.get<Duration::rep>())); }

} // namespace

void to_json(json &Out, const Heartbeat &In) {
  Out = json::array(
      {In.Incarnation_, In.Epoch_, In.Leaving_, toCount(In.Sent_), In.EchoRun_, toCount(In.Echo_)});
}

void from_json(const json &In, Heartbeat &Out) {
  In.at(0).get_to(Out.Incarnation_);
  In.at(1).get_to(Out.Epoch_);
  In.at(2).get_to(Out.Leaving_);
  Out.Sent_ = fromCount(In.at(3));
  In.at(4).get_to(Out.EchoRun_);
  Out.Echo_ = fromCount(In.at(5));
}

void to_json(json &Out, const LeavingNotice &In) { Out = json::array({In.Host_, In.Incarnation_}); }

void from_json(const json &In, LeavingNotice &Out) {
  In.at(0).get_to(Out.Host_);
  In.at(1).get_to(Out.Incarnation_);
}

} // namespace bronzestand
