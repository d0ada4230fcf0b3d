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

/// Identifies one at-most-once request.
struct ClaimKey {
  TeamId Team_;
  std::string Route_;
  std::string IdempotencyKey_;
};

/// First 128 bits of the SHA-256 of a claim key, and the key's creation time if it is a UUIDv7.
struct ClaimDigest {
  std::uint64_t High_ = 0;
  std::uint64_t Low_ = 0;
  std::int64_t KeyUnixMs_ = 0; ///< creation time; 0 for an opaque key

  friend bool operator==(const ClaimDigest &A, const ClaimDigest &B) {
    return A.High_ == B.High_ && A.Low_ == B.Low_;
  }
};

struct ClaimDigestHash {
  std::size_t operator()(const ClaimDigest &Value) const noexcept { return Value.Low_; }
};

/// Hashes a claim key. Cost: one SHA-256.
ClaimDigest digestOf(const ClaimKey &Key);

/// A host of the service; its node may be a witness of the service's claims.
struct ClaimHost {
  HostId Id_;
  DataCentreId DataCentre_;
  RegionId Region_;
};

/// Number of slots. All keys of a slot have the same witnesses, and entries are handed over by
/// slot.
constexpr std::uint32_t ClaimSlots = 32;
inline std::uint32_t slotOf(const ClaimDigest &Key) {
  return static_cast<std::uint32_t>(Key.High_ % ClaimSlots);
}

/// Chooses up to three witnesses of a slot: first from different data centres of one region, then
/// from other data centres, then any host (design section 8). Cost: one hash and sort step per
/// host.
std::vector<HostId> witnessSet(std::uint32_t Slot, const std::vector<ClaimHost> &Hosts);

struct ClaimSettings {
  Duration Lifetime_ = std::chrono::minutes(10); ///< keys may be resent for this long
  /// A replaced witness set grants no more keys after this time. A witness stops voting when no
  /// majority of the probed hosts has answered for half of it.
  Duration Grace_ = std::chrono::seconds(20);
  Duration Skew_ = std::chrono::seconds(5); ///< allowed between a caller's and a host's clock
  /// From begin() to the write to the backend server.
  Duration DispatchWindow_ = std::chrono::seconds(5);
  Duration Timeout_ = std::chrono::seconds(1); ///< a claim without a majority ends then
  Duration ResendInterval_ = std::chrono::milliseconds(100);
  Duration ProbeEvery_ = std::chrono::seconds(3);
  std::size_t MaxEntries_ = 100000;      ///< keys, per witness and per executor
  std::size_t MaxAnswerBytes_ = 65536;   ///< larger answers are not stored
  std::size_t MaxStoredBytes_ = 8388608; ///< of all stored answers of an executor
  bool EnforceTimeRule_ = true;          ///< false only in tests that show what the rule prevents
};

/// The executor that owns a key, and the number of its claim within that incarnation.
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
  /// Newest known incarnation of each member of the set. A vote of an older incarnation does not
  /// count, because the newer one does not know of it.
  std::vector<Incarnation> Known_;
};

/// Tells that the owner has not dispatched the key with this attempt or an earlier one and never
/// will.
struct ClaimRelease {
  ClaimDigest Key_;
  ClaimOwner Owner_;
};

/// One entry of a witness's table.
struct HandoverEntry {
  ClaimDigest Key_;
  std::uint64_t BodyHash_ = 0;
  ClaimOwner Owner_;
  Duration Age_{}; ///< since the grant
  bool Contested_ = false;
};

/// Asks for a slot's entries. With Fence_, the receiver also stops voting in older witness sets.
struct HandoverRequest {
  std::uint32_t Slot_ = 0;
  Revision Revision_ = 0;
  Incarnation Incarnation_ = 0;
  /// List before the one with which the requester's set came into force; if the handover to an
  /// earlier set is unfinished, the list before that set.
  Revision Before_ = 0;
  bool Fence_ = false;
  std::vector<HostId> Members_; ///< the requester's set
};

struct HandoverReply {
  std::uint32_t Slot_ = 0;
  Revision Revision_ = 0;       ///< of the request
  Incarnation Incarnation_ = 0; ///< of the requester
  Incarnation Witness_ = 0;     ///< of the sender
  bool Fence_ = false;
  Duration KnownFor_{}; ///< the sender is sure to know all grants up to this age
  std::vector<HandoverEntry> Entries_;
  /// Witness sets after Before_ and before Revision_ of the request.
  std::vector<std::vector<HostId>> LaterSets_;
};

/// Asks whether the receiver is reachable and has no newer host list than the sender.
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
  HostId To_; ///< may be the sender itself
  ClaimMessage Message_;
};

/// Tells whether a message is for the claimant; all other messages are for the witness.
inline bool isForClaimant(const ClaimMessage &Message) {
  return std::holds_alternative<ClaimVote>(Message);
}

/// State of a witness for operators.
struct WitnessDump {
  std::size_t Entries_ = 0;
  std::uint32_t Slots_ = 0;     ///< slots that this host witnesses
  std::uint32_t Inherited_ = 0; ///< of these, slots whose earlier entries were taken over
  bool Fresh_ = false;          ///< a majority of the probed hosts answered recently
  std::uint64_t Granted_ = 0;
  std::uint64_t Taken_ = 0;
  std::uint64_t Abstained_ = 0;
};

/// Grants each key to one executor (design section 8). Complexity of a claim: one table access.
///
/// A key belongs to a slot, and a slot to a set of witnesses that follows from the host list. A
/// witness votes only if it is sure to know all earlier grants of the key. When the set of a slot
/// changes, its new members fence the previous sets and take over their entries.
class Witness {
public:
  Witness(HostId Self, Incarnation OwnIncarnation, TimePoint Now, ClaimSettings Settings = {});

  /// Sets the wall clock. Without it, all keys are treated as opaque.
  void setWallClock(TimePoint Now, std::int64_t UnixMs);
  /// Applies the service's host list; a list whose revision is not newer is ignored.
  std::vector<ClaimSend> setHosts(TimePoint Now, const std::vector<ClaimHost> &Hosts,
                                  Revision ListRevision);
  std::vector<ClaimSend> handle(TimePoint Now, const HostId &From, const ClaimMessage &Message);
  /// Sends probes and repeats requests for entries. Call it at least every 100 ms.
  std::vector<ClaimSend> tick(TimePoint Now);
  /// Stops voting; entries are still handed over on request.
  void leaving() { VotingStopped_ = true; }
  /// Stops voting until a majority of the probed hosts has answered again.
  void wakeAfterPause() { SentProbes_.clear(), ProbeReplies_.clear(); }
  WitnessDump dump(TimePoint Now) const;

private:
  struct Entry {
    std::uint64_t BodyHash_ = 0;
    ClaimOwner Owner_;
    TimePoint GrantedAt_;
    bool Contested_ = false; ///< handed over with two owners; granted to neither
  };
  struct SlotState {
    std::vector<HostId> Members_;
    Revision AdoptedRevision_ = 0; ///< list with which the set came into force here
    /// List in force before that, or before the first set whose handover is unfinished.
    Revision BaseRevision_ = 0;
    Revision FenceRevision_ = 0; ///< no votes on an older list
    TimePoint AdoptedAt_;
    bool IsMember_ = false;
    bool Inherited_ = false; ///< entries of the previous sets were taken over
    TimePoint KnownSince_;   ///< all later grants, of any set, are known
    /// KnownSince_ at the end of the last set without an unfinished handover.
    TimePoint BaseKnownSince_;
    std::vector<std::vector<HostId>> PreviousSets_; ///< sets to fence; empty if not known
    std::map<HostId, TimePoint> FenceReplies_;      ///< KnownSince_ reported by fenced hosts
    std::map<HostId, TimePoint> SyncReplies_;       ///< KnownSince_ reported by other members
    std::map<HostId, Incarnation> KnownIncarnations_;
    std::vector<std::pair<Revision, std::vector<HostId>>> SetHistory_;
  };

  /// Tells whether a majority of the probed hosts answered a probe of the last Grace_ / 2 and had
  /// no newer host list.
  bool isFresh(TimePoint Now) const;
  /// Time rule: all grants of a key are known if the key was created after KnownSince_, or if the
  /// retention time has passed since then, so that earlier grants have expired.
  bool knowsAllGrants(TimePoint Now, const SlotState &State, const ClaimDigest &Key) const;
  void changeSet(TimePoint Now, SlotState &State, std::vector<HostId> Members, bool WasFresh,
                 Revision PreviousRevision);
  void requestEntries(TimePoint Now, std::uint32_t SlotNumber, std::vector<ClaimSend> &Sends) const;
  /// Computes the KnownSince_ that the reply to a request for entries reports.
  TimePoint knownSinceFor(TimePoint Now, const SlotState &State,
                          const HandoverRequest &Message) const;
  /// Moves KnownSince_ back as far as the handover replies permit, and sets Inherited_.
  void updateKnownSince(TimePoint Now, SlotState &State) const;
  /// Adds handed-over entries to the table; false if they don't fit.
  bool mergeEntries(TimePoint Now, const HandoverReply &Reply);
  /// Time for which an entry is kept.
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
  Incarnation OwnIncarnation_;
  ClaimSettings Settings_;
  Revision ListRevision_ = 0;
  std::vector<HostId> ProbedHosts_;
  std::vector<SlotState> Slots_;
  std::unordered_map<ClaimDigest, Entry, ClaimDigestHash> Entries_;
  std::map<std::uint64_t, TimePoint> SentProbes_; ///< sending time by probe number
  std::map<HostId, TimePoint> ProbeReplies_;      ///< sending time of the newest answered probe
  std::uint64_t ProbeNumber_ = 0;
  TimePoint NextProbe_;
  TimePoint NextRequest_;
  TimePoint NextExpiry_;
  std::optional<std::int64_t> WallOffsetUs_; ///< Unix time minus TimePoint
  bool VotingStopped_ = false;
  WitnessDump Counts_;
};

using ClaimId = std::uint64_t;

/// Pass the request to the backend server if stillValid() holds at the moment of writing.
struct ClaimDispatch {};
struct ClaimRefuse {
  Refusal Refusal_ = Refusal::ClaimUnavailable;
};
/// Answer with the stored answer of the first run.
struct ClaimReplay {
  Answer Answer_;
};
/// Wait: the first request with the key is in progress. A later decision for the same id ends the
/// wait.
struct ClaimWait {};
/// Forward the resend to this executor with the incarnation. If it can't be reached, the outcome is
/// unknown.
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

/// State of a claimant for operators.
struct ClaimantDump {
  std::size_t Entries_ = 0;
  std::size_t StoredBytes_ = 0;
  std::uint64_t Dispatched_ = 0;
  std::uint64_t Refused_ = 0;
  std::uint64_t Replayed_ = 0;
  std::uint64_t Redirected_ = 0;
};

/// Claims keys for an executor and stores its answers (design section 8).
class Claimant {
public:
  Claimant(HostId Self, Incarnation OwnIncarnation, ClaimSettings Settings = {});

  void setHosts(const std::vector<ClaimHost> &Hosts, Revision ListRevision);
  /// Starts a request. Exactly one final decision follows for the id, now or later; ClaimWait is
  /// not final.
  /// \param Redirected incarnation named by the redirect that brought the request here, if any.
  ClaimId begin(TimePoint Now, const ClaimKey &Key, std::uint64_t BodyHash, ClaimEffects &Effects,
                std::optional<Incarnation> Redirected = std::nullopt);
  void handle(TimePoint Now, const HostId &From, const ClaimMessage &Message,
              ClaimEffects &Effects);
  /// Tells whether a dispatch decided for the id may still be written to the backend server.
  /// If not, report it by finished() with the outcome NotRun.
  bool stillValid(TimePoint Now, ClaimId Id) const;
  /// Reports the end of a dispatched request, or an answer that came after an unknown outcome.
  void finished(TimePoint Now, ClaimId Id, const Answer &Result, ClaimEffects &Effects);
  /// Resends claims, ends timed-out claims and drops expired entries.
  void tick(TimePoint Now, ClaimEffects &Effects);
  /// Ends the claims in progress without a dispatch; running requests are unaffected.
  void wakeAfterPause(TimePoint Now, ClaimEffects &Effects);
  ClaimantDump dump() const;

private:
  /// AnswerUnavailable: the outcome is unknown, or the answer did not fit into the store.
  enum class State { Claiming, Running, Done, AnswerUnavailable };
  struct Entry {
    State State_ = State::Claiming;
    ClaimId Id_ = 0;
    std::uint64_t BodyHash_ = 0;
    std::uint64_t Attempt_ = 0;
    bool Redirected_ = false;
    TimePoint BegunAt_;
    TimePoint NextSend_;
    std::vector<HostId> Members_;
    std::map<HostId, ClaimVote> Votes_;
    std::vector<ClaimId> WaitingIds_;
    Answer Answer_;
  };
  using Table = std::unordered_map<ClaimDigest, Entry, ClaimDigestHash>;

  void decide(ClaimId Id, const ClaimDecision &Decision, ClaimEffects &Effects);
  void sendClaim(TimePoint Now, const ClaimDigest &Key, Entry &Current, ClaimEffects &Effects);
  void countVotes(TimePoint Now, const ClaimDigest &Key, Entry &Current, ClaimEffects &Effects);
  /// Ends a claim with a refusal or a redirect.
  void endWithoutDispatch(const ClaimDigest &Key, ClaimEffects &Effects);
  void expire(TimePoint Now, ClaimEffects &Effects);
  void sendReleases(const ClaimDigest &Key, const Entry &Current, ClaimEffects &Effects) const;
  /// Gives the decision to all requests that wait for the first one.
  void decideWaiting(Entry &Current, const ClaimDecision &Decision, ClaimEffects &Effects);
  void erase(const ClaimDigest &Key);
  /// Decides a request whose key is in the table; false if it is not.
  bool decideKnownKey(const ClaimDigest &Key, std::uint64_t BodyHash, ClaimId Id,
                      ClaimEffects &Effects);

  HostId Self_;
  Incarnation OwnIncarnation_;
  ClaimSettings Settings_;
  std::vector<std::vector<HostId>> WitnessSets_;
  Revision ListRevision_ = 0;
  Table Entries_;
  std::unordered_set<ClaimDigest, ClaimDigestHash> ClaimingKeys_;
  std::unordered_map<ClaimId, ClaimDigest> KeyOfId_;
  ClaimId LastId_ = 0;
  std::uint64_t LastAttempt_ = 0;
  TimePoint NextExpiry_;
  ClaimantDump Counts_;
};

} // namespace bronzestand

#endif
