#include "node/router.h"

#include <algorithm>
#include <charconv>

#include "bronzestand/quarantine.h"
#include "node/clock.h"
#include "node/codec_call.h"
#include "node/routed_call.h"

namespace bronzestand::node {
namespace {

constexpr std::size_t MaxIdempotencyKeyLength = 128;

std::optional<Duration> parseDeadline(const std::string &Text) {
  std::int64_t Count = 0;
  const char *End = Text.data() + Text.size();
  const auto Result = std::from_chars(Text.data(), End, Count);
  if (Result.ec != std::errc() || Result.ptr != End || Count < 0 || Count > 3'600'000)
    return std::nullopt;
  return std::chrono::milliseconds(Count);
}

bool isIdempotencyKey(const std::string &Text) {
  return !Text.empty() && Text.size() <= MaxIdempotencyKeyLength &&
         std::all_of(Text.begin(), Text.end(), [](char C) { return C > ' ' && C <= '~'; });
}

} // namespace

Router::Router(const Parts &Environment, Incarnation OwnIncarnation)
    : Env_(Environment), OwnIncarnation_(OwnIncarnation), Log_(makeLogger("router")),
      // Ids start at the incarnation, so that a late answer to a call made before a restart never
      // matches a call made after it.
      LastCall_(OwnIncarnation) {}
Router::~Router() = default;

absl::Status Router::start() {
  Env_.Links_.setHandler(MessageKind::Answer, [this](const Peer &From, const nlohmann::json &Body) {
    const auto Result = Body.get<Answer>();
    if (Result.Leaving_)
      Env_.Members_.noteLeaving(From);
    Env_.Hosts_.observe(From.Host_, From.Incarnation_, Result.Leaving_);
    onAnswer(From.Host_, Result);
  });
  Env_.Links_.addLinkUp([this](const Peer &Other) {
    LinkIncarnations_[Other.Link_] = Other.Incarnation_;
    Env_.Hosts_.observe(Other.Host_, Other.Incarnation_, false);
  });
  Env_.Links_.addLinkDown([this](const HostId &Host, LinkId Link) { onLinkDown(Host, Link); });
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
  const RouteSpec *Route = nullptr;
  const auto Refuse = [&](Refusal Reason) {
    recordRefusal(Request, Partial, Route, false, Reason);
    Exchange->respond(refusalResponse(Reason, Partial.Request_));
  };
  const TakenKey ExtractedKey = takeKey(Request);
  if (Draining_)
    return Refuse(Refusal::ShuttingDown);
  if (!Env_.Documents_.isReady())
    return Refuse(Refusal::NotReady);
  const Catalogue &Documents = Env_.Documents_.catalogue();
  Route = Documents.matchRoute(Request.Method_, pathOf(Request.Target_));
  if (Route == nullptr)
    return Refuse(Refusal::RouteUnknown);
  const ClassSpec *Class = Documents.findClass(Route->Class_);
  if (Class == nullptr)
    return Refuse(Refusal::NotReady);
  if (!Class->Open_) {
    if (ExtractedKey.Ambiguous_)
      return Refuse(Refusal::KeyAmbiguous);
    if (!ExtractedKey.Key_)
      return Refuse(Refusal::KeyMissing);
    const auto Owner = Env_.Documents_.keys().authenticate(*ExtractedKey.Key_);
    if (!Owner)
      return Refuse(Refusal::KeyUnknown);
    Partial.Team_ = Owner->Team_;
    Partial.KeyId_ = Owner->KeyId_;
  }
  Partial.TimeLeft_ = Class->Within_;
  Partial.Attempts_ = Class->MaxAttempts_;
  const auto Value =
      Env_.Admission_.admit(routeName(*Route), Partial.Team_, Documents.rankOf(Class->Name_),
                            std::hash<RequestId>()(Partial.Request_));
  if (!Value)
    return Refuse(Refusal::Overloaded);
  Partial.Standing_ = *Value;
  route(std::move(Request), Exchange, std::move(Partial), *Route, nullptr);
}

void Router::handleEgress(HttpRequest Request, const HttpExchangePtr &Exchange) {
  const auto Token = findHeader(Request.Headers_, "Bronzestand-Call");
  const auto Parent = Token ? Env_.Contexts_.find(*Token) : nullptr;
  const RouteSpec *Route = nullptr;
  Call Partial;
  if (Parent) {
    Partial.Request_ = Parent->Request_;
    Partial.Team_ = Parent->Team_;
  }
  const auto Refuse = [&](Refusal Reason) {
    recordRefusal(Request, Partial, Route, true, Reason);
    Exchange->respond(refusalResponse(Reason, Partial.Request_));
  };
  takeKey(Request);
  if (!Parent)
    return Refuse(Refusal::CallContextMissing);
  Route = Env_.Documents_.catalogue().matchRoute(Request.Method_, pathOf(Request.Target_));
  if (Route == nullptr)
    return Refuse(Refusal::RouteUnknown);
  Partial.KeyId_ = Parent->KeyId_;
  Partial.Standing_ = Parent->Standing_;
  Partial.TimeLeft_ = Parent->Deadline_ - now();
  if (!Parent->IdempotencyKey_.empty())
    Partial.IdempotencyKey_ = Parent->IdempotencyKey_ + "/" + std::to_string(++Parent->ChildCalls_);
  route(std::move(Request), Exchange, std::move(Partial), *Route, Parent);
}

void Router::route(HttpRequest Request, const HttpExchangePtr &Exchange, Call Partial,
                   const RouteSpec &Route, const std::shared_ptr<CallContext> &Parent) {
  const auto Refuse = [&](Refusal Reason) {
    recordRefusal(Request, Partial, &Route, Parent != nullptr, Reason);
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
  // The fingerprint covers the whole target, because requests without a body on a prefix route
  // differ only in the target.
  Partial.Fingerprint_ =
      fingerprintOf(Request.Method_ + " " + Request.Target_, Partial.Team_, Request.Body_);
  Partial.Method_ = std::move(Request.Method_);
  Partial.Target_ = std::move(Request.Target_);
  Partial.Headers_ = std::move(Request.Headers_);
  Partial.Body_ = std::move(Request.Body_);
  startWithinLimit(std::move(Partial), Exchange, Parent, routeName(Route));
}

HostId Router::chooseHost(const Call &Request, const std::set<HostId> &Excluded) {
  return Env_.Hosts_.choose(Request, Excluded);
}

void Router::record(RequestRecord Record) {
  ++Outcomes_[Record.Refusal_ ? std::string(refusalInfo(*Record.Refusal_).Name_) : "served"];
  Env_.Metrics_.ended(Record);
  Env_.Recent_.add(std::move(Record));
}

void Router::recordRefusal(const HttpRequest &Request, const Call &Partial, const RouteSpec *Route,
                           bool Child, Refusal Reason) {
  RequestRecord Record;
  Record.Request_ = Partial.Request_;
  Record.Team_ = Partial.Team_;
  if (Route != nullptr) {
    Record.Class_ = Route->Class_;
    Record.Service_ = Route->Service_;
  }
  Record.Method_ = Request.Method_;
  Record.Path_ = std::string(pathOf(Request.Target_));
  Record.Child_ = Child;
  Record.Refusal_ = Reason;
  record(std::move(Record));
}

void Router::finished(CallId Id) { Running_.erase(Id); }

void Router::onAnswer(const HostId &From, const Answer &Result) {
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
  LinkIncarnations_.erase(Link);
}

nlohmann::json Router::dump() const {
  return {{"running", Running_.size()},
          {"outcomes", Outcomes_},
          {"draining", Draining_},
          {"hosts", Env_.Hosts_.dump()}};
}

} // namespace bronzestand::node
