#ifndef BRONZESTAND_NODE_CLAIMS_PART_H
#define BRONZESTAND_NODE_CLAIMS_PART_H

#include <functional>
#include <map>
#include <optional>
#include <tuple>
#include <unordered_map>

#include "bronzestand/claims.h"
#include "node/config_part.h"
#include "node/handover_pieces.h"
#include "node/part.h"
#include "node/peer_links.h"

namespace bronzestand::node {

/// Runs the witness and the claimant of at-most-once calls with the host list, the peer links and
/// the clock of this node (design section 8).
class ClaimsPart final : public Part {
public:
  /// Receives the decision on a call, once: no answer if the call is to be dispatched, otherwise
  /// the answer to return.
  using DecisionCallback = std::function<void(ClaimId Id, std::optional<Answer> Given)>;
  using Reply = std::function<void(Answer Result)>;
  /// Handles a call that another executor redirected to this one.
  using RedirectHandler =
      std::function<void(const HostId &From, Call Request, Incarnation Owner, Reply Done)>;

  ClaimsPart(const Settings &Config, ConfigPart &Documents, PeerLinks &Links, Incarnation Run);

  /// Returns whether a call needs a claim before it is dispatched.
  bool covers(const Call &Request) const;
  /// Claims the key of a call. If the key is already claimed, redirects the call to the executor
  /// that owns the key, or waits for the first run and replays its answer. \param Redirected
  /// incarnation in the redirect that brought the call here, if any. \param Done may be called
  /// before this returns.
  void begin(const Call &Request, std::optional<Incarnation> Redirected, DecisionCallback Done);
  /// Returns whether the call may still be dispatched. Must be called immediately before the
  /// request is written to the backend server.
  bool stillValid(ClaimId Id);
  /// Reports the end of a dispatched call.
  void finished(ClaimId Id, const Answer &Result);
  void setRedirectHandler(RedirectHandler Handler) { OnRedirected_ = std::move(Handler); }

  /// Stops voting before a shutdown; entries are still handed over on request.
  void leave() { Witness_.leaving(); }
  /// Returns whether the handover of entries is over: no change of the host list and no request for
  /// entries in the last second.
  bool isHandedOver(TimePoint Now) const;

  std::string_view name() const override { return "claims"; }
  absl::Status start() override;
  void stop() override {}
  void tick(TimePoint Now) override;
  nlohmann::json dump() const override;

private:
  struct Waiting {
    DecisionCallback Done_;
    Call Call_; ///< kept for a redirect
  };
  struct Redirect {
    DecisionCallback Done_;
    ClaimId Claim_ = 0;
    CallId Call_ = 0; ///< id of the call that was redirected
    HostId Host_;
    LinkId Link_ = 0;
    TimePoint Deadline_;
  };
  using ReplyKey = std::tuple<HostId, std::uint32_t, bool>;

  void updateHosts(TimePoint Now);
  void checkPause(TimePoint Now);
  void onMessage(const Peer &From, const nlohmann::json &Body);
  void deliver(const HostId &From, const ClaimMessage &Message);
  void send(const std::vector<ClaimSend> &Sends);
  void sendOne(const ClaimSend &Item);
  void sendReply(const HostId &To, const HandoverReply &Reply);
  bool isAnsweredRecently(const HostId &From, const HandoverRequest &Request, TimePoint Now);
  void apply(const ClaimEffects &Effects);
  void decide(const ClaimDecided &Item);
  void redirect(ClaimId Id, Waiting Item, const ClaimRedirect &Target);
  void onRedirected(const Peer &From, const nlohmann::json &Body);
  void endRedirect(CallId Number, Answer Result);
  template <typename Predicate> void endRedirects(Predicate Matches, Refusal Reason);

  const Settings &Config_;
  ConfigPart &Documents_;
  PeerLinks &Links_;
  Logger Log_;
  Witness Witness_;
  Claimant Claimant_;
  RedirectHandler OnRedirected_;
  std::unordered_map<ClaimId, Waiting> Waiting_;
  std::map<CallId, Redirect> Redirects_;
  HandoverAssembler Assembler_;
  std::map<ReplyKey, TimePoint> LargeReplyTimes_;
  CallId LastRedirect_;
  std::uint64_t LastReply_ = 0;
  Revision ListRevision_ = 0;
  bool ListChanged_ = true;
  TimePoint LastTick_;
  TimePoint FirstListAt_;
  TimePoint LastListChangeAt_;
  TimePoint LastHandoverAt_;
};

} // namespace bronzestand::node

#endif
