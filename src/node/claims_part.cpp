#include "node/claims_part.h"

#include <algorithm>
#include <utility>

#include <boost/algorithm/string/predicate.hpp>
#include <xxhash.h>

#include "node/clock.h"
#include "node/codec_call.h"
#include "node/codec_claims.h"

namespace bronzestand::node {
namespace {

using nlohmann::json;

/// Messages of this part that are not in ClaimMessage. Their numbers on the wire follow the indexes
/// of that variant.
enum PartMessage : std::size_t {
  RedirectedCall = std::variant_size_v<ClaimMessage>,
  RedirectedAnswer,
};

/// A longer gap between ticks means that the process was paused (design section 5).
constexpr Duration PauseGap = std::chrono::seconds(1);
/// Bounds one message of a handover to about 200 KB; the frame limit is 8 MB.
constexpr std::size_t EntriesPerMessage = 2000;
/// Witnesses repeat requests for entries at every tick. A reply with many entries is sent at most
/// once in this interval.
constexpr Duration LargeReplyInterval = std::chrono::milliseconds(500);
constexpr std::size_t LargeReplyEntries = 500;
/// After a change of the list, new members of a witness set request entries at every tick for 1 s.
constexpr Duration HandoverQuietTime = std::chrono::seconds(1);
/// Distinguishes the ids of redirected calls from those that the router assigns.
constexpr CallId RedirectIdBit = 1ULL << 63U;
constexpr unsigned RevisionHashBits = 20;

std::uint64_t hashOf(const std::string &Text) { return XXH3_64bits(Text.data(), Text.size()); }

ClaimKey keyOf(const Call &Request) {
  // Uses the path, because the pattern of the route may change between a request and its resend.
  return {Request.Team_, Request.Method_ + " " + std::string(pathOf(Request.Target_)),
          Request.IdempotencyKey_};
}

} // namespace

ClaimsPart::ClaimsPart(const Settings &Config, ConfigPart &Documents, PeerLinks &Links,
                       Incarnation Run)
    : Config_(Config), Documents_(Documents), Links_(Links), Log_(makeLogger("claims")),
      Witness_(Config.Host_, Run, now(), Config.Claims_),
      Claimant_(Config.Host_, Run, Config.Claims_), LastRedirect_(RedirectIdBit | Run),
      LastTick_(now()) {}

absl::Status ClaimsPart::start() {
  Witness_.setWallClock(now(), static_cast<std::int64_t>(wallMicroseconds() / 1000));
  Links_.setHandler(MessageKind::Claims,
                    [this](const Peer &From, const json &Body) { onMessage(From, Body); });
  Links_.addLinkDown([this](const HostId &Host, LinkId Link) {
    endRedirects(
        [&](const Redirect &Item) { return Item.Host_ == Host && Item.Link_ == Link && Link != 0; },
        Refusal::ConnectionLost);
  });
  const std::string Suffix = "/" + Config_.Service_.str();
  Documents_.addChangeCallback([this, Suffix](const std::string &Path) {
    ListChanged_ = ListChanged_ || Path == "fleet" ||
                   (boost::starts_with(Path, "hosts/") && boost::ends_with(Path, Suffix));
  });
  return absl::OkStatus();
}

bool ClaimsPart::covers(const Call &Request) const {
  return Request.AtMostOnce_ && Config_.isEnabled(Mechanism::Claims);
}

void ClaimsPart::updateHosts(TimePoint Now) {
  if (!ListChanged_ || !Documents_.isReady())
    return;
  ListChanged_ = false;
  std::vector<ClaimHost> Hosts;
  for (const auto &[Name, List] : Documents_.catalogue().hostLists()) {
    if (List.Service_ != Config_.Service_)
      continue;
    for (const HostSpec &Host : List.Hosts_)
      if (!Host.Leaving_)
        Hosts.push_back(
            {Host.Id_, Host.DataCentre_, Documents_.catalogue().regionOf(Host.DataCentre_)});
  }
  // The list consists of several documents. The sum of their revisions grows with each change; the
  // hash distinguishes different sets of revisions with the same sum.
  Revision Sum = 0;
  std::string Text;
  const std::string Suffix = "/" + Config_.Service_.str();
  for (const auto &[Path, At] : Documents_.inForce()) {
    if (Path != "fleet" && !(boost::starts_with(Path, "hosts/") && boost::ends_with(Path, Suffix)))
      continue;
    Sum += At;
    Text += Path + "=" + std::to_string(At) + "\n";
  }
  const Revision Combined =
      (Sum << RevisionHashBits) | (hashOf(Text) & ((1U << RevisionHashBits) - 1));
  if (Hosts.empty() || Combined <= ListRevision_)
    return;
  if (ListRevision_ == 0)
    FirstListAt_ = Now;
  ListRevision_ = Combined;
  LastListChangeAt_ = Now;
  Claimant_.setHosts(Hosts, ListRevision_);
  send(Witness_.setHosts(Now, Hosts, ListRevision_));
}

void ClaimsPart::checkPause(TimePoint Now) {
  if (Now - std::exchange(LastTick_, Now) <= PauseGap)
    return;
  Log_->warn("process was paused, ended the claims in progress");
  Witness_.setWallClock(Now, static_cast<std::int64_t>(wallMicroseconds() / 1000));
  Witness_.wakeAfterPause();
  ClaimEffects Effects;
  Claimant_.wakeAfterPause(Now, Effects);
  apply(Effects);
}

void ClaimsPart::tick(TimePoint Now) {
  checkPause(Now);
  Witness_.setWallClock(Now, static_cast<std::int64_t>(wallMicroseconds() / 1000));
  updateHosts(Now);
  send(Witness_.tick(Now));
  ClaimEffects Effects;
  Claimant_.tick(Now, Effects);
  apply(Effects);
  endRedirects([&](const Redirect &Item) { return Now >= Item.Deadline_; }, Refusal::TimedOut);
}

void ClaimsPart::begin(const Call &Request, std::optional<Incarnation> Redirected,
                       DecisionCallback Done) {
  const TimePoint Now = now();
  checkPause(Now);
  ClaimEffects Effects;
  const ClaimId Id =
      Claimant_.begin(Now, keyOf(Request), hashOf(Request.Target_ + "\n" + Request.Body_.str()),
                      Effects, Redirected);
  Waiting_.emplace(Id, Waiting{std::move(Done), Request});
  apply(Effects);
}

bool ClaimsPart::stillValid(ClaimId Id) {
  const TimePoint Now = now();
  checkPause(Now);
  return Claimant_.stillValid(Now, Id);
}

void ClaimsPart::finished(ClaimId Id, const Answer &Result) {
  ClaimEffects Effects;
  Claimant_.finished(now(), Id, Result, Effects);
  apply(Effects);
}

void ClaimsPart::apply(const ClaimEffects &Effects) {
  for (const ClaimEffect &Effect : Effects) {
    if (const auto *Message = std::get_if<ClaimSend>(&Effect))
      sendOne(*Message);
    else
      decide(std::get<ClaimDecided>(Effect));
  }
}

void ClaimsPart::decide(const ClaimDecided &Item) {
  if (std::holds_alternative<ClaimWait>(Item.Decision_))
    return;
  const auto Found = Waiting_.find(Item.Id_);
  if (Found == Waiting_.end())
    return;
  Waiting Entry = std::move(Found->second);
  Waiting_.erase(Found);
  if (const auto *Target = std::get_if<ClaimRedirect>(&Item.Decision_)) {
    redirect(Item.Id_, std::move(Entry), *Target);
    return;
  }
  std::optional<Answer> Given;
  if (const auto *Refuse = std::get_if<ClaimRefuse>(&Item.Decision_))
    Given = Answer::refused(Entry.Call_.Id_, Refuse->Refusal_);
  if (const auto *Replay = std::get_if<ClaimReplay>(&Item.Decision_)) {
    Given = Replay->Answer_;
    Given->Id_ = Entry.Call_.Id_;
    Given->Levels_.clear();
  }
  Entry.Done_(Item.Id_, std::move(Given));
}

void ClaimsPart::redirect(ClaimId Id, Waiting Item, const ClaimRedirect &Target) {
  const CallId Number = ++LastRedirect_;
  const Duration TimeLeft = Item.Call_.TimeLeft_;
  Redirects_[Number] = {std::move(Item.Done_), Id, Item.Call_.Id_,
                        Target.Host_,          0,  now() + TimeLeft};
  Item.Call_.Id_ = Number;
  Links_.send(Target.Host_, MessageKind::Claims,
              json::array({RedirectedCall, Target.Incarnation_, Item.Call_}),
              [this, Number](LinkId Link) {
                const auto Found = Redirects_.find(Number);
                if (Found == Redirects_.end())
                  return;
                Found->second.Link_ = Link;
                if (Link == 0)
                  endRedirect(Number, Answer::refused(Number, Refusal::OutcomeUnknown));
              });
}

void ClaimsPart::endRedirect(CallId Number, Answer Result) {
  const auto Found = Redirects_.find(Number);
  if (Found == Redirects_.end())
    return;
  const Redirect Item = std::move(Found->second);
  Redirects_.erase(Found);
  Result.Id_ = Item.Call_;
  Item.Done_(Item.Claim_, std::move(Result));
}

template <typename Predicate> void ClaimsPart::endRedirects(Predicate Matches, Refusal Reason) {
  std::vector<CallId> Ended;
  for (const auto &[Number, Item] : Redirects_)
    if (Matches(Item))
      Ended.push_back(Number);
  for (const CallId Number : Ended)
    endRedirect(Number, Answer::refused(Number, Reason));
}

void ClaimsPart::onRedirected(const Peer &From, const json &Body) {
  Call Request = Body.at(2).get<Call>();
  const CallId Number = Request.Id_;
  if (OnRedirected_)
    OnRedirected_(From.Host_, std::move(Request), Body.at(1).get<Incarnation>(),
                  [this, Number, Host = From.Host_](Answer Result) {
                    Result.Id_ = Number;
                    Links_.send(Host, MessageKind::Claims, json::array({RedirectedAnswer, Result}));
                  });
}

void ClaimsPart::onMessage(const Peer &From, const json &Body) {
  checkPause(now());
  const auto Index = Body.at(0).get<std::size_t>();
  if (Index == RedirectedCall) {
    onRedirected(From, Body);
  } else if (Index == RedirectedAnswer) {
    const Answer Result = Body.at(1).get<Answer>();
    const auto Found = Redirects_.find(Result.Id_);
    if (Found != Redirects_.end() && Found->second.Host_ == From.Host_)
      endRedirect(Result.Id_, Result);
  } else {
    ClaimMessage Message = decodeClaim(Body);
    if (auto *Reply = std::get_if<HandoverReply>(&Message)) {
      const json &Place = Body.at(2);
      const auto Whole = Assembler_.add(
          From.Host_, {Place.at(0).get<std::uint64_t>(), Place.at(1).get<std::size_t>(),
                       Place.at(2).get<std::size_t>(), std::move(*Reply)});
      if (Whole)
        deliver(From.Host_, *Whole);
    } else {
      deliver(From.Host_, Message);
    }
  }
}

void ClaimsPart::deliver(const HostId &From, const ClaimMessage &Message) {
  const TimePoint Now = now();
  if (isForClaimant(Message)) {
    ClaimEffects Effects;
    Claimant_.handle(Now, From, Message, Effects);
    apply(Effects);
    return;
  }
  if (const auto *Request = std::get_if<HandoverRequest>(&Message)) {
    if (isAnsweredRecently(From, *Request, Now))
      return;
    LastHandoverAt_ = Now;
  }
  send(Witness_.handle(Now, From, Message));
}

void ClaimsPart::send(const std::vector<ClaimSend> &Sends) {
  for (const ClaimSend &Item : Sends)
    sendOne(Item);
}

void ClaimsPart::sendOne(const ClaimSend &Item) {
  if (Item.To_ == Config_.Host_)
    deliver(Item.To_, Item.Message_);
  else if (const auto *Reply = std::get_if<HandoverReply>(&Item.Message_))
    sendReply(Item.To_, *Reply);
  else
    Links_.send(Item.To_, MessageKind::Claims, encodeClaim(Item.Message_));
}

void ClaimsPart::sendReply(const HostId &To, const HandoverReply &Reply) {
  if (Reply.Entries_.size() >= LargeReplyEntries)
    LargeReplyTimes_[{To, Reply.Slot_, Reply.Fence_}] = now();
  for (const HandoverPiece &Piece : splitHandover(Reply, ++LastReply_, EntriesPerMessage)) {
    json Body = encodeClaim(Piece.Reply_);
    Body.push_back(json::array({Piece.Number_, Piece.Index_, Piece.Count_}));
    Links_.send(To, MessageKind::Claims, std::move(Body));
  }
}

bool ClaimsPart::isAnsweredRecently(const HostId &From, const HandoverRequest &Request,
                                    TimePoint Now) {
  const auto Found = LargeReplyTimes_.find({From, Request.Slot_, Request.Fence_});
  if (Found == LargeReplyTimes_.end())
    return false;
  if (Now - Found->second < LargeReplyInterval)
    return true;
  LargeReplyTimes_.erase(Found);
  return false;
}

bool ClaimsPart::isHandedOver(TimePoint Now) const {
  return Now - std::max(LastListChangeAt_, LastHandoverAt_) >= HandoverQuietTime;
}

json ClaimsPart::dump() const {
  const TimePoint Now = now();
  const WitnessDump Votes = Witness_.dump(Now);
  const ClaimantDump Claims = Claimant_.dump();
  const ClaimSettings &Given = Config_.Claims_;
  const TimePoint KnowsFrom = FirstListAt_ + Given.Grace_;
  const bool CanVote = ListRevision_ != 0 && Votes.Fresh_;
  return {
      {"enabled", Config_.isEnabled(Mechanism::Claims)},
      {"list_revision", ListRevision_},
      {"accepts_new_keys", CanVote && Now >= KnowsFrom + Given.Skew_},
      {"accepts_all_keys", CanVote && Now >= KnowsFrom + Given.Lifetime_ + Given.DispatchWindow_},
      {"witness",
       {{"entries", Votes.Entries_},
        {"slots", Votes.Slots_},
        {"inherited", Votes.Inherited_},
        {"fresh", Votes.Fresh_},
        {"granted", Votes.Granted_},
        {"taken", Votes.Taken_},
        {"abstained", Votes.Abstained_}}},
      {"claimant",
       {{"entries", Claims.Entries_},
        {"stored_bytes", Claims.StoredBytes_},
        {"dispatched", Claims.Dispatched_},
        {"refused", Claims.Refused_},
        {"replayed", Claims.Replayed_},
        {"redirected", Claims.Redirected_}}},
      {"waiting", Waiting_.size()},
      {"redirects", Redirects_.size()}};
}

} // namespace bronzestand::node
