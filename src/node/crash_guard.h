#ifndef BRONZESTAND_NODE_CRASH_GUARD_H
#define BRONZESTAND_NODE_CRASH_GUARD_H

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "bronzestand/quarantine.h"
#include "node/part.h"
#include "node/peer_links.h"
#include "node/settings.h"

namespace bronzestand::node {

/// Stands between the executor and the backend server: detects crashes of the backend server and
/// keeps quarantined requests from running (design section 9).
///
/// A crash is assumed when the connection of a running call died and a new connection is refused
/// ProbeDelay later; with Restarts::Quick also when the connections of all running calls, at least
/// two, died within that time. One lost connection while the server still accepts others is no
/// crash.
class CrashGuard final : public Part {
public:
  /// Name of a call at this node: the node that sent it and its number there.
  using CallKey = std::pair<HostId, CallId>;
  /// Told once: nothing if the call may go to the backend server now, else why it may not.
  using Entered = std::function<void(std::optional<Refusal> Reason)>;
  /// Told the known crashes of a call's request; empty unless the backend server has crashed.
  using Decided = std::function<void(std::vector<CrashRecord> Crashes)>;
  /// How soon a crashed backend server is started again.
  enum class Restarts {
    Quick, ///< a supervisor may start it before the probe
    Slow,
  };
  /// What is reported of a crash.
  struct CrashReport {
    std::size_t Calls_ = 0;       ///< that ran
    std::size_t Quarantined_ = 0; ///< fingerprints that are quarantined now
  };

  CrashGuard(boost::asio::io_context &Io, const Settings &Config, PeerLinks &Links, Restarts Speed);

  /// Sets the hosts of the service of this node.
  void setHosts(const std::set<HostId> &Hosts);
  /// Sets a function that is called after each crash.
  void onCrash(std::function<void(const CrashReport &)> Handler) { OnCrash_ = std::move(Handler); }

  /// Asks to run a call. The answer may come before this returns. A suspect that would wait for
  /// others for longer than MaxWait is refused as overloaded, so that its caller can try again.
  void enter(const CallKey &Key, const Call &Request, Duration MaxWait, Entered Done);
  /// Ends a call, whether it runs or waits; does nothing for an unknown one.
  void leave(const CallKey &Key, bool Served);
  /// The connection of a running call died. Done is called when it is known whether the backend
  /// server crashed, so that the call is not tried elsewhere before the other nodes are told.
  void lost(const CallKey &Key, Decided Done);

  /// Returns the number of suspects that wait for others.
  std::size_t waiting() const { return Waiting_.size(); }

  std::string_view name() const override { return "quarantine"; }
  absl::Status start() override;
  void stop() override;
  void tick(TimePoint Now) override;
  nlohmann::json dump() const override;

private:
  struct Waiting {
    CallKey Key_;
    TeamId Team_;
    Fingerprint Fingerprint_ = 0;
    TimePoint Deadline_; ///< end of the time for which it may wait
    Entered Done_;
  };

  struct RunningCall {
    CallId Number_ = 0;
    TeamId Team_;
    Fingerprint Fingerprint_ = 0;
    TimePoint StartedAt_;
  };

  /// \param Others suspects that wait besides this one.
  /// \param PerStart as Quarantine::waitingPerStart().
  std::optional<Refusal> tryEnter(const Waiting &Item, std::size_t Others, std::size_t PerStart,
                                  bool &MustWait);
  /// Returns whether a suspect may wait for the others that wait already.
  bool mayWait(const Waiting &Item, Duration MaxWait) const;
  void admitWaiting();
  void startProbe();
  void probe();
  void decide(bool Refused);
  void send(const std::vector<QuarantineSend> &Messages);

  boost::asio::io_context &Io_;
  const Settings &Config_;
  PeerLinks &Links_;
  Restarts Restarts_;
  Logger Log_;
  Quarantine Quarantine_;
  boost::asio::steady_timer Timer_;
  boost::asio::ip::tcp::socket Probe_;
  bool Probing_ = false;
  CallId LastNumber_ = 0;
  CallId LastBeforeLoss_ = 0; ///< the last call that had started at the first loss
  std::map<CallKey, RunningCall> Running_;
  std::map<CallKey, Decided> Lost_;
  std::function<void(const CrashReport &)> OnCrash_;
  std::deque<Waiting> Waiting_;
  Duration MeanRun_{}; ///< moving average over the calls that were served
  std::uint64_t Crashes_ = 0;
  std::uint64_t Refused_ = 0;
  std::uint64_t Waited_ = 0;
};

} // namespace bronzestand::node

#endif
