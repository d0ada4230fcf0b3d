#ifndef BRONZESTAND_QUARANTINE_H
#define BRONZESTAND_QUARANTINE_H

#include <cstdint>
#include <map>
#include <set>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "bronzestand/call.h"
#include "bronzestand/types.h"

namespace bronzestand {

/// Hash of route, team and body that recognises a repeated request.
using Fingerprint = std::uint64_t;

/// Cost: linear in the body.
Fingerprint fingerprintOf(std::string_view Route, const TeamId &Team, std::string_view Body);

/// A crash of a backend server, as part of the record of a fingerprint that ran at it.
struct CrashRecord {
  HostId Host_;
  std::uint64_t Number_ = 0; ///< tells the crashes of one host apart
  bool OnlySuspect_ = false; ///< the fingerprint was the only suspect that ran

  friend bool operator<(const CrashRecord &A, const CrashRecord &B) {
    return std::tie(A.Host_, A.Number_) < std::tie(B.Host_, B.Number_);
  }
};

/// One fingerprint in a message between the nodes of a service.
struct QuarantineItem {
  TeamId Team_;
  Fingerprint Fingerprint_ = 0;
  std::vector<CrashRecord> Crashes_; ///< at most CrashLimit
  Duration TimeLeft_{};              ///< at most 10 min; clocks differ, so no absolute time
};

/// Message `suspect`: all fingerprints that ran at one crash, or that were served afterwards.
struct SuspectMessage {
  std::vector<QuarantineItem> Items_;
  bool Cleared_ = false;
};

/// Message `quarantine`.
struct QuarantineMessage {
  std::vector<QuarantineItem> Items_;
};

using QuarantineBody = std::variant<SuspectMessage, QuarantineMessage>;

struct QuarantineSend {
  HostId To_;
  QuarantineBody Message_;
};

enum class StartVerdict { Start, WaitAlone, Quarantined };

/// Finds requests that crash backend servers and keeps them from running (design section 9).
/// Entries belong to a team and a fingerprint, so that even a forged hash collision cannot block
/// another team. Memory: TableLimit entries and the calls that are running.
class Quarantine {
public:
  static constexpr std::size_t TableLimit = 1024;
  /// A team over this many entries loses its own oldest one.
  static constexpr std::size_t TeamLimit = 128;
  static constexpr std::size_t CrashLimit = 8;

  explicit Quarantine(HostId Self) : Self_(std::move(Self)) {}

  /// Sets the other nodes of the service. A new one is sent the whole table.
  std::vector<QuarantineSend> setPeers(TimePoint Now, const std::set<HostId> &Peers);

  /// Tells whether a request may be dispatched now. WaitAlone: it is a suspect, and another
  /// suspect is running. Cost: two table accesses.
  StartVerdict mayStart(TimePoint Now, Fingerprint Print, const TeamId &Team) const;

  void started(TimePoint Now, CallId Call, Fingerprint Print, const TeamId &Team);

  /// The call ended while the backend server lived. A suspect that was served is cleared.
  /// \param Served the backend server gave a whole answer.
  std::vector<QuarantineSend> finished(TimePoint Now, CallId Call, bool Served);

  /// The backend server died; all running calls end. The only suspect that ran is quarantined if
  /// it also ran at the crash of another host. If the table holds a crash at which it did not run,
  /// more than one cause is at large, and it needs two such crashes as the only suspect.
  /// Cost: linear in the running calls and the table.
  std::vector<QuarantineSend> crashed(TimePoint Now);

  /// Takes in a message; ignored unless From is a node of the service.
  void handle(TimePoint Now, const HostId &From, const QuarantineBody &Message);

  /// Drops expired entries and repeats recent messages against loss. Call every 100 ms to 300 ms.
  std::vector<QuarantineSend> tick(TimePoint Now);

  std::size_t size() const { return Entries_.size(); }
  /// One entry of the table, for operators.
  struct Listed {
    TeamId Team_;
    Fingerprint Fingerprint_ = 0;
    bool Quarantined_ = false;
    std::size_t Crashes_ = 0;
    Duration TimeLeft_{};
  };
  /// Lists the table by team. Cost: linear in the table.
  std::vector<Listed> list(TimePoint Now) const;
  std::size_t quarantinedCount() const;

private:
  using Key = std::pair<TeamId, Fingerprint>;
  struct Entry {
    bool Quarantined_ = false;
    std::set<CrashRecord> Crashes_;
    TimePoint Expiry_{};
    std::uint64_t Sequence_ = 0; ///< order of insertion
  };
  struct Repeat {
    QuarantineBody Message_;
    TimePoint Next_{};
    int Left_ = 0;
  };

  std::set<Key> runningSuspects(TimePoint Now) const;
  const Entry *find(TimePoint Now, const Key &Name) const;
  Entry &put(TimePoint Now, const Key &Name, Duration TimeLeft);
  void erase(const Key &Name);
  void evictOldestOf(const TeamId &Team);
  QuarantineItem itemOf(TimePoint Now, const Key &Name, const Entry &Value) const;
  bool isProven(TimePoint Now, const Entry &Suspect) const;
  std::set<CrashRecord> explainedCrashes() const;
  void dropExplained();
  static void addCrash(Entry &Value, const CrashRecord &Crash);
  std::vector<QuarantineSend> publish(TimePoint Now, QuarantineBody Message);
  void toAll(const QuarantineBody &Message, std::vector<QuarantineSend> &Sends) const;

  HostId Self_;
  std::set<HostId> Peers_;
  std::unordered_map<CallId, Key> Running_;
  std::map<Key, Entry> Entries_;
  std::map<TeamId, std::size_t> CountByTeam_;
  std::vector<Repeat> Repeats_;
  std::uint64_t NextSequence_ = 0;
  std::uint64_t LastCrash_ = 0;
};

} // namespace bronzestand

#endif
