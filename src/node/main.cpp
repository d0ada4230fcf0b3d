#include <charconv>
#include <csignal>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <docopt/docopt.h>

#include "mesh/mesh_node.h"
#include "node/memory_limits.h"
#include "node/node.h"
#include "store_watch.h"
#include "wire_names.h"

namespace {

constexpr const char *Usage = R"(bronzestandd: the node that runs beside one backend server.

Usage:
  bronzestandd --settings FILE [--memory-mb SIZE] [--cold-over FACTOR] [--cold-slack COUNT]
               [--evacuate-ms TIME] [--check]
  bronzestandd --help

Options:
  --settings FILE      YAML settings of this node.
  --memory-mb SIZE     Memory that the process may use, in MiB, instead of that of the settings.
  --cold-over FACTOR   Instead of mesh.cold_over of the settings; no effect if empty.
  --cold-slack COUNT   Instead of mesh.cold_slack; no effect if empty.
  --evacuate-ms TIME   Instead of mesh.evacuate_ms; no effect if empty.
  --check              Check the settings, print all errors and exit.
  --help               Show this text.

Signals: SIGTERM and SIGINT shut down gracefully; a second one ends at once. SIGHUP checks the
settings again; they take effect at the next start.
Exit codes: 0 stopped, 1 settings with errors, 2 wrong usage, 3 could not start.
)";

enum ExitCode { Stopped = 0, SettingsInvalid = 1, UsageInvalid = 2, StartFailed = 3 };

/// Blocks or unblocks the signals that the daemon handles. Until their handlers are set, any of
/// them, including SIGHUP, would end the process.
/// \param How SIG_BLOCK or SIG_UNBLOCK.
void maskSignals(int How) {
  sigset_t Handled;
  sigemptyset(&Handled);
  for (const int Number : {SIGTERM, SIGINT, SIGHUP})
    sigaddset(&Handled, Number);
  ::pthread_sigmask(How, &Handled, nullptr);
}

/// Reads the settings again and logs their errors. Changes take effect only after a restart.
void reload(const std::string &File) {
  const auto Loaded = bronzestand::node::loadSettings(File);
  const auto Log = bronzestand::node::makeLogger("settings");
  for (const auto &Error : Loaded.Errors_)
    Log->error("{}", bronzestand::describe(Error));
  Log->info("read {} again, {}", File,
            Loaded.Errors_.empty() ? "it takes effect at the next start" : "it has errors");
}

/// Sets the memory from the command line, if it is given there.
/// \return false if it is no number, or out of range.
bool applyMemory(const docopt::value &Size, bronzestand::node::Settings &Config) {
  using namespace bronzestand::node;
  if (!Size)
    return true;
  const std::string &Text = Size.asString();
  std::size_t Value = 0;
  const auto Parsed = std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (Parsed.ec != std::errc() || Parsed.ptr != Text.data() + Text.size() || Value < MinMemoryMb ||
      Value > MaxMemoryMb)
    return false;
  Config.MemoryBytes_ = Value * BytesPerMb;
  return true;
}

/// Reads a number from the command line; the bounds are those of the settings.
/// \return false if it is no number, or out of range.
bool readNumber(const docopt::value &Given, double Low, double High, std::optional<double> &Out) {
  if (!Given || Given.asString().empty())
    return true;
  const std::string &Text = Given.asString();
  double Value = 0.0;
  const auto Parsed = std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (Parsed.ec != std::errc() || Parsed.ptr != Text.data() + Text.size() ||
      !(Value >= Low && Value <= High))
    return false;
  Out = Value;
  return true;
}

/// Sets the bounds of the platform from the command line, those that are given there.
/// \return false if one of them is invalid, or given without a mesh section in the settings.
bool applyBounds(std::map<std::string, docopt::value> &Arguments,
                 bronzestand::node::Settings &Config) {
  using bronzestand::node::MeshSettings;
  std::optional<double> ColdOver;
  std::optional<double> ColdSlack;
  std::optional<double> EvacuateMs;
  if (!readNumber(Arguments["--cold-over"], MeshSettings::MinColdOver, MeshSettings::MaxColdOver,
                  ColdOver) ||
      !readNumber(Arguments["--cold-slack"], 0.0, MeshSettings::MaxColdSlack, ColdSlack) ||
      !readNumber(Arguments["--evacuate-ms"], MeshSettings::MinEvacuateMs,
                  MeshSettings::MaxEvacuateMs, EvacuateMs))
    return false;
  if (!Config.Mesh_)
    return !ColdOver && !ColdSlack && !EvacuateMs;
  if (ColdOver)
    Config.Mesh_->ColdOver_ = ColdOver;
  Config.Mesh_->ColdSlack_ = ColdSlack.value_or(Config.Mesh_->ColdSlack_);
  if (EvacuateMs)
    Config.Mesh_->EvacuateTime_ = std::chrono::milliseconds(static_cast<std::int64_t>(*EvacuateMs));
  return true;
}

template <typename Daemon>
int serve(boost::asio::io_context &Io, Daemon &Running, const std::string &File) {
  boost::asio::signal_set Signals(Io, SIGTERM, SIGINT, SIGHUP);
  std::function<void()> WaitForSignal = [&] {
    Signals.async_wait([&](const boost::system::error_code &Failure, int Number) {
      if (Failure)
        return;
      if (Number == SIGHUP)
        reload(File);
      else
        Running.shutdown();
      WaitForSignal();
    });
  };
  WaitForSignal();
  const absl::Status Result = Running.start();
  if (!Result.ok()) {
    std::cerr << "bronzestandd: " << Result.message() << "\n";
    return StartFailed;
  }
  maskSignals(SIG_UNBLOCK);
  Io.run();
  return Stopped;
}

std::unique_ptr<bronzestand::node::Part> makeStoreWatch(boost::asio::io_context &Io,
                                                        const bronzestand::node::Settings &Config,
                                                        bronzestand::node::FleetState &Fleet,
                                                        bronzestand::node::EventLog &Events) {
  return std::make_unique<bronzestand::platform::StoreWatch>(Io, Config, Fleet, Events);
}

int run(const bronzestand::node::Settings &Config, const std::string &File) {
  using namespace bronzestand::node;
  configureLogging(Config.Log_);
  std::signal(SIGPIPE, SIG_IGN);
  boost::asio::io_context Io(1);
  if (Config.Mesh_) {
    MeshNode Daemon(Io, Config, bronzestand::platform::headerNames(), makeStoreWatch);
    return serve(Io, Daemon, File);
  }
  Node Daemon(Io, Config);
  return serve(Io, Daemon, File);
}

} // namespace

int main(int argc, char **argv) {
  maskSignals(SIG_BLOCK);
  std::map<std::string, docopt::value> Arguments;
  try {
    Arguments = docopt::docopt_parse(Usage, {argv + 1, argv + argc}, true);
  } catch (const docopt::DocoptExitHelp &) {
    std::cout << Usage;
    return Stopped;
  } catch (const std::exception &) {
    std::cerr << Usage;
    return UsageInvalid;
  }
  const std::string File = Arguments["--settings"].asString();
  auto Loaded = bronzestand::node::loadSettings(File);
  for (const auto &Error : Loaded.Errors_)
    std::cerr << bronzestand::describe(Error) << "\n";
  if (!Loaded.Errors_.empty())
    return SettingsInvalid;
  if (!applyMemory(Arguments["--memory-mb"], Loaded.Settings_)) {
    std::cerr << "bronzestandd: --memory-mb must be a whole number of "
              << bronzestand::node::MinMemoryMb << " to " << bronzestand::node::MaxMemoryMb << "\n";
    return UsageInvalid;
  }
  if (!applyBounds(Arguments, Loaded.Settings_)) {
    std::cerr << "bronzestandd: --cold-over, --cold-slack and --evacuate-ms must be numbers in the "
                 "ranges of the settings, and need a mesh section\n";
    return UsageInvalid;
  }
  if (Arguments["--check"].asBool()) {
    std::cout << "settings are valid\n";
    return Stopped;
  }
  return run(Loaded.Settings_, File);
}
