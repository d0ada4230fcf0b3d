#ifndef BRONZESTAND_CLAIMS_H
#define BRONZESTAND_CLAIMS_H

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <variant>
#include <vector>

#include "bronzestand/call.h"
#include "bronzestand/types.h"

namespace bronzestand {

/// Identity of one at-most-once request.
struct ClaimKey {
  TeamId Team_;
  std::string Route_;
  std::string IdempotencyKey_;
};

/// 128 bits of SHA-256 over a claim key, and the key's own time if it is a UUIDv7.
struct ClaimDigest {
  std::uint64_t High_ = 0;
  std::uint64_t Low_ = 0;
  std::int64_t KeyUnixMs_ = 0; ///< 0 for an opaque key

  friend bool operator==(const ClaimDigest &A, const ClaimDigest &B) {
    return A.High_ == B.High_ && A.Low_ == B.Low_;
  }
};

struct ClaimDigestHash {
  std::size_t operator()(const ClaimDigest &Value) const noexcept { return Value.Low_; }
};

/// Cost: one SHA-256.
ClaimDigest digestOf(const ClaimKey &Key);

/// A host of the service whose nodes witness the service's claims.
struct ClaimHost {
  HostId Id_;
  DataCentreId DataCentre_;
  RegionId Region_;
};

/// Keys are grouped into slots; all keys of a slot have the same witnesses, and tables are handed
/// over by slot.
constexpr std::uint32_t ClaimSlots = 32;
inline std::uint32_t slotOf(const ClaimDigest &Key) {
  return static_cast<std::uint32_t>(Key.High_ % ClaimSlots);
}

/// Up to three witnesses of a slot: one region's data centres first, then data centres elsewhere,
/// then any host (design section 8). Cost: one hash and sort step per host.
std::vector<HostId> witnessSet(std::uint32_t Slot, const std::vector<ClaimHost> &Hosts);

struct ClaimSettings {
  Duration Lifetime_ = std::chrono::minutes(10);
  Duration Grace_ = std::chrono::seconds(20);
  Duration Skew_ = std::chrono::seconds(5); ///< allowed between a caller's and a host's clock
  Duration DispatchWindow_ = std::chrono::seconds(5); ///< from begin to the write
  Duration Timeout_ = std::chrono::seconds(1);
  Duration Resend_ = std::chrono::milliseconds(100);
  Duration ProbeEvery_ = std::chrono::seconds(3);
  std::size_t MaxEntries_ = 100000;      ///< keys, for a witness and for an executor each
  std::size_t MaxAnswerBytes_ = 65536;   ///< larger answers are not stored
  std::size_t MaxStoredBytes_ = 8388608; ///< all stored answers of an executor
  bool StartRule_ = true;                ///< off only in tests that show what the rule prevents
};

/// The executor to which a key belongs, and its claim's number within that incarnation.
struct ClaimOwner {
  HostId Host_;
  Incarnation Incarnation_ = 0;
  std::uint64_t Attempt_ = 0;
};

struct ClaimRequest {
  ClaimDigest Key_;
  std::uint64_t BodyHash_ = 0;
  ClaimOwner Owner_;
  std::vector<HostId> Members_;
};

enum class ClaimVerdict { Granted, Taken, Abstained };

struct ClaimVote {
  ClaimDigest Key_;
  std::uint64_t Attempt_ = 0;
  ClaimVerdict Verdict_ = ClaimVerdict::Abstained;
  Incarnation Witness_ = 0;
  ClaimOwner Owner_; ///< valid if taken
  std::uint64_t BodyHash_ = 0;
  /// Newest incarnation known of each member of the set. A vote of an older incarnation is void,
  /// because the newer one does not know of it.
  std::vector<Incarnation> Known_;
};

/// The owner has not dispatched with this attempt or an earlier one and never will.
struct ClaimRelease {
  ClaimDigest Key_;
  ClaimOwner Owner_;
};

struct HandoverEntry {
  ClaimDigest Key_;
  std::uint64_t BodyHash_ = 0;
  ClaimOwner Owner_;
  Duration Age_{};
  bool Contested_ = false;
};

/// Asks for a slot's entries; for a change of set it also ends the receiver's votes in older sets.
struct HandoverRequest {
  std::uint32_t Slot_ = 0;
  Revision Revision_ = 0;
  Incarnation Incarnation_ = 0;
  Revision Before_ = 0; ///< list before the one with which the requester's set came into force
  bool Fence_ = false;
  std::vector<HostId> Members_; ///< the requester's set
};

struct HandoverReply {
  std::uint32_t Slot_ = 0;
  Revision Revision_ = 0;       ///< of the request
  Incarnation Incarnation_ = 0; ///< of the requester
  Incarnation Witness_ = 0;     ///< of the sender
  bool Fence_ = false;
  Duration KnownFor_{}; ///< age of the oldest grant that the sender is sure to know
  std::vector<HandoverEntry> Entries_;
  std::vector<std::vector<HostId>> LaterSets_; ///< sets between the requester's last two lists
};

/// Confirms that the receiver is reachable and has no newer host list.
struct ClaimProbe {
  std::uint64_t Number_ = 0;
  Incarnation Incarnation_ = 0;
};
struct ClaimProbeReply {
  std::uint64_t Number_ = 0;
  Incarnation Incarnation_ = 0;
  Revision Revision_ = 0;
};

using ClaimMessage = std::variant<ClaimRequest, ClaimVote, ClaimRelease, HandoverRequest,
                                  HandoverReply, ClaimProbe, ClaimProbeReply>;

struct ClaimSend {
  HostId To_; ///< may be the own host
  ClaimMessage Message_;
};

/// Tells whether a message is for the claimant; all others are for the witness.
inline bool isForClaimant(const ClaimMessage &Message) {
  return std::holds_alternative<ClaimVote>(Message);
}

struct WitnessDump {
  std::size_t Entries_ = 0;
  std::uint32_t Slots_ = 0;     ///< slots that this host witnesses
  std::uint32_t Inherited_ = 0; ///< of these, with the entries handed over
  bool Fresh_ = false;
  std::uint64_t Granted_ = 0;
  std::uint64_t Taken_ = 0;
  std::uint64_t Abstained_ = 0;
};

/// Grants each key to one executor (design section 8). Complexity of a claim: one table access.
class Witness {
public:
  Witness(HostId Self, Incarnation Own, TimePoint Now, ClaimSettings Settings = {});

  /// Sets the wall clock. Without it only the rule for opaque keys applies.
  void setWallClock(TimePoint Now, std::int64_t UnixMs);
  /// Takes the service's host list; a list with an older revision is ignored.
  std::vector<ClaimSend> setHosts(TimePoint Now, const std::vector<ClaimHost> &Hosts,
                                  Revision List);
  std::vector<ClaimSend> handle(TimePoint Now, const HostId &From, const ClaimMessage &Message);
  /// Sends probes and repeats requests for entries. Call it at least every 100 ms.
  std::vector<ClaimSend> tick(TimePoint Now);
  /// Stops voting; entries are still handed over on request.
  void leaving() { Leaving_ = true; }
  /// Stops voting until a majority of the probed hosts has answered again.
  void wakeAfterPause() { Probes_.clear(), ProbeReplies_.clear(); }
  WitnessDump dump(TimePoint Now) const;

private:
  struct Entry {
    std::uint64_t BodyHash_ = 0;
    ClaimOwner Owner_;
    TimePoint Granted_;
    bool Contested_ = false; ///< handed over with two owners; granted to neither
  };
  struct Slot {
    std::vector<HostId> Members_;
    Revision Adopted_ = 0; ///< list with which the set came into force here
    Revision Before_ = 0;  ///< list in force before that
    Revision Fenced_ = 0;  ///< no vote on an older list
    TimePoint AdoptedAt_;
    bool Mine_ = false;
    bool Inherited_ = false;
    TimePoint KnowsFrom_; ///< all later grants, of any set, are known
    TimePoint OwnFrom_;   ///< the same, at the end of the last set with inherited entries
    std::vector<std::vector<HostId>> Previous_; ///< sets to fence; empty if they are not known
    std::map<HostId, TimePoint> FenceFrom_;     ///< knowledge of the fenced hosts
    std::map<HostId, TimePoint> SyncFrom_;      ///< knowledge of the other members
    std::map<HostId, Incarnation> Known_;
    std::vector<std::pair<Revision, std::vector<HostId>>> History_;
  };

  bool isFresh(TimePoint Now) const;
  bool knows(TimePoint Now, const Slot &Place, const ClaimDigest &Key) const;
  void changeSet(TimePoint Now, Slot &Place, std::vector<HostId> Members, bool WasFresh,
                 Revision Before);
  void requestEntries(TimePoint Now, std::uint32_t Number, std::vector<ClaimSend> &Sends) const;
  TimePoint knowledgeFor(TimePoint Now, const Slot &Place, const HandoverRequest &Message) const;
  void inherit(TimePoint Now, Slot &Place) const;
  bool adopt(TimePoint Now, const HandoverReply &Reply);
  Duration retention() const { return Settings_.Lifetime_ + Settings_.DispatchWindow_; }
  ClaimVote vote(TimePoint Now, const ClaimRequest &Request);
  std::vector<ClaimSend> on(TimePoint Now, const HostId &From, const ClaimRequest &Message);
  std::vector<ClaimSend> on(TimePoint Now, const HostId &From, const ClaimRelease &Message);
  std::vector<ClaimSend> on(TimePoint Now, const HostId &From, const HandoverRequest &Message);
  std::vector<ClaimSend> on(TimePoint Now, const HostId &From, const HandoverReply &Message);
  std::vector<ClaimSend> on(TimePoint Now, const HostId &From, const ClaimProbe &Message);
  std::vector<ClaimSend> on(TimePoint Now, const HostId &From, const ClaimProbeReply &Message);
  static std::vector<ClaimSend> on(TimePoint, const HostId &, const ClaimVote &) { return {}; }

  HostId Self_;
  Incarnation Own_;
  ClaimSettings Settings_;
  Revision List_ = 0;
  std::vector<HostId> Panel_;
  std::vector<Slot> Slots_;
  std::unordered_map<ClaimDigest, Entry, ClaimDigestHash> Entries_;
  std::map<std::uint64_t, TimePoint> Probes_;
  std::map<HostId, TimePoint> ProbeReplies_; ///< sending time of the last answered probe
  std::uint64_t ProbeNumber_ = 0;
  TimePoint NextProbe_;
  TimePoint NextRequest_;
  TimePoint NextExpiry_;
  std::optional<std::int64_t> WallOffsetUs_;
  bool Leaving_ = false;
  WitnessDump Counts_;
};

using ClaimId = std::uint64_t;

/// Pass the request to the backend server now, if stillValid says so at the moment of writing.
struct ClaimDispatch {};
struct ClaimRefuse {
  Refusal Refusal_ = Refusal::ClaimUnavailable;
};
struct ClaimReplay {
  Answer Answer_;
};
/// The first run is in progress; a later decision for the same id ends the wait.
struct ClaimWait {};
/// Forward the resend to this executor with the incarnation; if it can't be reached, the outcome
/// is unknown.
struct ClaimRedirect {
  HostId Host_;
  Incarnation Incarnation_ = 0;
};
using ClaimDecision =
    std::variant<ClaimDispatch, ClaimRefuse, ClaimReplay, ClaimWait, ClaimRedirect>;

struct ClaimDecided {
  ClaimId Id_ = 0;
  ClaimDecision Decision_;
};
using ClaimEffect = std::variant<ClaimSend, ClaimDecided>;
using ClaimEffects = std::vector<ClaimEffect>;

struct ClaimantDump {
  std::size_t Entries_ = 0;
  std::size_t StoredBytes_ = 0;
  std::uint64_t Dispatched_ = 0;
  std::uint64_t Refused_ = 0;
  std::uint64_t Replayed_ = 0;
  std::uint64_t Redirected_ = 0;
};

/// The executor's side: claims keys, stores answers (design section 8).
class Claimant {
public:
  Claimant(HostId Self, Incarnation Own, ClaimSettings Settings = {});

  void setHosts(const std::vector<ClaimHost> &Hosts, Revision List);
  /// Starts a request; exactly one final decision follows for the id, now or later.
  /// \param Redirected incarnation in the redirect that brought the request here, if any.
  ClaimId begin(TimePoint Now, const ClaimKey &Key, std::uint64_t BodyHash, ClaimEffects &Effects,
                std::optional<Incarnation> Redirected = std::nullopt);
  void handle(TimePoint Now, const HostId &From, const ClaimMessage &Message,
              ClaimEffects &Effects);
  /// Tells whether a dispatch decided for the id may still be written to the backend server.
  /// If not, report it by finished() with an answer that was not run.
  bool stillValid(TimePoint Now, ClaimId Id) const;
  /// Reports the end of a dispatched request, or a late answer after an unknown outcome.
  void finished(TimePoint Now, ClaimId Id, const Answer &Result, ClaimEffects &Effects);
  void tick(TimePoint Now, ClaimEffects &Effects);
  /// Ends the claims in progress as refused; running requests are unaffected.
  void wakeAfterPause(TimePoint Now, ClaimEffects &Effects);
  ClaimantDump dump() const;

private:
  enum class State { Claiming, Running, Done, NoAnswer };
  struct Entry {
    State State_ = State::Claiming;
    ClaimId Id_ = 0;
    std::uint64_t BodyHash_ = 0;
    std::uint64_t Attempt_ = 0;
    bool Redirected_ = false;
    TimePoint Begun_;
    TimePoint NextSend_;
    std::vector<HostId> Members_;
    std::map<HostId, ClaimVote> Votes_;
    std::vector<ClaimId> Waiting_;
    Answer Answer_;
  };
  using Table = std::unordered_map<ClaimDigest, Entry, ClaimDigestHash>;

  void decide(ClaimId Id, const ClaimDecision &Decision, ClaimEffects &Effects);
  void sendClaim(TimePoint Now, const ClaimDigest &Key, Entry &Current, ClaimEffects &Effects);
  void count(TimePoint Now, const ClaimDigest &Key, Entry &Current, ClaimEffects &Effects);
  void giveUp(const ClaimDigest &Key, ClaimEffects &Effects);
  void expire(TimePoint Now, ClaimEffects &Effects);
  void release(const ClaimDigest &Key, const Entry &Current, ClaimEffects &Effects) const;
  void resume(Entry &Current, const ClaimDecision &Decision, ClaimEffects &Effects);
  void erase(const ClaimDigest &Key);
  bool beginKnown(const ClaimDigest &Key, std::uint64_t BodyHash, ClaimId Id,
                  ClaimEffects &Effects);

  HostId Self_;
  Incarnation Own_;
  ClaimSettings Settings_;
  std::vector<std::vector<HostId>> Sets_;
  Revision List_ = 0;
  Table Entries_;
  std::unordered_set<ClaimDigest, ClaimDigestHash> Claiming_;
  std::unordered_map<ClaimId, ClaimDigest> KeyOfId_;
  ClaimId LastId_ = 0;
  std::uint64_t LastAttempt_ = 0;
  TimePoint NextExpiry_;
  ClaimantDump Counts_;
};

} // namespace bronzestand

#endif
