#ifndef BRONZESTAND_NODE_PLATFORM_READER_H
#define BRONZESTAND_NODE_PLATFORM_READER_H

#include <functional>
#include <memory>
#include <vector>

#include "bronzestand/config_spread.h"
#include "node/http_client.h"
#include "node/log.h"
#include "node/part.h"

namespace bronzestand::node {

/// Reads the platform's configuration service when it is told to (design section 4). Goes on to
/// the next of the platform's addresses when one does not answer.
class PlatformReader final : public Part {
public:
  using ReplyCallback = std::function<void(const PlatformReply &Reply)>;
  using FailureCallback = std::function<void()>;

  PlatformReader(boost::asio::io_context &Io, const Settings &Config);
  ~PlatformReader() override;

  void setCallbacks(ReplyCallback OnReply, FailureCallback OnFailure);
  /// Starts a read and abandons a pending one. Calls one of the callbacks unless it is abandoned.
  /// \param Since the reply holds the changes after this revision.
  /// \param Wait time to wait for a change; zero for an immediate answer.
  void read(Revision Since, Duration Wait);
  /// Abandons the pending read.
  void cancel();

  std::string_view name() const override { return "platform_reader"; }
  absl::Status start() override { return absl::OkStatus(); }
  void stop() override { cancel(); }
  nlohmann::json dump() const override;

private:
  void onResponse(Revision Since, HttpResult Result, const HttpResponse &Response);

  boost::asio::io_context &Io_;
  const Settings &Config_;
  Logger Log_;
  ReplyCallback OnReply_;
  FailureCallback OnFailure_;
  std::vector<std::unique_ptr<HttpClient>> Clients_;
  std::size_t Current_ = 0;
  HttpClient::RequestNumber Request_ = 0;
  bool Pending_ = false;
  std::uint64_t Reads_ = 0;
  std::uint64_t Bytes_ = 0;
  unsigned Failures_ = 0; ///< in a row
};

} // namespace bronzestand::node

#endif
