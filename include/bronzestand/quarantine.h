#ifndef BRONZESTAND_QUARANTINE_H
#define BRONZESTAND_QUARANTINE_H

#include <array>
#include <cstdint>
#include <limits>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "bronzestand/call.h"
#include "bronzestand/crash_record.h"
#include "bronzestand/types.h"

namespace bronzestand {

/// Hash of route, team and body; equal for repeated requests.
using Fingerprint = std::uint64_t;

/// Computes the fingerprint of a request. Cost: linear in the body.
Fingerprint fingerprintOf(std::string_view Route, const TeamId &Team, std::string_view Body);
/// Formats a fingerprint for logs and dumps, as 16 hexadecimal digits.
std::string fingerprintText(Fingerprint Value);

/// One fingerprint in a message between the nodes of a service.
struct QuarantineItem {
  TeamId Team_;
  Fingerprint Fingerprint_ = 0;
  std::vector<CrashRecord> Crashes_; ///< at most CrashLimit
  Duration TimeLeft_{};              ///< at most 10 min; no absolute time, because clocks differ
};

/// Message `suspect`: all fingerprints that ran at one crash, or suspects that were served later.
struct SuspectMessage {
  std::vector<QuarantineItem> Items_;
  bool Cleared_ = false; ///< the items were served and are no longer suspects
};

/// Message `quarantine`: fingerprints that are kept from running.
struct QuarantineMessage {
  std::vector<QuarantineItem> Items_;
};

/// Message `query`: a node that has just started asks for the table.
struct QuarantineQuery {};

using QuarantineBody = std::variant<SuspectMessage, QuarantineMessage, QuarantineQuery>;

struct QuarantineSend {
  HostId To_;
  QuarantineBody Message_;
};

enum class StartVerdict { Start, WaitAlone, Quarantined };

namespace detail {

/// Remembers for a short time which fingerprints were served. A colliding fingerprint replaces the
/// earlier one. Memory: Slots entries of 16 bytes.
class RecentlyServed {
public:
  static constexpr std::size_t Slots = 4096;
  static constexpr Duration Retention = std::chrono::seconds(10);

  void add(TimePoint Now, Fingerprint RequestFingerprint, const TeamId &Team);
  bool contains(TimePoint Now, Fingerprint RequestFingerprint, const TeamId &Team) const;

private:
  struct Slot {
    std::uint64_t Hash_ = 0;
    TimePoint At_{};
  };

  std::array<Slot, Slots> Slots_{};
};

} // namespace detail

/// Finds requests that crash backend servers and keeps them from running (design section 9).
/// Entries are stored by team and fingerprint, so that even a forged hash collision can't block
/// another team. A fingerprint that the backend server has just served is never a suspect. Memory:
/// TableLimit entries, the fingerprints served recently and the running calls.
class Quarantine {
public:
  static constexpr std::size_t TableLimit = 1024; ///< entries
  /// Entries of one team; a new one beyond them evicts the team's oldest.
  static constexpr std::size_t TeamLimit = 128;
  static constexpr std::size_t CrashLimit = 8; ///< crash records of one entry
  /// Crashes as the only suspect that prove a cause even if all are of one host.
  static constexpr std::size_t SoleCrashLimit = 3;
  static constexpr Duration Lifetime = std::chrono::minutes(10); ///< of an entry
  static constexpr Duration PeerRetention = std::chrono::minutes(1);
  /// Waiting suspects for each suspect beyond the first that runs at the same time. One at a time
  /// finds the cause at the next crash, but delays the others.
  static constexpr std::size_t MostPerStart = 8;
  /// The same where the suspects would otherwise wait for too long.
  static constexpr std::size_t LeastPerStart = 2;

  explicit Quarantine(HostId Self) : Self_(std::move(Self)) {}

  /// Sets the other nodes of the service. A new node is sent the whole table. A node that is no
  /// longer listed remains a peer for PeerRetention, because a crashed server is missing from the
  /// list until it has started again. The first call asks some of the peers for their tables.
  std::vector<QuarantineSend> setPeers(TimePoint Now, const std::set<HostId> &Listed);

  /// Adds the crashes at which a request ran elsewhere, as its call reports them. A call may arrive
  /// before the message about its crash.
  void learn(TimePoint Now, Fingerprint RequestFingerprint, const TeamId &Team,
             const std::vector<CrashRecord> &Crashes);

  /// Tells whether a request may be dispatched now. WaitAlone: it is a suspect, and too many other
  /// suspects are running. A suspect of several crashes always runs alone.
  /// \param Waiting suspects that wait to be dispatched; with many, some run at the same time.
  /// \param PerStart as waitingPerStart().
  /// Cost: two table accesses, for a suspect linear in the running calls.
  StartVerdict mayStart(TimePoint Now, Fingerprint RequestFingerprint, const TeamId &Team,
                        std::size_t Waiting = 0, std::size_t PerStart = MostPerStart) const;

  /// Returns for how many waiting suspects one more may run at the same time, so that all can run
  /// within a time if possible.
  /// \param MeanRun mean time that a call runs.
  static std::size_t waitingPerStart(std::size_t Waiting, Duration MeanRun, Duration Allowed);

  /// Estimates how long a suspect waits until others have run.
  /// \param Ahead fingerprints that wait before it.
  static Duration expectedWait(std::size_t Ahead, Duration MeanRun,
                               std::size_t PerStart = MostPerStart);

  /// \param Call larger than those of all calls that started earlier.
  void started(CallId Call, Fingerprint RequestFingerprint, const TeamId &Team);

  /// Reports that the call ended while the backend server ran. A suspect that was served is removed
  /// here and at the other nodes.
  /// \param Served whether the backend server gave a complete answer.
  std::vector<QuarantineSend> finished(TimePoint Now, CallId Call, bool Served);

  /// Reports that the backend server crashed; all calls that ran end. If only one suspect ran, it
  /// is quarantined if it also ran at a crash of another host. If the table holds another recent
  /// crash at which it did not run, there is more than one cause, and it must also have been the
  /// only suspect at the crash of the other host. A fingerprint is also quarantined if it is the
  /// only one that ran at all recent crashes, of several hosts, or the only suspect at
  /// SoleCrashLimit crashes. Cost: linear in the running calls and the table. \param Last the last
  /// call that had started when the server crashed.
  std::vector<QuarantineSend> crashed(TimePoint Now,
                                      CallId Last = std::numeric_limits<CallId>::max());

  /// Applies a message; ignored unless From is another node of the service.
  std::vector<QuarantineSend> handle(TimePoint Now, const HostId &From,
                                     const QuarantineBody &Message);

  /// Drops expired entries and repeats recent messages in case of loss. Call it every 100 ms to
  /// 300 ms.
  std::vector<QuarantineSend> tick(TimePoint Now);

  /// Returns the known crashes of a fingerprint, oldest first by host; empty if it is no suspect.
  std::vector<CrashRecord> crashesOf(TimePoint Now, Fingerprint RequestFingerprint,
                                     const TeamId &Team) const;
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
    TimePoint LastCrash_{}; ///< when the last crash was added
    TimePoint Expiry_{};
    std::uint64_t Sequence_ = 0; ///< order of insertion
  };
  struct Repeat {
    QuarantineBody Message_;
    TimePoint NextSend_{};
    int RemainingCount_ = 0;
  };

  std::set<Key> runningSuspects(TimePoint Now, CallId Last) const;
  const Entry *find(TimePoint Now, const Key &EntryKey) const;
  /// Returns the entry, or adds one that expires after TimeLeft; evicts another if there is no
  /// room.
  Entry &findOrInsert(TimePoint Now, const Key &EntryKey, Duration TimeLeft);
  void erase(const Key &EntryKey);
  void evictOldestEntryOf(const TeamId &Team);
  QuarantineItem itemOf(TimePoint Now, const Key &EntryKey, const Entry &Stored) const;
  /// Tells whether the only suspect at a crash of this host is to be quarantined.
  bool isProvenCause(TimePoint Now, const Entry &Suspect) const;
  /// Returns the recent crashes whose cause is not known.
  std::set<CrashRecord> recentCrashes(TimePoint Now) const;
  /// Returns the only fingerprint that ran at all recent crashes, if they are of several hosts;
  /// Entries_.end() if there is none.
  std::map<Key, Entry>::iterator findCommonCause(TimePoint Now);
  QuarantineMessage quarantine(TimePoint Now, const Key &EntryKey, Entry &Stored);
  /// The whole table as messages to one peer.
  void appendTable(TimePoint Now, const HostId &Peer, std::vector<QuarantineSend> &Sends) const;
  std::vector<QuarantineSend> handleSuspects(TimePoint Now, const HostId &From,
                                             const SuspectMessage &Message);
  void handleQuarantined(TimePoint Now, const QuarantineMessage &Message);
  /// Crashes of the quarantined fingerprints.
  std::set<CrashRecord> attributedCrashes() const;
  void removeAttributedCrashes();
  static void addCrash(TimePoint Now, Entry &Stored, const CrashRecord &Crash);
  std::vector<QuarantineSend> publish(TimePoint Now, QuarantineBody Message);
  void sendToPeers(const QuarantineBody &Message, std::vector<QuarantineSend> &Sends) const;

  HostId Self_;
  std::map<HostId, TimePoint> Peers_; ///< and when each was last listed; max() if it is
  bool Queried_ = false;
  std::map<CallId, Key> Running_;
  detail::RecentlyServed Served_;
  std::map<Key, Entry> Entries_;
  std::map<TeamId, std::size_t> CountByTeam_;
  std::vector<Repeat> RepeatedMessages_;
  std::uint64_t NextSequence_ = 0;
  std::uint64_t LastCrash_ = 0;
};

} // namespace bronzestand

#endif
