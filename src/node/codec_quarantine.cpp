#include "node/codec_quarantine.h"

#include "node/codec_call.h"

namespace bronzestand {
namespace {

using nlohmann::json;

enum class Form : std::uint8_t { Suspect, Cleared, Quarantine, Query };

} // namespace

void to_json(json &Out, const QuarantineItem &In) {
  Out = json::array({In.Team_, In.Fingerprint_, In.Crashes_, In.TimeLeft_.count()});
}

void from_json(const json &In, QuarantineItem &Out) {
  In.at(0).get_to(Out.Team_);
  In.at(1).get_to(Out.Fingerprint_);
  decodeCrashes(In.at(2), Out.Crashes_);
  Out.TimeLeft_ = Duration(In.at(3).get<Duration::rep>());
}

json encodeQuarantine(const QuarantineBody &In) {
  if (std::holds_alternative<QuarantineQuery>(In))
    return json::array({static_cast<unsigned>(Form::Query), json::array()});
  if (const auto *News = std::get_if<SuspectMessage>(&In))
    return json::array(
        {static_cast<unsigned>(News->Cleared_ ? Form::Cleared : Form::Suspect), News->Items_});
  return json::array(
      {static_cast<unsigned>(Form::Quarantine), std::get<QuarantineMessage>(In).Items_});
}

QuarantineBody decodeQuarantine(const json &In) {
  const auto Kind = In.at(0).get<unsigned>();
  auto Items = In.at(1).get<std::vector<QuarantineItem>>();
  if (Items.size() > Quarantine::TableLimit || Kind > static_cast<unsigned>(Form::Query))
    throw json::out_of_range::create(401, "malformed quarantine message", &In);
  if (Kind == static_cast<unsigned>(Form::Query))
    return QuarantineQuery{};
  if (Kind == static_cast<unsigned>(Form::Quarantine))
    return QuarantineMessage{std::move(Items)};
  return SuspectMessage{std::move(Items), Kind == static_cast<unsigned>(Form::Cleared)};
}

} // namespace bronzestand
