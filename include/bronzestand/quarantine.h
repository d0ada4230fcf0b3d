#ifndef BRONZESTAND_QUARANTINE_H
#define BRONZESTAND_QUARANTINE_H

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "bronzestand/call.h"
#include "bronzestand/types.h"

namespace bronzestand {

/// Hash of route, team and body; equal for repeated requests.
using Fingerprint = std::uint64_t;

/// Computes the fingerprint of a request. Cost: linear in the body.
Fingerprint fingerprintOf(std::string_view Route, const TeamId &Team, std::string_view Body);
/// Formats a fingerprint for logs and dumps, as 16 hexadecimal digits.
std::string fingerprintText(Fingerprint Value);

/// A crash of a backend server, stored with each fingerprint that ran at the time.
struct CrashRecord {
  HostId Host_;
  std::uint64_t Number_ = 0; ///< distinguishes the crashes of one host
  bool OnlySuspect_ = false; ///< this fingerprint was the only suspect that ran

  friend bool operator<(const CrashRecord &A, const CrashRecord &B) {
    return std::tie(A.Host_, A.Number_) < std::tie(B.Host_, B.Number_);
  }
};

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

using QuarantineBody = std::variant<SuspectMessage, QuarantineMessage>;

struct QuarantineSend {
  HostId To_;
  QuarantineBody Message_;
};

enum class StartVerdict { Start, WaitAlone, Quarantined };

/// Finds requests that crash backend servers and keeps them from running (design section 9).
/// Entries are stored by team and fingerprint, so that even a forged hash collision can't block
/// another team. Memory: TableLimit entries and the running calls.
class Quarantine {
public:
  static constexpr std::size_t TableLimit = 1024; ///< entries
  /// Entries of one team; a new one beyond them evicts the team's oldest.
  static constexpr std::size_t TeamLimit = 128;
  static constexpr std::size_t CrashLimit = 8; ///< crash records of one entry

  explicit Quarantine(HostId Self) : Self_(std::move(Self)) {}

  /// Sets the other nodes of the service. A new node is sent the whole table.
  std::vector<QuarantineSend> setPeers(TimePoint Now, const std::set<HostId> &Peers);

  /// Tells whether a request may be dispatched now. WaitAlone: it is a suspect, and another
  /// suspect is running. Cost: two table accesses.
  StartVerdict mayStart(TimePoint Now, Fingerprint RequestFingerprint, const TeamId &Team) const;

  void started(TimePoint Now, CallId Call, Fingerprint RequestFingerprint, const TeamId &Team);

  /// Reports that the call ended while the backend server ran. A suspect that was served is removed
  /// here and at the other nodes.
  /// \param Served whether the backend server gave a complete answer.
  std::vector<QuarantineSend> finished(TimePoint Now, CallId Call, bool Served);

  /// Reports that the backend server crashed; all running calls end. If only one suspect ran, it is
  /// quarantined if it also ran at a crash of another host. If the table holds a crash at which it
  /// did not run, there is more than one cause, and it must also have been the only suspect at the
  /// crash of the other host. Cost: linear in the running calls and the table.
  std::vector<QuarantineSend> crashed(TimePoint Now);

  /// Applies a message; ignored unless From is another node of the service.
  void handle(TimePoint Now, const HostId &From, const QuarantineBody &Message);

  /// Drops expired entries and repeats recent messages in case of loss. Call it every 100 ms to
  /// 300 ms.
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
    TimePoint NextSend_{};
    int RemainingCount_ = 0;
  };

  std::set<Key> runningSuspects(TimePoint Now) const;
  const Entry *find(TimePoint Now, const Key &EntryKey) const;
  /// Returns the entry, or adds one that expires after TimeLeft; evicts another if there is no
  /// room.
  Entry &findOrInsert(TimePoint Now, const Key &EntryKey, Duration TimeLeft);
  void erase(const Key &EntryKey);
  void evictOldestEntryOf(const TeamId &Team);
  QuarantineItem itemOf(TimePoint Now, const Key &EntryKey, const Entry &Stored) const;
  /// Tells whether the only suspect at a crash of this host is to be quarantined.
  bool isProvenCause(TimePoint Now, const Entry &Suspect) const;
  /// Crashes of the quarantined fingerprints.
  std::set<CrashRecord> attributedCrashes() const;
  void removeAttributedCrashes();
  static void addCrash(Entry &Stored, const CrashRecord &Crash);
  std::vector<QuarantineSend> publish(TimePoint Now, QuarantineBody Message);
  void sendToPeers(const QuarantineBody &Message, std::vector<QuarantineSend> &Sends) const;

  HostId Self_;
  std::set<HostId> Peers_;
  std::unordered_map<CallId, Key> Running_;
  std::map<Key, Entry> Entries_;
  std::map<TeamId, std::size_t> CountByTeam_;
  std::vector<Repeat> RepeatedMessages_;
  std::uint64_t NextSequence_ = 0;
  std::uint64_t LastCrash_ = 0;
};

} // namespace bronzestand

#endif
