#include <ostream>

#include <fmt/format.h>

#include "ctl/node_page.h"

namespace bronzestand::ctl {

const char *const DumpUsage = R"(Usage: bronzestandctl dump [--json] NODE

Prints the state of a node, one value a line with its path. NODE is the operator address of the
node, for example 127.0.0.1:7004.

Options:
  --json  Print the state as JSON.

Exit codes: 0 ok, 2 wrong usage, 3 the node cannot be read.
)";

ExitCode runDump(const Arguments &Given, CommandIo &Io) {
  const std::string Node = Given.at("NODE").asString();
  const NodePage Page = readPage(Node, "/state");
  if (Page.Code_ != ExitCode::Ok) {
    Io.Err_ << Page.Error_ << '\n';
    return Page.Code_;
  }
  if (!Page.Json_.is_object()) {
    Io.Err_ << fmt::format("{}: unexpected state dump\n", Node);
    return ExitCode::Unreadable;
  }
  if (Given.at("--json").asBool()) {
    Io.Out_ << Page.Json_.dump(2) << '\n';
    return ExitCode::Ok;
  }
  const nlohmann::json Flat = Page.Json_.flatten();
  for (const auto &[Path, Value] : Flat.items())
    Io.Out_ << fmt::format("{} {}\n", Path,
                           Value.is_string() ? Value.get<std::string>() : Value.dump());
  return ExitCode::Ok;
}

} // namespace bronzestand::ctl
