#include "node/platform_reader.h"

#include <algorithm>

namespace bronzestand::node {
namespace {

using nlohmann::json;

constexpr Duration WatchTime = std::chrono::seconds(10);
constexpr Duration AnswerMargin = std::chrono::seconds(2);
constexpr Duration FirstBackOff = std::chrono::milliseconds(200);
constexpr unsigned MaxBackOffDoublings = 4;

std::optional<PlatformReply> parseReply(const std::string &Text) {
  try {
    const json In = json::parse(Text);
    PlatformReply Reply;
    In.at("revision").get_to(Reply.Revision_);
    for (const json &Item : In.at("values")) {
      PlatformValue Value;
      Item.at("path").get_to(Value.Path_);
      Item.at("revision").get_to(Value.Revision_);
      if (!Item.at("text").is_null())
        Value.Text_ = Item.at("text").get<std::string>();
      Reply.Values_.push_back(std::move(Value));
    }
    return Reply;
  } catch (const json::exception &) {
    return std::nullopt;
  }
}

} // namespace

PlatformReader::PlatformReader(boost::asio::io_context &Io, const Settings &Config)
    : Io_(Io), Config_(Config), Log_(makeLogger("platform_reader")), Timer_(Io) {
  for (const Endpoint &Address : Config_.Platform_)
    Clients_.push_back(std::make_unique<HttpClient>(Io_, Address, 4));
}

PlatformReader::~PlatformReader() = default;

absl::Status PlatformReader::start() { return absl::OkStatus(); }

void PlatformReader::stop() { setReading(false); }

void PlatformReader::setReading(bool Reading) {
  if (Reading == Reading_)
    return;
  Reading_ = Reading;
  if (Reading) {
    Log_->info("start reading");
    Failures_ = 0;
    readNext();
    return;
  }
  Log_->info("stop reading");
  Timer_.cancel();
  if (Waiting_)
    Clients_[Current_]->cancel(Request_);
}

void PlatformReader::readNext() {
  if (!Reading_ || Waiting_)
    return;
  const std::string Since = std::to_string(Seen_);
  const auto WatchMs = std::chrono::duration_cast<std::chrono::milliseconds>(WatchTime).count();
  HttpRequest Request;
  Request.Method_ = "GET";
  // After a failure a plain read shows at once whether the service is back.
  Request.Target_ = Seen_ == 0 || Failures_ != 0
                        ? "/v1/values?since=" + Since
                        : "/v1/watch?since=" + Since + "&wait_ms=" + std::to_string(WatchMs);
  Waiting_ = true;
  ++Reads_;
  Request_ = Clients_[Current_]->send(
      std::move(Request), WatchTime + AnswerMargin,
      [this](HttpResult Result, const HttpResponse &Response) { onResponse(Result, Response); });
}

void PlatformReader::onResponse(HttpResult Result, const HttpResponse &Response) {
  Waiting_ = false;
  if (!Reading_)
    return;
  std::optional<PlatformReply> Reply;
  if (Result == HttpResult::Answered && Response.Status_ == 200)
    Reply = parseReply(Response.Body_);
  if (!Reply) {
    if (Failures_++ == 0)
      Log_->warn("platform {} does not answer", Config_.Platform_[Current_].str());
    Current_ = (Current_ + 1) % Clients_.size();
    scheduleNext(FirstBackOff * (1U << std::min(Failures_, MaxBackOffDoublings)));
    return;
  }
  if (Failures_ != 0)
    Log_->info("platform {} answers", Config_.Platform_[Current_].str());
  Failures_ = 0;
  Bytes_ += Response.Body_.size();
  // A stale replica may answer with an older revision; what was seen stays seen.
  Seen_ = std::max(Seen_, Reply->Revision_);
  if (OnReply_)
    OnReply_(*Reply);
  scheduleNext(Duration::zero());
}

void PlatformReader::scheduleNext(Duration Delay) {
  Timer_.expires_after(Delay);
  Timer_.async_wait([this](const boost::system::error_code &Failure) {
    if (!Failure)
      readNext();
  });
}

json PlatformReader::dump() const {
  return {{"reading", Reading_}, {"revision", Seen_},
          {"reads", Reads_},     {"failures", Failures_},
          {"bytes", Bytes_},     {"platform", Config_.Platform_[Current_].str()}};
}

} // namespace bronzestand::node
