#include <algorithm>
#include <fstream>
#include <ostream>
#include <set>

#include <fmt/format.h>

#include "ctl/node_page.h"

namespace bronzestand::ctl {

const char *const ExplainUsage = R"(Usage:
  bronzestandctl explain [--json] NODE <request-id>
  bronzestandctl explain [--json] --logs <request-id> FILE...

Shows how a recent request ended: team, class, attempts, the hosts that it was sent to, and where
and why it was refused. NODE is the operator address of the node that took the request. A node
remembers its last 1024 requests.

With --logs, shows what the nodes of a fleet with a metadata store logged of a request, by time.
Each FILE has the structured log of one or more nodes; text before the first brace of a line is
ignored. Lines that the rate limits of a log left out are counted.

Options:
  --json  Print the result as JSON.
  --logs  Read logs instead of a node.

Exit codes: 0 ok, 1 the request is not known, 2 wrong usage, 3 the node or a file cannot be read.
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

/// What the logs have of one request.
struct LoggedRequest {
  std::vector<nlohmann::json> Lines_;
  std::uint64_t Dropped_ = 0; ///< lines of all requests that rate limits left out
};

/// Adds the lines of one file. Text that is no structured line is skipped: the output of several
/// programs may stand in one file.
bool readLog(const std::string &File, const std::string &Id, LoggedRequest &Out) {
  std::ifstream In(File);
  if (!In)
    return false;
  const std::string Quoted = '"' + Id + '"';
  std::string Line;
  while (std::getline(In, Line)) {
    const std::size_t Start = Line.find('{');
    const bool Ours = Line.find(Quoted) != std::string::npos;
    if (Start == std::string::npos ||
        (!Ours && Line.find("lines_dropped_before") == std::string::npos))
      continue;
    auto Parsed = nlohmann::json::parse(Line.substr(Start), nullptr, false);
    if (!Parsed.is_object())
      continue;
    Out.Dropped_ += Parsed.value("lines_dropped_before", std::uint64_t{0});
    if (Ours && textOf(Parsed, "request") == Id)
      Out.Lines_.push_back(std::move(Parsed));
  }
  return true;
}

void printLine(const nlohmann::json &Line, std::ostream &Out) {
  static const std::set<std::string> InHeading{
      "time_us", "uptime_clock_us", "host", "part", "event", "request", "lines_dropped_before"};
  Out << fmt::format("{} host {} {} {}:", textOf(Line, "time_us"), textOf(Line, "host"),
                     textOf(Line, "part"), textOf(Line, "event"));
  for (const auto &[Name, Value] : Line.items())
    if (InHeading.count(Name) == 0)
      Out << fmt::format(" {} {}", Name, textOf(Line, Name.c_str()));
  Out << '\n';
}

ExitCode explainLogs(const std::string &Id, const Arguments &Given, CommandIo &Io) {
  LoggedRequest Found;
  for (const std::string &File : Given.at("FILE").asStringList()) {
    if (readLog(File, Id, Found))
      continue;
    Io.Err_ << fmt::format("{}: can't be read\n", File);
    return ExitCode::Unreadable;
  }
  std::stable_sort(Found.Lines_.begin(), Found.Lines_.end(), [](const auto &A, const auto &B) {
    return A.value("time_us", std::uint64_t{0}) < B.value("time_us", std::uint64_t{0});
  });
  if (Found.Lines_.empty())
    Io.Err_ << fmt::format("no line has request {}; the logs left out {} lines\n", Id,
                           Found.Dropped_);
  else if (Given.at("--json").asBool())
    Io.Out_ << nlohmann::json(Found.Lines_).dump(2) << '\n';
  else
    for (const nlohmann::json &Line : Found.Lines_)
      printLine(Line, Io.Out_);
  return Found.Lines_.empty() ? ExitCode::Findings : ExitCode::Ok;
}

bool isRequestId(const std::string &Text) {
  return !Text.empty() && Text.size() <= 64 &&
         Text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

} // namespace

ExitCode runExplain(const Arguments &Given, CommandIo &Io) {
  const std::string Id = Given.at("<request-id>").asString();
  if (Given.at("--logs").asBool())
    return explainLogs(Id, Given, Io);
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
