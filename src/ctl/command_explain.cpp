#include <ostream>

#include <fmt/format.h>

#include "ctl/node_page.h"

namespace bronzestand::ctl {

const char *const ExplainUsage = R"(Usage: bronzestandctl explain [--json] NODE <request-id>

Shows how a recent request ended: team, class, attempts, the hosts that it was sent to, and where
and why it was refused. NODE is the operator address of the node that took the request. A node
remembers its last 1024 requests.

Options:
  --json  Print the result as JSON.

Exit codes: 0 ok, 1 the node does not know the request, 2 wrong usage, 3 the node cannot be read.
)";

namespace {

std::string textOf(const nlohmann::json &Record, const char *Name) {
  const auto Found = Record.find(Name);
  if (Found == Record.end() || Found->is_null())
    return "-";
  const std::string Text = Found->is_string() ? Found->get<std::string>() : Found->dump();
  return Text.empty() ? "-" : Text;
}

void print(const nlohmann::json &Record, std::ostream &Out) {
  Out << fmt::format("{} {}, a call of a {}\n", textOf(Record, "method"), textOf(Record, "path"),
                     textOf(Record, "origin"));
  Out << fmt::format("  team {}, class {}, service {}\n", textOf(Record, "team"),
                     textOf(Record, "class"), textOf(Record, "service"));
  Out << fmt::format("  {} of {} attempts, {} us\n", textOf(Record, "attempts"),
                     textOf(Record, "attempt_allowance"), textOf(Record, "microseconds"));
  for (const nlohmann::json &Try : Record.value("tries", nlohmann::json::array()))
    Out << fmt::format("  host {}: {} {}, {} us\n", textOf(Try, "host"), textOf(Try, "outcome"),
                       textOf(Try, "refusal"), textOf(Try, "microseconds"));
  if (textOf(Record, "refusal") == "-")
    Out << fmt::format("  {}\n", textOf(Record, "outcome"));
  else
    Out << fmt::format("  {}: {} at host {}\n", textOf(Record, "outcome"),
                       textOf(Record, "refusal"), textOf(Record, "refused_at"));
}

bool isRequestId(const std::string &Text) {
  return !Text.empty() && Text.size() <= 64 &&
         Text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

} // namespace

ExitCode runExplain(const Arguments &Given, CommandIo &Io) {
  const std::string Id = Given.at("<request-id>").asString();
  if (!isRequestId(Id)) {
    Io.Err_ << "a request id has hexadecimal digits only\n";
    return ExitCode::Usage;
  }
  const std::string Node = Given.at("NODE").asString();
  const NodePage Page = readPage(Node, "/requests/" + Id);
  if (Page.Code_ != ExitCode::Ok) {
    Io.Err_ << Page.Error_ << '\n';
    return Page.Code_;
  }
  if (Page.Status_ == 404) {
    Io.Err_ << fmt::format("{}: does not know request {}\n", Node, Id);
    return ExitCode::Findings;
  }
  if (!Page.Json_.is_array()) {
    Io.Err_ << fmt::format("{}: unexpected answer\n", Node);
    return ExitCode::Unreadable;
  }
  if (Given.at("--json").asBool())
    Io.Out_ << Page.Json_.dump(2) << '\n';
  else
    for (const nlohmann::json &Record : Page.Json_)
      print(Record, Io.Out_);
  return ExitCode::Ok;
}

} // namespace bronzestand::ctl
