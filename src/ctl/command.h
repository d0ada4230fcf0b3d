#ifndef BRONZESTAND_CTL_COMMAND_H
#define BRONZESTAND_CTL_COMMAND_H

#include <iosfwd>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include <docopt/docopt.h>

namespace bronzestand::ctl {

/// Exit codes of bronzestandctl. Scripts depend on the numbers.
enum class ExitCode {
  Ok = 0,
  Findings = 1,   ///< errors in documents, or differences
  Usage = 2,      ///< wrong arguments or input
  Unreadable = 3, ///< a file or a node cannot be read
};

/// Input and output of a command, so that tests can replace them.
struct CommandIo {
  std::istream &In_;
  std::ostream &Out_;
  std::ostream &Err_;
};

using Arguments = std::map<std::string, docopt::value>;

/// One subcommand. A command is added by a file with its usage text and function, and a row in
/// the table in command.cpp; whatever it needs beyond the arguments it opens itself.
struct Command {
  std::string_view Name_;
  std::string_view Summary_;
  const char *Usage_; ///< docopt text
  ExitCode (*Run_)(const Arguments &Given, CommandIo &Io);
};

/// Runs the subcommand named by the first argument.
/// \param Words the arguments without the program's name.
ExitCode runCommand(const std::vector<std::string> &Words, CommandIo &Io);

extern const char *const CheckUsage;
ExitCode runCheck(const Arguments &Given, CommandIo &Io);
extern const char *const DiffUsage;
ExitCode runDiff(const Arguments &Given, CommandIo &Io);
extern const char *const HashKeyUsage;
ExitCode runHashKey(const Arguments &Given, CommandIo &Io);
extern const char *const DumpUsage;
ExitCode runDump(const Arguments &Given, CommandIo &Io);
extern const char *const StatusUsage;
ExitCode runStatus(const Arguments &Given, CommandIo &Io);
extern const char *const ExplainUsage;
ExitCode runExplain(const Arguments &Given, CommandIo &Io);
extern const char *const TopUsage;
ExitCode runTop(const Arguments &Given, CommandIo &Io);

} // namespace bronzestand::ctl

#endif
