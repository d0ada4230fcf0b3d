#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <map>

#include <docopt/docopt.h>
#include <fmt/format.h>

#include "fuzz/targets.h"

namespace {

using namespace bronzestand::fuzz;

constexpr const char *Usage =
    R"(fuzz: feeds a parser with inputs that are made from a corpus by random changes.

Usage:
  fuzz TARGET CORPUS [--seed N] [--rounds N] [--first N] [--verbose] [--save FILE]
  fuzz --help

Arguments:
  TARGET       request, response (HTTP) or frame (between nodes).
  CORPUS       Directory that has a directory for each target.

Options:
  --seed N     Seed of the changes [default: 1].
  --rounds N   Number of inputs [default: 10000].
  --first N    First round, to repeat one [default: 0].
  --verbose    Print the number of each round before it is run; shows the round that ends the process.
  --save FILE  Write the input of the last round that was run to a file.
  --help       Show this text.

Exit codes: 0 nothing found, 1 a check failed, 2 wrong usage, 3 no corpus. A round depends on the
seed and its number only: --first N --rounds 1 repeats it.
)";

enum ExitCode { Passed = 0, Found = 1, UsageInvalid = 2, Failed = 3 };

std::vector<std::string> readCorpus(const std::filesystem::path &Directory) {
  // By name, so that rounds don't depend on the file system.
  std::map<std::string, std::string> Files;
  for (const auto &Entry : std::filesystem::directory_iterator(Directory)) {
    std::ifstream In(Entry.path(), std::ios::binary);
    Files[Entry.path().filename().string()] = {std::istreambuf_iterator<char>(In), {}};
  }
  std::vector<std::string> Result;
  Result.reserve(Files.size());
  for (auto &[Name, Text] : Files)
    Result.push_back(std::move(Text));
  if (Result.empty())
    throw std::runtime_error("no inputs in " + Directory.string());
  return Result;
}

int play(const TargetInfo &Info, std::map<std::string, docopt::value> &Arguments) {
  const auto Number = [&](const char *Name) {
    return static_cast<std::uint64_t>(std::stoull(Arguments[Name].asString()));
  };
  const std::uint64_t Seed = Number("--seed");
  const std::uint64_t First = Number("--first");
  const std::uint64_t End = First + Number("--rounds");
  const std::filesystem::path Corpus(Arguments["CORPUS"].asString());
  Mutator Inputs(readCorpus(Corpus / std::string(Info.Name_)), Info.Words_());
  const std::unique_ptr<Target> Parser = Info.Make_();
  std::size_t Faults = 0;
  for (std::uint64_t Round = First; Round < End && Faults == 0; ++Round) {
    if (Arguments["--verbose"].asBool())
      std::cerr << "round " << Round << "\n" << std::flush;
    Inputs.begin(Seed, Round);
    const std::string Input = Inputs.make();
    if (Arguments["--save"])
      std::ofstream(Arguments["--save"].asString(), std::ios::binary) << Input;
    const std::string Fault = Parser->run(Input, Inputs);
    if (Fault.empty())
      continue;
    ++Faults;
    std::cout << fmt::format("{} seed {} round {}: {}\n", Info.Name_, Seed, Round, Fault);
  }
  std::cout << fmt::format("{} seed {} rounds {} to {}: {}\n", Info.Name_, Seed, First, End,
                           Faults == 0 ? "nothing found" : "stopped");
  return Faults == 0 ? Passed : Found;
}

} // namespace

int main(int argc, char **argv) {
  std::signal(SIGPIPE, SIG_IGN);
  std::map<std::string, docopt::value> Arguments;
  try {
    Arguments = docopt::docopt_parse(Usage, {argv + 1, argv + argc}, true);
  } catch (const docopt::DocoptExitHelp &) {
    std::cout << Usage;
    return Passed;
  } catch (const std::exception &) {
    std::cerr << Usage;
    return UsageInvalid;
  }
  try {
    for (const TargetInfo &Info : targets())
      if (Info.Name_ == Arguments["TARGET"].asString())
        return play(Info, Arguments);
    std::cerr << Usage;
    return UsageInvalid;
  } catch (const std::exception &Failure) {
    std::cerr << "fuzz: " << Failure.what() << "\n";
    return Failed;
  }
}
