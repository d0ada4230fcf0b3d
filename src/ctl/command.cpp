#include "ctl/command.h"

#include <array>
#include <ostream>

#include <fmt/format.h>

namespace bronzestand::ctl {
namespace {

const std::array<Command, 7> Commands{{
    {"check", "check documents and report all errors", CheckUsage, runCheck},
    {"diff", "show what changes between two sets of documents", DiffUsage, runDiff},
    {"hash-key", "print the hash of a key", HashKeyUsage, runHashKey},
    {"dump", "print the state of a node", DumpUsage, runDump},
    {"status", "show nodes as a table", StatusUsage, runStatus},
    {"explain", "show how a recent request ended", ExplainUsage, runExplain},
    {"top", "show nodes again and again", TopUsage, runTop},
}};

void printHelp(std::ostream &Out) {
  Out << "Usage: bronzestandctl COMMAND [ARGUMENTS]\n\nCommands:\n";
  for (const Command &Row : Commands)
    Out << fmt::format("  {:<10} {}\n", Row.Name_, Row.Summary_);
  Out << "\nbronzestandctl COMMAND --help shows the options of a command.\n"
         "Exit codes: 0 ok, 1 findings, 2 wrong usage, 3 a file or node cannot be read.\n";
}

} // namespace

ExitCode runCommand(const std::vector<std::string> &Words, CommandIo &Io) {
  if (Words.empty() || Words.front() == "--help" || Words.front() == "-h") {
    printHelp(Words.empty() ? Io.Err_ : Io.Out_);
    return Words.empty() ? ExitCode::Usage : ExitCode::Ok;
  }
  for (const Command &Row : Commands) {
    if (Row.Name_ != Words.front())
      continue;
    try {
      return Row.Run_(docopt::docopt_parse(Row.Usage_, Words, true, false), Io);
    } catch (const docopt::DocoptExitHelp &) {
      Io.Out_ << Row.Usage_;
      return ExitCode::Ok;
    } catch (const docopt::DocoptArgumentError &) {
      Io.Err_ << "wrong arguments\n" << Row.Usage_;
      return ExitCode::Usage;
    }
  }
  Io.Err_ << fmt::format("unknown command {}\n", Words.front());
  printHelp(Io.Err_);
  return ExitCode::Usage;
}

} // namespace bronzestand::ctl
