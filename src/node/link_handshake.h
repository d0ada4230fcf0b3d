#ifndef BRONZESTAND_NODE_LINK_HANDSHAKE_H
#define BRONZESTAND_NODE_LINK_HANDSHAKE_H

#include <optional>
#include <string>

#include "node/envelope.h"
#include "node/link_table.h"
#include "node/settings.h"

namespace bronzestand::node {

/// Authenticates both ends of a link with the secret that the fleet shares (design section 11). The
/// accepting side sends a challenge, the opening side its proof, the accepting side its own.
///
/// Errors: a JSON exception if a message lacks a member. Cost: constant.
class LinkHandshake {
public:
  enum class Outcome {
    Waits,    ///< for the next message of the other end
    Complete, ///< the other end is authenticated: call complete()
    Failed,   ///< the link must be closed
  };
  struct Step {
    Outcome Outcome_ = Outcome::Failed;
    /// Message that must be sent before the outcome takes effect.
    std::optional<std::pair<MessageKind, nlohmann::json>> Reply_;
  };

  LinkHandshake(const Settings &Config, Incarnation Run) : Config_(Config), Run_(Run) {}

  /// Announces in later handshakes that this host leaves the fleet.
  void setLeaving() { Leaving_ = true; }
  void disableShortFrames() { OffersShort_ = false; }

  /// Returns the body of the first message, which the accepting side sends.
  static nlohmann::json challenge(const Link &Item) { return {{"nonce", Item.OwnNonce_}}; }
  /// Takes a message of the other end.
  Step next(Link &Item, const Envelope &Message) const;
  /// Opens a link whose other end is authenticated by the last message.
  void complete(Link &Item, const Envelope &Message) const;

private:
  nlohmann::json withOffer(nlohmann::json Body) const;
  std::string ownMac(const Link &Item) const;
  bool isMacValid(const Link &Item, const Envelope &Message) const;

  const Settings &Config_;
  Incarnation Run_;
  bool Leaving_ = false;
  bool OffersShort_ = true;
};

} // namespace bronzestand::node

#endif
