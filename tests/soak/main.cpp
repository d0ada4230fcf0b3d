#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <map>

#include <docopt/docopt.h>
#include <fmt/format.h>
#include <unistd.h>

#include "soak_run.h"

namespace {

using namespace bronzestand;
using namespace bronzestand::soak;

constexpr const char *Usage =
    R"(soak: runs real nodes under random faults and checks the promises of the platform.

Usage:
  soak [--seed N] [--seeds COUNT] [--nodes N] [--seconds S] [--placement] [--misuse]
  soak --list FILE
  soak --help

Options:
  --seed N       First seed [default: 1].
  --seeds COUNT  Number of seeds, one after the other [default: 1].
  --nodes N      Nodes of the fleet, at most 250 [default: 8].
  --seconds S    Time with faults of each run [default: 12].
  --placement    With allowed regions, cold servers and evacuations.
  --misuse       With callers that send slowly, pipeline without reading and stop half-way.
  --list FILE    Runs of a file: a line each of seed, nodes, seconds and perhaps "placement" and
                 "misuse"; # begins a comment.
  --help         Show this text.

Exit codes: 0 all promises held, 1 some did not, 2 wrong usage, 3 a run could not be made. The logs
of a run with a broken promise are kept; its line names them.
)";

enum ExitCode { Held = 0, Broken = 1, UsageInvalid = 2, Failed = 3 };

/// Violations of one run that are printed.
constexpr std::size_t MaxPrinted = 10;

std::string keepLogs(const SoakRun &Run, std::uint64_t Seed) {
  std::string File = fmt::format("/tmp/bronzestand-soak-{}-{}.log", Seed, ::getpid());
  std::ofstream(File) << Run.logs();
  return File;
}

bool play(const RunOptions &Options) {
  std::string Directory = "/tmp/bronzestand-soak-XXXXXX";
  if (::mkdtemp(Directory.data()) == nullptr)
    throw std::runtime_error("no directory can be made under /tmp");
  bool Kept = true;
  {
    SoakRun Run(Options, Directory);
    Run.run();
    const auto &Violations = Run.ledger().violations();
    Kept = Violations.empty();
    std::map<std::string_view, int> Faults;
    for (const Fault &Item : Run.plan().Faults_)
      ++Faults[faultName(Item.Kind_)];
    std::string Text;
    for (const auto &[Name, Count] : Faults)
      Text += fmt::format(" {}:{}", Name, Count);
    std::map<std::string_view, int> Broken;
    for (const auto &Item : Violations)
      ++Broken[promiseName(Item.Promise_)];
    std::string ByPromise;
    for (const auto &[Name, Count] : Broken)
      ByPromise += fmt::format(" {}:{}", Name, Count);
    std::string Answers;
    for (const auto &[Status, Count] : Run.ledger().statuses())
      Answers += fmt::format(" {}:{}", Status, Count);
    std::cout << fmt::format("seed {} nodes {} profile {} requests {} violations {}{} answers{} "
                             "faults{}{}{}\n",
                             Options.Seed_, Options.Nodes_, profileName(Run.plan().Profile_),
                             Run.ledger().requests(), Violations.size(), ByPromise, Answers, Text,
                             Options.Misuse_ ? fmt::format(" misuses {}", Run.misuses()) : "",
                             Kept ? "" : " logs " + keepLogs(Run, Options.Seed_));
    for (std::size_t Number = 0; Number < std::min(MaxPrinted, Violations.size()); ++Number) {
      const auto &Item = Violations[Number];
      std::cout << fmt::format("  {} request {}: {}\n", promiseName(Item.Promise_),
                               Item.Request_.empty() ? "-" : Item.Request_, Item.Detail_);
    }
    std::cout << std::flush;
  }
  std::filesystem::remove_all(Directory);
  return Kept;
}

std::vector<RunOptions> readList(const std::string &File) {
  std::ifstream In(File);
  if (!In)
    throw std::runtime_error("can't read " + File);
  std::vector<RunOptions> Result;
  std::string Line;
  while (std::getline(In, Line)) {
    std::istringstream Fields(Line.substr(0, Line.find('#')));
    RunOptions Options;
    long Seconds = 0;
    if (!(Fields >> Options.Seed_ >> Options.Nodes_ >> Seconds))
      continue;
    Options.Length_ = std::chrono::seconds(Seconds);
    std::string Word;
    while (Fields >> Word) {
      Options.Placement_ = Options.Placement_ || Word == "placement";
      Options.Misuse_ = Options.Misuse_ || Word == "misuse";
    }
    Result.push_back(Options);
  }
  return Result;
}

std::vector<RunOptions> runsOf(std::map<std::string, docopt::value> &Arguments) {
  if (Arguments["--list"])
    return readList(Arguments["--list"].asString());
  std::vector<RunOptions> Result;
  const auto First = static_cast<std::uint64_t>(std::stoull(Arguments["--seed"].asString()));
  for (long Number = 0; Number < Arguments["--seeds"].asLong(); ++Number) {
    RunOptions Options;
    Options.Seed_ = First + static_cast<std::uint64_t>(Number);
    Options.Nodes_ = static_cast<std::size_t>(Arguments["--nodes"].asLong());
    Options.Length_ = std::chrono::seconds(Arguments["--seconds"].asLong());
    Options.Placement_ = Arguments["--placement"].asBool();
    Options.Misuse_ = Arguments["--misuse"].asBool();
    Result.push_back(Options);
  }
  return Result;
}

} // namespace

int main(int argc, char **argv) {
  std::signal(SIGPIPE, SIG_IGN);
  std::map<std::string, docopt::value> Arguments;
  try {
    Arguments = docopt::docopt_parse(Usage, {argv + 1, argv + argc}, true);
  } catch (const docopt::DocoptExitHelp &) {
    std::cout << Usage;
    return Held;
  } catch (const std::exception &) {
    std::cerr << Usage;
    return UsageInvalid;
  }
  try {
    std::size_t Bad = 0;
    const std::vector<RunOptions> Runs = runsOf(Arguments);
    for (const RunOptions &Options : Runs)
      Bad += play(Options) ? 0 : 1;
    std::cout << fmt::format("{} runs, {} with a broken promise\n", Runs.size(), Bad);
    return Bad == 0 ? Held : Broken;
  } catch (const std::exception &Failure) {
    std::cerr << "soak: " << Failure.what() << "\n";
    return Failed;
  }
}
