#include "node/platform_reader.h"

#include <optional>

#include <fmt/format.h>

namespace bronzestand::node {
namespace {

using nlohmann::json;

/// Time for the answer itself, after the wait for a change.
constexpr Duration AnswerTime = std::chrono::seconds(1);
constexpr std::size_t MaxConnections = 4;

std::optional<PlatformReply> parseReply(Revision Since, const std::string &Text) {
  try {
    const json In = json::parse(Text);
    PlatformReply Reply;
    Reply.Since_ = Since;
    In.at("revision").get_to(Reply.Revision_);
    for (const json &Item : In.at("values")) {
      Document Value;
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
    : Io_(Io), Config_(Config), Log_(makeLogger("platform_reader")) {
  for (const Endpoint &Address : Config_.Platform_)
    Clients_.push_back(std::make_unique<HttpClient>(Io_, Address, MaxConnections));
}

PlatformReader::~PlatformReader() = default;

void PlatformReader::setCallbacks(ReplyCallback OnReply, FailureCallback OnFailure) {
  OnReply_ = std::move(OnReply);
  OnFailure_ = std::move(OnFailure);
}

void PlatformReader::read(Revision Since, Duration Wait) {
  cancel();
  const auto WaitMs = std::chrono::duration_cast<std::chrono::milliseconds>(Wait).count();
  HttpRequest Request;
  Request.Method_ = "GET";
  Request.Target_ = Wait == Duration::zero()
                        ? fmt::format("/v1/values?since={}", Since)
                        : fmt::format("/v1/watch?since={}&wait_ms={}", Since, WaitMs);
  Pending_ = true;
  const std::uint64_t Read = ++Reads_;
  Request_ = Clients_[Current_]->send(
      std::move(Request), Wait + AnswerTime,
      [this, Read, Since](HttpResult Result, const HttpResponse &Response) {
        if (Pending_ && Read == Reads_)
          onResponse(Since, Result, Response);
      });
}

void PlatformReader::cancel() {
  if (std::exchange(Pending_, false))
    Clients_[Current_]->cancel(Request_);
}

void PlatformReader::onResponse(Revision Since, HttpResult Result, const HttpResponse &Response) {
  Pending_ = false;
  std::optional<PlatformReply> Reply;
  if (Result == HttpResult::Answered && Response.Status_ == 200)
    Reply = parseReply(Since, Response.Body_);
  if (!Reply) {
    if (Failures_++ == 0)
      Log_->warn("platform {} does not answer", Config_.Platform_[Current_].str());
    Current_ = (Current_ + 1) % Clients_.size();
    OnFailure_();
    return;
  }
  if (std::exchange(Failures_, 0) != 0)
    Log_->info("platform {} answers", Config_.Platform_[Current_].str());
  Bytes_ += Response.Body_.size();
  OnReply_(*Reply);
}

json PlatformReader::dump() const {
  return {{"pending", Pending_},
          {"reads", Reads_},
          {"failures", Failures_},
          {"bytes", Bytes_},
          {"platform", Config_.Platform_[Current_].str()}};
}

} // namespace bronzestand::node
