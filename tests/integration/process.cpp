#include "process.h"

#include <csignal>
#include <fstream>
#include <sstream>
#include <thread>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace bronzestand::test {
namespace {

constexpr std::size_t TailBytes = 4000;

} // namespace

Process::Process(std::string Name, const std::string &Program,
                 const std::vector<std::string> &Arguments)
    : Name_(std::move(Name)) {
  char File[] = "/tmp/bronzestand-test-XXXXXX";
  const int Log = ::mkstemp(File);
  LogFile_ = File;
  const std::string Path = std::string(BRONZESTAND_BINARY_DIR) + "/" + Program;
  Pid_ = ::fork();
  if (Pid_ == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    ::dup2(Log, STDOUT_FILENO);
    ::dup2(Log, STDERR_FILENO);
    // Sockets that the process inherits would stay open after this program has closed them.
    ::close_range(STDERR_FILENO + 1, ~0U, 0);
    std::vector<char *> Values{const_cast<char *>(Path.c_str())};
    for (const std::string &Argument : Arguments)
      Values.push_back(const_cast<char *>(Argument.c_str()));
    Values.push_back(nullptr);
    ::execv(Path.c_str(), Values.data());
    ::_exit(127);
  }
  ::close(Log);
}

Process::~Process() {
  if (isRunning()) {
    signal(SIGKILL);
    wait(std::chrono::seconds(5));
  }
  ::unlink(LogFile_.c_str());
}

void Process::signal(int Number) const {
  if (Pid_ > 0 && !ExitCode_)
    ::kill(Pid_, Number);
}

bool Process::isRunning() { return !wait(std::chrono::milliseconds(0)); }

std::optional<int> Process::wait(std::chrono::milliseconds Limit) {
  const auto End = std::chrono::steady_clock::now() + Limit;
  while (!ExitCode_) {
    int Status = 0;
    if (::waitpid(Pid_, &Status, WNOHANG) == Pid_) {
      ExitCode_ = WIFEXITED(Status) ? WEXITSTATUS(Status) : 128 + WTERMSIG(Status);
      break;
    }
    if (std::chrono::steady_clock::now() >= End)
      break;
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  return ExitCode_;
}

std::string Process::log() const {
  std::ifstream In(LogFile_);
  std::ostringstream Text;
  Text << In.rdbuf();
  return Text.str();
}

std::string Process::logTail() const {
  const std::string All = log();
  return All.size() <= TailBytes ? All : "..." + All.substr(All.size() - TailBytes);
}

} // namespace bronzestand::test
