#include "node/router.h"

#include <algorithm>
#include <charconv>

#include <boost/algorithm/string/predicate.hpp>
#include <xxhash.h>

#include "bronzestand/rendezvous.h"
#include "node/clock.h"
#include "node/codec_call.h"
#include "node/routed_call.h"

namespace bronzestand::node {
namespace {

constexpr std::size_t MaxIdempotencyKey = 128;

std::optional<Duration> parseDeadline(const std::string &Text) {
  std::int64_t Count = 0;
  const char *End = Text.data() + Text.size();
  const auto Result = std::from_chars(Text.data(), End, Count);
  if (Result.ec != std::errc() || Result.ptr != End || Count < 0 || Count > 3'600'000)
    return std::nullopt;
  return std::chrono::milliseconds(Count);
}

bool isIdempotencyKey(const std::string &Text) {
  return !Text.empty() && Text.size() <= MaxIdempotencyKey &&
         std::all_of(Text.begin(), Text.end(), [](char C) { return C > ' ' && C <= '~'; });
}

std::uint64_t fingerprintOf(const TeamId &Team, const RouteSpec &Route, const std::string &Body) {
  const std::string Text = Team.str() + "\n" + Route.Method_ + Route.Path_ + "\n" + Body;
  return XXH3_64bits(Text.data(), Text.size());
}

} // namespace

Router::Router(const Parts &Environment, Incarnation Run)
    : Env_(Environment), Run_(Run), Log_(makeLogger("router")),
      // Ids start at the incarnation, so that no late answer matches a call of a later run.
      LastCall_(Run) {}
Router::~Router() = default;

absl::Status Router::start() {
  Env_.Links_.setHandler(MessageKind::Answer, [this](const Peer &From, const nlohmann::json &Body) {
    onAnswer(From.Host_, Body.get<Answer>());
  });
  Env_.Links_.addLinkUp([this](const Peer &Other) { LinkRuns_[Other.Link_] = Other.Incarnation_; });
  Env_.Links_.addLinkDown([this](const HostId &Host, LinkId Link) { onLinkDown(Host, Link); });
  Env_.Executor_.setAbandoned([this](const CallContext &Parent) {
    std::vector<RoutedCallPtr> Items;
    for (const auto &[Id, Item] : Running_)
      if (Item->parent() == &Parent)
        Items.push_back(Item);
    for (const RoutedCallPtr &Item : Items)
      Item->cancel();
  });
  return absl::OkStatus();
}

void Router::abort() {
  std::vector<RoutedCallPtr> Items;
  for (const auto &[Id, Item] : Running_)
    Items.push_back(Item);
  for (const RoutedCallPtr &Item : Items)
    Item->abort();
}

void Router::stop() { Running_.clear(); }

void Router::handleCaller(HttpRequest Request, const HttpExchangePtr &Exchange) {
  Call Partial;
  Partial.Request_ = RequestId(randomToken());
  const auto Refuse = [&](Refusal Reason) {
    ++Outcomes_[std::string(refusalInfo(Reason).Name_)];
    Exchange->respond(refusalResponse(Reason, Partial.Request_));
  };
  const TakenKey Taken = takeKey(Request);
  if (Draining_)
    return Refuse(Refusal::ShuttingDown);
  if (!Env_.Documents_.isReady())
    return Refuse(Refusal::NotReady);
  const Catalogue &Documents = Env_.Documents_.catalogue();
  const RouteSpec *Route = Documents.matchRoute(Request.Method_, pathOf(Request.Target_));
  if (Route == nullptr)
    return Refuse(Refusal::RouteUnknown);
  const ClassSpec *Class = Documents.findClass(Route->Class_);
  if (Class == nullptr)
    return Refuse(Refusal::NotReady);
  if (!Class->Open_) {
    if (Taken.Ambiguous_)
      return Refuse(Refusal::KeyAmbiguous);
    if (!Taken.Key_)
      return Refuse(Refusal::KeyMissing);
    const auto Owner = Env_.Documents_.keys().authenticate(*Taken.Key_);
    if (!Owner)
      return Refuse(Refusal::KeyUnknown);
    Partial.Team_ = Owner->Team_;
    Partial.KeyId_ = Owner->KeyId_;
  }
  Partial.TimeLeft_ = Class->Within_;
  Partial.Attempts_ = Class->MaxAttempts_;
  Partial.Standing_ = {Documents.rankOf(Class->Name_), 0};
  route(std::move(Request), Exchange, std::move(Partial), *Route, nullptr);
}

void Router::handleEgress(HttpRequest Request, const HttpExchangePtr &Exchange) {
  const auto Token = findHeader(Request.Headers_, "Bronzestand-Call");
  const auto Parent = Token ? Env_.Contexts_.find(*Token) : nullptr;
  const auto Refuse = [&](Refusal Reason) {
    ++Outcomes_[std::string(refusalInfo(Reason).Name_)];
    Exchange->respond(refusalResponse(Reason, Parent ? Parent->Request_ : RequestId()));
  };
  takeKey(Request);
  if (!Parent)
    return Refuse(Refusal::CallContextMissing);
  const RouteSpec *Route =
      Env_.Documents_.catalogue().matchRoute(Request.Method_, pathOf(Request.Target_));
  if (Route == nullptr)
    return Refuse(Refusal::RouteUnknown);
  if (Parent->AttemptsLeft_ == 0)
    return Refuse(Refusal::AttemptsExhausted);
  Call Partial;
  Partial.Request_ = Parent->Request_;
  Partial.Team_ = Parent->Team_;
  Partial.KeyId_ = Parent->KeyId_;
  Partial.Standing_ = Parent->Standing_;
  Partial.TimeLeft_ = Parent->Deadline_ - now();
  Partial.Attempts_ = std::exchange(Parent->AttemptsLeft_, 0);
  if (!Parent->IdempotencyKey_.empty())
    Partial.IdempotencyKey_ = Parent->IdempotencyKey_ + "/" + std::to_string(++Parent->ChildCalls_);
  route(std::move(Request), Exchange, std::move(Partial), *Route, Parent);
}

void Router::route(HttpRequest Request, const HttpExchangePtr &Exchange, Call Partial,
                   const RouteSpec &Route, const std::shared_ptr<CallContext> &Parent) {
  const auto Refuse = [&](Refusal Reason) {
    if (Parent)
      Parent->AttemptsLeft_ += Partial.Attempts_;
    ++Outcomes_[std::string(refusalInfo(Reason).Name_)];
    Exchange->respond(refusalResponse(Reason, Partial.Request_));
  };
  const ClassSpec *Class = Env_.Documents_.catalogue().findClass(Route.Class_);
  if (Class == nullptr)
    return Refuse(Refusal::NotReady);
  if (const auto Deadline = findHeader(Request.Headers_, "Bronzestand-Deadline-Ms")) {
    const auto Time = parseDeadline(*Deadline);
    if (!Time)
      return Refuse(Refusal::BadRequest);
    Partial.TimeLeft_ = std::min(Partial.TimeLeft_, *Time);
  }
  if (Partial.TimeLeft_ <= Duration::zero())
    return Refuse(Refusal::DeadlineTooShort);
  Partial.AtMostOnce_ = Class->AtMostOnce_;
  Partial.Idempotent_ = Route.Idempotent_;
  if (const auto Key = findHeader(Request.Headers_, "Idempotency-Key")) {
    if (!isIdempotencyKey(*Key))
      return Refuse(Refusal::BadRequest);
    Partial.IdempotencyKey_ = *Key;
  }
  if (Partial.AtMostOnce_ && Partial.IdempotencyKey_.empty())
    return Refuse(Refusal::IdempotencyKeyMissing);
  removeNodeHeaders(Request);
  Partial.Id_ = ++LastCall_;
  Partial.Class_ = Route.Class_;
  Partial.Service_ = Route.Service_;
  Partial.Fingerprint_ = fingerprintOf(Partial.Team_, Route, Request.Body_);
  Partial.Method_ = std::move(Request.Method_);
  Partial.Target_ = std::move(Request.Target_);
  Partial.Headers_ = std::move(Request.Headers_);
  Partial.Body_ = std::move(Request.Body_);
  const CallId Id = Partial.Id_;
  const RoutedCallPtr Item(new RoutedCall(*this, std::move(Partial), Exchange, Parent));
  Running_.emplace(Id, Item);
  Item->start();
}

HostId Router::chooseHost(const Call &Request, const std::set<HostId> &Excluded) const {
  std::vector<HostId> Candidates;
  for (const auto &[Name, List] : Env_.Documents_.catalogue().hostLists()) {
    if (List.Service_ != Request.Service_)
      continue;
    for (const HostSpec &Host : List.Hosts_)
      if (!Host.Leaving_ && Excluded.count(Host.Id_) == 0 && !Env_.Leaving_.isLeaving(Host.Id_) &&
          !(Draining_ && Host.Id_ == Env_.Config_.Host_))
        Candidates.push_back(Host.Id_);
  }
  // Resends of an idempotency key go to the same host while the list stays the same.
  const std::string Key =
      Request.AtMostOnce_ ? Request.IdempotencyKey_ : std::to_string(Request.Id_);
  const auto Best = topHosts(Key, Candidates, 1);
  return Best.empty() ? HostId() : Best.front();
}

void Router::finished(CallId Id) { Running_.erase(Id); }

void Router::onAnswer(const HostId &From, const Answer &Result) {
  if (Result.Leaving_)
    Env_.Leaving_.onNotice(From);
  const auto Found = Running_.find(Result.Id_);
  if (Found == Running_.end())
    return;
  const RoutedCallPtr Item = Found->second;
  if (Item->host() == From)
    Item->onAnswer(Result);
}

void Router::onLinkDown(const HostId &Host, LinkId Link) {
  std::vector<RoutedCallPtr> Items;
  for (const auto &[Id, Item] : Running_)
    Items.push_back(Item);
  for (const RoutedCallPtr &Item : Items)
    Item->onLinkDown(Host);
  LinkRuns_.erase(Link);
}

nlohmann::json Router::dump() const {
  return {{"running", Running_.size()}, {"outcomes", Outcomes_}, {"draining", Draining_}};
}

} // namespace bronzestand::node
