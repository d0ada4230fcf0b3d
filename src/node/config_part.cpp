#include "node/config_part.h"

#include <algorithm>

namespace bronzestand::node {

ConfigPart::ConfigPart(PlatformReader &Reader) : Reader_(Reader), Log_(makeLogger("config")) {}

absl::Status ConfigPart::start() {
  Reader_.setReplyCallback([this](const PlatformReply &Reply) { onReply(Reply); });
  Reader_.setReading(true);
  return absl::OkStatus();
}

void ConfigPart::onReply(const PlatformReply &Reply) {
  for (const PlatformValue &Value : Reply.Values_)
    apply(Value);
  Revision_ = std::max(Revision_, Reply.Revision_);
}

void ConfigPart::apply(const PlatformValue &Value) {
  Revision &InForce = InForce_[Value.Path_];
  if (Value.Revision_ <= InForce)
    return;
  if (!Value.Text_) {
    Catalogue_.erase(Value.Path_);
  } else {
    ParsedDocument Parsed = parseDocument(Value.Path_, *Value.Text_);
    if (!Parsed.Body_) {
      Refused_[Value.Path_] = describe(Parsed.Errors_.front());
      Log_->warn("document {} revision {} refused: {}", Value.Path_, Value.Revision_,
                 Refused_[Value.Path_]);
      return;
    }
    Catalogue_.put(*std::move(Parsed.Body_));
  }
  Refused_.erase(Value.Path_);
  InForce = Value.Revision_;
  Keys_.rebuild(Catalogue_);
  Log_->info("document {} revision {} in force", Value.Path_, Value.Revision_);
  for (const ChangeCallback &Callback : OnChange_)
    Callback(Value.Path_);
}

nlohmann::json ConfigPart::dump() const {
  return {{"revision", Revision_}, {"in_force", InForce_}, {"refused", Refused_}};
}

} // namespace bronzestand::node
