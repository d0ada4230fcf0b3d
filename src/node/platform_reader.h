#ifndef BRONZESTAND_NODE_PLATFORM_READER_H
#define BRONZESTAND_NODE_PLATFORM_READER_H

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "node/http_client.h"
#include "node/log.h"
#include "node/part.h"

namespace bronzestand::node {

/// One value as the platform holds it; no text means that it was removed.
struct PlatformValue {
  std::string Path_;
  Revision Revision_ = 0;
  std::optional<std::string> Text_;
};

/// One answer of the platform.
struct PlatformReply {
  Revision Revision_ = 0;
  std::vector<PlatformValue> Values_;
};

/// Reads and watches the platform's configuration service (design section 4).
/// Tries the platform's addresses in turn and backs off while none answers.
class PlatformReader final : public Part {
public:
  using ReplyCallback = std::function<void(const PlatformReply &Reply)>;

  PlatformReader(boost::asio::io_context &Io, const Settings &Config);
  ~PlatformReader() override;

  /// Called on each answer, also when nothing changed.
  void setReplyCallback(ReplyCallback Callback) { OnReply_ = std::move(Callback); }
  /// Starts or stops reading. A node reads only while it is one of the readers.
  void setReading(bool Reading);
  bool isReading() const { return Reading_; }

  std::string_view name() const override { return "platform_reader"; }
  absl::Status start() override;
  void stop() override;
  nlohmann::json dump() const override;

private:
  void readNext();
  void scheduleNext(Duration Delay);
  void onResponse(HttpResult Result, const HttpResponse &Response);

  boost::asio::io_context &Io_;
  const Settings &Config_;
  Logger Log_;
  ReplyCallback OnReply_;
  boost::asio::steady_timer Timer_;
  std::vector<std::unique_ptr<HttpClient>> Clients_;
  std::size_t Current_ = 0;
  HttpClient::RequestNumber Request_ = 0;
  Revision Seen_ = 0;
  bool Reading_ = false;
  bool Waiting_ = false;
  unsigned Failures_ = 0;
  std::uint64_t Reads_ = 0;
  std::uint64_t Bytes_ = 0;
};

} // namespace bronzestand::node

#endif
