#include "ctl/node_page.h"

#include <fmt/format.h>

#include "node/http_client.h"

namespace bronzestand::ctl {
namespace {

constexpr std::chrono::seconds ReadLimit{5};

} // namespace

NodePage readPage(const std::string &Node, const std::string &Target) {
  NodePage Page;
  const auto Address = node::parseEndpoint(Node);
  if (!Address.ok()) {
    Page.Code_ = ExitCode::Usage;
    Page.Error_ = fmt::format("{}: not an address and port", Node);
    return Page;
  }
  boost::asio::io_context Io(1);
  node::HttpClient Client(Io, *Address, 1);
  node::HttpRequest Request;
  Request.Method_ = "GET";
  Request.Target_ = Target;
  Page.Code_ = ExitCode::Unreadable;
  Page.Error_ = fmt::format("{}: node cannot be read", Node);
  Client.send(std::move(Request), ReadLimit,
              [&Page](node::HttpResult Result, const node::HttpResponse &Response) {
                if (Result != node::HttpResult::Answered)
                  return;
                Page.Code_ = ExitCode::Ok;
                Page.Error_.clear();
                Page.Status_ = Response.Status_;
                Page.Json_ = nlohmann::json::parse(Response.Body_, nullptr, false);
                if (Page.Json_.is_discarded())
                  Page.Json_ = nullptr;
              });
  Io.run();
  return Page;
}

} // namespace bronzestand::ctl
