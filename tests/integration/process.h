#ifndef BRONZESTAND_TESTS_INTEGRATION_PROCESS_H
#define BRONZESTAND_TESTS_INTEGRATION_PROCESS_H

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

namespace bronzestand::test {

/// A child process whose output goes to a file. It is killed when the object ends.
class Process {
public:
  /// \param Program name of a program in the build directory.
  Process(std::string Name, const std::string &Program, const std::vector<std::string> &Arguments);
  Process(const Process &) = delete;
  Process &operator=(const Process &) = delete;
  ~Process();

  void signal(int Number) const;
  /// Waits for the end and returns the exit code (128 + signal if killed by one).
  std::optional<int> wait(std::chrono::milliseconds Limit);
  bool isRunning();
  const std::string &name() const { return Name_; }
  pid_t pid() const { return Pid_; }
  /// The whole output.
  std::string log() const;
  /// The last lines of the output.
  std::string logTail() const;

private:
  std::string Name_;
  std::string LogFile_;
  pid_t Pid_ = -1;
  std::optional<int> ExitCode_;
};

} // namespace bronzestand::test

#endif
