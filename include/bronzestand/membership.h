#ifndef BRONZESTAND_MEMBERSHIP_H
#define BRONZESTAND_MEMBERSHIP_H

#include <deque>
#include <map>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "bronzestand/config.h"
#include "bronzestand/types.h"

namespace bronzestand {

enum class HostState {
  Live,    ///< may receive calls
  Leaving, ///< announced by the host, marked in the list, or removed from it less than 20 s ago
  Silent,  ///< its link has not proven within the last 3 s that it is alive
  Paused,  ///< resumed from a pause with a new epoch less than 1 s ago
  Gone,    ///< removed from the list 20 s ago or earlier, or never listed
};

/// Returns the name of a state as it appears in dumps and logs.
std::string_view hostStateName(HostState State);

/// Tells the receiver that the sender is alive. Sent every 500 ms on open links and as part of the
/// link handshake. The echoed timestamp bounds the age of the message, so that a delayed heartbeat
/// does not make its sender look alive now.
struct Heartbeat {
  Incarnation Incarnation_ = 0;
  std::uint32_t Epoch_ = 0;
  bool Leaving_ = false;
  TimePoint Sent_;          ///< on the sender's clock; the receiver only echoes it
  Incarnation EchoRun_ = 0; ///< incarnation of the receiver in the echoed heartbeat, 0 for none
  TimePoint Echo_;          ///< Sent_ of the newest heartbeat received from the receiver
};

/// Announces that a run of a host is leaving. Sent by the host itself and forwarded in answers.
struct LeavingNotice {
  HostId Host_;
  Incarnation Incarnation_ = 0;
};

using MembershipMessage = std::variant<Heartbeat, LeavingNotice>;

struct SendMembership {
  HostId To_;
  MembershipMessage Message_;
};

/// The link did not prove for 2 s that the peer is alive: open a new connection and close the old
/// one.
struct ReplaceLink {
  HostId Host_;
};

/// Try to connect to a host without an open link; report the result with linkOpened or linkFailed.
struct ProbeHost {
  HostId Host_;
};

/// This process was paused: drop expired leases, admission levels and queued work, and use the new
/// epoch in all messages. Precedes the other effects of the same call.
struct ProcessPaused {
  Duration Gap_{};
  std::uint32_t Epoch_ = 0;
};

struct HostStateChanged {
  HostId Host_;
  HostState State_ = HostState::Gone;
};

using MembershipEffect =
    std::variant<SendMembership, ReplaceLink, ProbeHost, ProcessPaused, HostStateChanged>;
using MembershipEffects = std::vector<MembershipEffect>;

struct MembershipSettings {
  HostId Self_;
  Incarnation Run_ = 0;
};

/// Derives the state of each host from the platform's host list, which may be out of date, and from
/// the node's own observations. Call tick at least every 500 ms, because a gap of more than 1 s
/// counts as a pause of this process.
///
/// Messages of a host carry its incarnation, which identifies one run of its process, and its
/// epoch, which the run increments after each pause. Design section 5.
class Membership {
public:
  /// What is known about a host.
  struct Host {
    std::vector<HostSpec> Listings_; ///< its list entries, the newest last; empty if not listed
    HostState State_ = HostState::Gone;
    Incarnation Incarnation_ = 0; ///< newest known run, 0 if none
    std::uint32_t Epoch_ = 0;

  private:
    friend class Membership;
    HostId Id_;
    std::optional<Incarnation> ListLeavingRun_;   ///< newest run that the list marks as leaving
    std::optional<Incarnation> NoticeLeavingRun_; ///< newest run announced as leaving
    TimePoint PausedUntil_;
    std::optional<TimePoint> OffListSince_;
    bool Silent_ = false;
    std::size_t DataCentrePosition_ = 0;
    std::size_t ServicePosition_ = 0;
    std::optional<HostSpec> Indexed_; ///< the entry that the indexes point to; empty if not in them
  };
  using HostRefs = std::vector<const HostSpec *>;

  Membership(TimePoint Now, MembershipSettings Settings);

  /// Adds or replaces the host list of one service in one data centre.
  /// Cost: linear in the old and the new list.
  MembershipEffects setList(TimePoint Now, const HostListSpec &List);

  /// Removes the host list of one service in one data centre. Cost: linear in the list.
  MembershipEffects eraseList(TimePoint Now, const DataCentreId &DataCentre,
                              const ServiceId &Service);

  /// Records the incarnation and epoch in the envelope of a message from a host. Call it for every
  /// message, before the message is handled.
  /// \return false if the message is from an earlier run or epoch and must be dropped.
  /// The host is not counted as alive, because the message may have been delayed.
  bool noteSender(TimePoint Now, const HostId &From, Incarnation Run, std::uint32_t Epoch,
                  MembershipEffects &Out);

  /// Handles a message; calls noteSender for a heartbeat.
  MembershipEffects handle(TimePoint Now, const HostId &From, const MembershipMessage &Message);

  /// Records that the handshake on a connection to a host is complete.
  /// \param Hello heartbeat of the peer in the handshake, which must have taken less than 1 s; its
  ///              echo is not used.
  MembershipEffects linkOpened(TimePoint Now, const HostId &Peer, const Heartbeat &Hello);
  /// Records that a connection could not be opened or was lost.
  MembershipEffects linkFailed(TimePoint Now, const HostId &Peer);
  /// Records that an idle link was closed on purpose. The host is no longer observed, unless it is
  /// silent.
  void linkClosed(const HostId &Peer);

  /// Announces on all links that this host is leaving; later heartbeats repeat it.
  MembershipEffects leave(TimePoint Now);

  /// Advances timers. Cost: linear in the observed links and the hosts whose state changes.
  MembershipEffects tick(TimePoint Now);

  /// Returns the state of a host; Gone if it is unknown. Cost: one hash lookup.
  HostState state(const HostId &Id) const;
  /// Returns a host, or nullptr if it is unknown. Cost: one hash lookup.
  const Host *find(const HostId &Id) const;
  /// Returns the live hosts of a data centre, in no particular order. Cost: one hash lookup.
  const HostRefs &liveInDataCentre(const DataCentreId &DataCentre) const;
  /// Returns the live hosts of a service, in no particular order. Cost: one hash lookup.
  const HostRefs &liveInService(const ServiceId &Service) const;
  /// Returns the number of listed hosts.
  std::size_t listed() const { return Listed_; }
  /// Returns the epoch of this run, the number of its pauses so far.
  std::uint32_t epoch() const { return Epoch_; }

private:
  struct Link {
    TimePoint LastAlive_;          ///< when the peer was last known alive, or the first failure
    Incarnation HeartbeatRun_ = 0; ///< newest run that sent a heartbeat on this link
    TimePoint HeartbeatSent_;      ///< Sent_ of the newest heartbeat of that run
    bool Open_ = false;
    TimePoint NextAttempt_; ///< earliest time of the next connection attempt
    Duration Backoff_{};
  };
  using ListKey = std::pair<DataCentreId, ServiceId>;

  void checkPause(TimePoint Now, MembershipEffects &Out);
  void addToList(TimePoint Now, const HostSpec &Spec, MembershipEffects &Out);
  void removeFromList(TimePoint Now, const HostId &Id, const ListKey &Key, MembershipEffects &Out);
  void noteRun(TimePoint Now, const HostId &Id, Incarnation Run, std::uint32_t Epoch,
               MembershipEffects &Out);
  void noteLeaving(TimePoint Now, const HostId &Id, Incarnation Run, MembershipEffects &Out);
  void noteAlive(TimePoint Now, TimePoint AliveAt, const HostId &Id, MembershipEffects &Out);
  void on(TimePoint Now, const HostId &From, const Heartbeat &Message, MembershipEffects &Out);
  void on(TimePoint Now, const HostId &From, const LeavingNotice &Message, MembershipEffects &Out);
  void sendHeartbeat(TimePoint Now, const HostId &To, MembershipEffects &Out) const;
  HostState computeState(TimePoint Now, const Host &Record) const;
  void updateState(TimePoint Now, Host &Record, MembershipEffects &Out);
  void addToIndexes(Host &Record);
  void removeFromIndexes(Host &Record);
  void checkLink(TimePoint Now, const HostId &Id, Link &PeerLink, MembershipEffects &Out);

  MembershipSettings Settings_;
  TimePoint LastTick_;
  TimePoint NextHeartbeat_;
  std::uint32_t Epoch_ = 0;
  bool Leaving_ = false;
  std::size_t Listed_ = 0;
  std::unordered_map<HostId, Host> Hosts_;
  std::map<ListKey, std::vector<HostId>> Lists_;
  std::unordered_map<DataCentreId, HostRefs> ByDataCentre_;
  std::unordered_map<ServiceId, HostRefs> ByService_;
  std::map<HostId, Link> Links_;
  std::deque<std::pair<TimePoint, HostId>> OffList_; ///< ordered by the end of the grace period
  std::deque<std::pair<TimePoint, HostId>> Pauses_;  ///< ordered by the end of state Paused
};

} // namespace bronzestand

#endif
