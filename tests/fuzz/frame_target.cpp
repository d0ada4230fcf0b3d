#include "fuzz/targets.h"

#include <algorithm>
#include <stdexcept>
#include <variant>

#include "mesh/codec_fleet_state.h"
#include "mesh/codec_team_shares.h"
#include "node/codec_call.h"
#include "node/codec_quarantine.h"
#include "node/envelope.h"
#include "node/link_codec.h"

namespace bronzestand::fuzz {
namespace {

using nlohmann::json;
using node::DecodedFrame;
using node::Envelope;
using node::FrameDecoder;
using node::FrameEncoder;
using node::MessageKind;

/// Calls the decoders that the parts of a node use for the body of a message. They may throw
/// nlohmann::json::exception, after which the message is dropped; anything else ends the process.
void readBody(const Envelope &Message) {
  const json &Body = Message.Body_;
  switch (Message.Kind_) {
  case MessageKind::Call:
    (void)Body.get<Call>();
    break;
  case MessageKind::Answer:
    (void)Body.get<Answer>();
    break;
  case MessageKind::Cancel:
    (void)Body.get<CallId>();
    break;
  case MessageKind::Heartbeat:
    (void)Body.get<unsigned>();
    break;
  case MessageKind::RouteHealth:
    (void)decodeRouteStates(Body);
    break;
  case MessageKind::Quarantine:
    (void)decodeQuarantine(Body);
    break;
  case MessageKind::ConfigSpread:
    (void)node::decodeFleetState(Body);
    break;
  case MessageKind::TeamLimits:
    (void)node::decodeTeamShares(Body);
    break;
  default:
    break;
  }
}

bool areEqual(const Envelope &A, const Envelope &B) {
  // By their bytes, because a value that is not a number differs from itself.
  return A.Kind_ == B.Kind_ && A.Epoch_ == B.Epoch_ && A.Sender_ == B.Sender_ &&
         A.Incarnation_ == B.Incarnation_ && json::to_cbor(A.Body_) == json::to_cbor(B.Body_);
}

/// Frames of one link, in order: each has two bytes of length (most significant first) and its
/// bytes. What is decoded must stay the same when it is encoded and decoded again.
class FrameTarget final : public Target {
public:
  std::string run(const std::string &Input, Mutator & /*Choice*/) override {
    Link State;
    std::string_view Left = Input;
    while (Left.size() >= 2) {
      const std::size_t Stated = static_cast<std::size_t>(static_cast<unsigned char>(Left[0]))
                                     << 8U |
                                 static_cast<unsigned char>(Left[1]);
      Left.remove_prefix(2);
      const std::string Frame(Left.substr(0, Stated));
      Left.remove_prefix(Frame.size());
      bool Ended = false;
      std::string Fault =
          FrameDecoder::isShort(Frame) ? runShort(Frame, State, Ended) : runLong(Frame, Ended);
      if (Ended || !Fault.empty())
        return Fault;
    }
    return "";
  }

private:
  /// What the ends of a link hold.
  struct Link {
    FrameDecoder Received_;
    node::RepeatingHeaders Repeating_;
    FrameEncoder Again_{Repeating_};
    FrameDecoder Decoded_;
  };

  static std::string runLong(const std::string &Frame, bool &Ended) {
    const auto Message = node::decode(Frame);
    if (!Message) {
      Ended = true;
      return "";
    }
    const auto Again = node::decode(node::encode(*Message));
    if (!Again || !areEqual(*Message, *Again))
      return "message changes when it is encoded again";
    return body(*Message);
  }

  static std::string runShort(const std::string &Frame, Link &State, bool &Ended) {
    auto Result = State.Received_.decode(Frame);
    const auto *Received = std::get_if<DecodedFrame>(&Result);
    if (Received == nullptr) {
      Ended = true; // the two ends no longer hold the same, so the link ends
      return "";
    }
    const Envelope &Message = Received->Message_;
    std::string Encoded;
    if (State.Again_.encode(Message.Kind_, Received->Repeated_, Message.Epoch_, Message.Body_,
                            Encoded)) {
      State.Again_.commit();
      auto Again = State.Decoded_.decode(Encoded);
      const auto *Same = std::get_if<DecodedFrame>(&Again);
      if (Same == nullptr || !areEqual(Message, Same->Message_) ||
          Same->Repeated_ != Received->Repeated_)
        return "short frame changes when it is encoded again";
    } else {
      State.Again_.rollback();
    }
    return body(Message);
  }

  static std::string body(const Envelope &Message) {
    try {
      readBody(Message);
    } catch (const json::exception &) {
      return ""; // the message is dropped
    } catch (const std::exception &Failure) {
      return std::string(node::messageKindName(Message.Kind_)) + " throws: " + Failure.what();
    }
    return "";
  }
};

} // namespace

std::unique_ptr<Target> makeFrameTarget() { return std::make_unique<FrameTarget>(); }

} // namespace bronzestand::fuzz
