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
  Live,    ///< may get calls
  Leaving, ///< announced by the host or by the list, or taken off the list less than 20 s ago
  Silent,  ///< no working connection for 3 s
  Paused,  ///< announced a new link epoch less than 1 s ago
  Gone,    ///< off the list for 20 s, or never on it
};

/// The name of a state as it appears in dumps and logs.
std::string_view hostStateName(HostState State);

/// Says that the sender is alive; sent every 500 ms on open links and part of the handshake of a
/// link. The echo proves how recent it is, so that a late heartbeat proves nothing new.
struct Heartbeat {
  Incarnation Incarnation_ = 0;
  std::uint32_t Epoch_ = 0;
  bool Leaving_ = false;
  TimePoint Sent_;          ///< on the sender's clock; only echoed by the receiver
  Incarnation EchoRun_ = 0; ///< the receiver's run whose heartbeat is echoed, 0 for none
  TimePoint Echo_;          ///< Sent_ of the newest heartbeat from the receiver
};

/// Says that a host's run is leaving; sent by the host itself and passed on in answers.
struct LeavingNotice {
  HostId Host_;
  Incarnation Incarnation_ = 0;
};

using MembershipMessage = std::variant<Heartbeat, LeavingNotice>;

struct SendMembership {
  HostId To_;
  MembershipMessage Message_;
};

/// The link was silent for 2 s: open a new connection and close the old one.
struct ReplaceLink {
  HostId Host_;
};

/// Try to connect to a silent host; answered by linkOpened or linkFailed.
struct ProbeHost {
  HostId Host_;
};

/// This process was paused: drop expired leases, admission levels and queued work, and use the new
/// epoch on all messages. Comes before the other effects of the same call.
struct OwnPause {
  Duration Gap_{};
  std::uint32_t Epoch_ = 0;
};

struct HostStateChanged {
  HostId Host_;
  HostState State_ = HostState::Gone;
};

using MembershipEffect =
    std::variant<SendMembership, ReplaceLink, ProbeHost, OwnPause, HostStateChanged>;
using MembershipEffects = std::vector<MembershipEffect>;

struct MembershipSettings {
  HostId Self_;
  Incarnation Run_ = 0;
};

/// State of each host, from the lagging host list and the node's own observations
/// (design section 5). Call tick at least every 500 ms.
class Membership {
public:
  /// A host with all that is known of it.
  struct Host {
    std::vector<HostSpec> Listings_; ///< entries on the list, the newest last; empty if off it
    HostState State_ = HostState::Gone;
    Incarnation Incarnation_ = 0; ///< newest run heard of, 0 if none
    std::uint32_t Epoch_ = 0;

  private:
    friend class Membership;
    HostId Id_;
    std::optional<Incarnation> ListLeftRun_;   ///< newest run that the list's mark counts for
    std::optional<Incarnation> NoticeLeftRun_; ///< newest run that was announced to leave
    TimePoint PausedUntil_;
    std::optional<TimePoint> OffListSince_;
    bool Silent_ = false;
    std::size_t DataCentreSlot_ = 0;
    std::size_t ServiceSlot_ = 0;
    std::optional<HostSpec> Indexed_; ///< the entry under which the host is in the indexes
  };
  using HostRefs = std::vector<const HostSpec *>;

  Membership(TimePoint Now, MembershipSettings Settings);

  /// Adds or replaces one list of the platform. Cost: linear in the old and the new list.
  MembershipEffects setList(TimePoint Now, const HostListSpec &List);

  /// Removes one list. Cost: linear in the list.
  MembershipEffects eraseList(TimePoint Now, const DataCentreId &DataCentre,
                              const ServiceId &Service);

  /// Notes the envelope of any message from a host. Call it before the message is handled.
  /// A message alone does not prove that the host is still at work, because it may be late.
  /// \return false if the message is of an earlier run or epoch and must be dropped.
  bool heard(TimePoint Now, const HostId &From, Incarnation Run, std::uint32_t Epoch,
             MembershipEffects &Out);

  /// Handles a message; calls heard for a heartbeat.
  MembershipEffects handle(TimePoint Now, const HostId &From, const MembershipMessage &Message);

  /// Notes that a connection to a host works, after its handshake.
  /// \param Hello what the peer said in the handshake, which must have taken less than 1 s; its
  ///              echo is not used.
  MembershipEffects linkOpened(TimePoint Now, const HostId &Peer, const Heartbeat &Hello);
  /// Notes that a connection could not be opened or broke.
  MembershipEffects linkFailed(TimePoint Now, const HostId &Peer);
  /// Notes that an idle link was closed on purpose; the host is no longer observed.
  void linkClosed(const HostId &Peer);

  /// Announces on all links that this host leaves; later heartbeats repeat it.
  MembershipEffects leave(TimePoint Now);

  /// Advances timers. Cost: linear in the observed links and in what changes.
  MembershipEffects tick(TimePoint Now);

  /// State of a host; Gone for an unknown one. Cost: one table access.
  HostState state(const HostId &Id) const;
  const Host *find(const HostId &Id) const;
  /// Live hosts of a data centre, in no particular order. Cost: one table access.
  const HostRefs &liveInDataCentre(const DataCentreId &DataCentre) const;
  /// Live hosts of a service, in no particular order. Cost: one table access.
  const HostRefs &liveInService(const ServiceId &Service) const;
  /// Number of hosts on the list.
  std::size_t listed() const { return Listed_; }
  std::uint32_t epoch() const { return Epoch_; }

private:
  struct Link {
    TimePoint Proven_; ///< the peer was at work at this time or later
    Incarnation BeatRun_ = 0;
    TimePoint BeatSent_; ///< newest Sent_ of that run
    bool Open_ = false;
    TimePoint NextAttempt_;
    Duration Backoff_{};
  };
  using ListKey = std::pair<DataCentreId, ServiceId>;

  void checkPause(TimePoint Now, MembershipEffects &Out);
  void list(TimePoint Now, const HostSpec &Spec, MembershipEffects &Out);
  void unlist(TimePoint Now, const HostId &Id, const ListKey &Key, MembershipEffects &Out);
  void noteRun(TimePoint Now, const HostId &Id, Incarnation Run, std::uint32_t Epoch,
               MembershipEffects &Out);
  void noteLeaving(TimePoint Now, const HostId &Id, Incarnation Run, MembershipEffects &Out);
  void noteAlive(TimePoint Now, TimePoint Proven, const HostId &Id, MembershipEffects &Out);
  void on(TimePoint Now, const HostId &From, const Heartbeat &Beat, MembershipEffects &Out);
  void on(TimePoint Now, const HostId &From, const LeavingNotice &Notice, MembershipEffects &Out);
  void sendHeartbeat(TimePoint Now, const HostId &To, MembershipEffects &Out) const;
  HostState derive(TimePoint Now, const Host &Value) const;
  void update(TimePoint Now, Host &Value, MembershipEffects &Out);
  void addToIndexes(Host &Value);
  void removeFromIndexes(Host &Value);
  void checkLink(TimePoint Now, const HostId &Id, Link &Value, MembershipEffects &Out);

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
  std::deque<std::pair<TimePoint, HostId>> Pauses_;  ///< ordered by the end of the pause
};

} // namespace bronzestand

#endif
