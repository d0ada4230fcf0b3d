// Signals that reach the daemon while it reads its settings.
#include <csignal>
#include <fstream>

#include <catch2/catch.hpp>
#include <fcntl.h>
#include <fmt/format.h>
#include <sys/stat.h>
#include <unistd.h>

#include "fleet.h"

using namespace bronzestand::test;
using namespace std::chrono_literals;

namespace {

/// A daemon that is held at the reading of its settings: their file is a pipe without content.
struct StartupFixture {
  std::string Directory_ = "/tmp/bronzestand-startup-XXXXXX";
  std::string File_;
  std::unique_ptr<Process> Node_;
  int Pipe_ = -1;

  StartupFixture() {
    std::signal(SIGPIPE, SIG_IGN); // the daemon may have ended
    REQUIRE(::mkdtemp(Directory_.data()) != nullptr);
    File_ = Directory_ + "/node.yaml";
    REQUIRE(::mkfifo(File_.c_str(), 0600) == 0);
    Node_ = std::make_unique<Process>("node", "bronzestandd",
                                      std::vector<std::string>{"--settings", File_});
    Pipe_ = ::open(File_.c_str(), O_WRONLY); // returns when the daemon has opened it
    REQUIRE(Pipe_ >= 0);
  }
  ~StartupFixture() {
    ::unlink(File_.c_str());
    ::rmdir(Directory_.c_str());
  }
  StartupFixture(const StartupFixture &) = delete;
  StartupFixture &operator=(const StartupFixture &) = delete;

  static std::string settings() {
    // An address of its own; nothing answers at the store.
    const std::string Host =
        fmt::format("127.{}.{}.9", 1 + ::getpid() / 250 % 250, 1 + ::getpid() % 250);
    return fmt::format("host_id: {0}\ndata_centre: d\nregion: r\nservice: s\n"
                       "caller_listen: {0}:17101\negress_listen: {0}:17102\n"
                       "peer_listen: {0}:17103\noperator_listen: {0}:17104\n"
                       "backend_server: {0}:17105\n"
                       "mesh: {{store: \"{0}:17106\", regions: {{d: r}}}}\n",
                       Host);
  }
  /// Lets the daemon go on. Later reads of the settings get a plain file.
  void giveSettings() {
    const std::string Text = settings();
    ::unlink(File_.c_str());
    std::ofstream(File_) << Text;
    REQUIRE(::write(Pipe_, Text.data(), Text.size()) == static_cast<ssize_t>(Text.size()));
    ::close(Pipe_);
  }
  bool logged(const std::string &Event) {
    return waitFor(
        [&] { return Node_->log().find("\"event\":\"" + Event + "\"") != std::string::npos; }, 5s);
  }
};

} // namespace

// Guards against a node that ends when its settings change while it starts.
TEST_CASE_METHOD(StartupFixture, "startup_hup_while_settings_are_read_does_not_end_the_node") {
  Node_->signal(SIGHUP);
  giveSettings();
  CHECK(logged("started"));
  CHECK(Node_->isRunning());
  Node_->signal(SIGTERM);
  CHECK(Node_->wait(10s) == 0);
}

// Guards against a stop during the start that looks like a crash.
TEST_CASE_METHOD(StartupFixture, "startup_term_while_settings_are_read_stops_the_node") {
  Node_->signal(SIGTERM);
  giveSettings();
  CHECK(Node_->wait(10s) == 0);
}
