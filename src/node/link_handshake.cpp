#include "node/link_handshake.h"

#include "node/link_proof.h"

namespace bronzestand::node {
namespace {

using nlohmann::json;

/// Text covered by the MAC of one side: both nonces, its host, incarnation and role. The role
/// prevents reflection of a MAC to the side that computed it.
std::string proofText(const Link &Item, const HostId &Host, Incarnation Run, bool Opener) {
  const std::string &First = Item.Outgoing_ ? Item.OwnNonce_ : Item.PeerNonce_;
  const std::string &Second = Item.Outgoing_ ? Item.PeerNonce_ : Item.OwnNonce_;
  return First + Second + Host.str() + "/" + std::to_string(Run) + (Opener ? "/open" : "/accept");
}

} // namespace

LinkHandshake::Step LinkHandshake::next(Link &Item, const Envelope &Message) const {
  if (Item.Outgoing_ && Message.Kind_ == MessageKind::Challenge) {
    Item.PeerNonce_ = Message.Body_.at("nonce").get<std::string>();
    return {
        Outcome::Waits,
        {{MessageKind::Proof,
          withOffer({{"nonce", Item.OwnNonce_}, {"mac", ownMac(Item)}, {"leaving", Leaving_}})}}};
  }
  if (!Item.Outgoing_ && Message.Kind_ == MessageKind::Proof) {
    Item.PeerNonce_ = Message.Body_.at("nonce").get<std::string>();
    if (isMacValid(Item, Message))
      return {Outcome::Complete,
              {{MessageKind::Accepted, withOffer({{"mac", ownMac(Item)}, {"leaving", Leaving_}})}}};
  }
  if (Item.Outgoing_ && Message.Kind_ == MessageKind::Accepted && isMacValid(Item, Message) &&
      (Item.Target_.empty() || Item.Target_ == Message.Sender_))
    return {Outcome::Complete, std::nullopt};
  return {};
}

void LinkHandshake::complete(Link &Item, const Envelope &Message) const {
  Item.Short_ = OffersShort_ && Message.Body_.value("short_frames", 0U) != 0;
  Item.Open_ = true;
  Item.Peer_ = {Message.Sender_, Message.Incarnation_, Message.Epoch_, Item.Id_,
                Message.Body_.at("leaving").get<bool>()};
}

json LinkHandshake::withOffer(json Body) const {
  if (OffersShort_)
    Body["short_frames"] = LinkCodecVersion;
  return Body;
}

std::string LinkHandshake::ownMac(const Link &Item) const {
  return makeMac(Config_.PeerSecret_, proofText(Item, Config_.Host_, Run_, Item.Outgoing_));
}

bool LinkHandshake::isMacValid(const Link &Item, const Envelope &Message) const {
  const std::string Expected = makeMac(
      Config_.PeerSecret_, proofText(Item, Message.Sender_, Message.Incarnation_, !Item.Outgoing_));
  return equalMacs(Expected, Message.Body_.at("mac").get<std::string>());
}

} // namespace bronzestand::node
