#include "node/link_counters.h"

namespace bronzestand::node {

void LinkCounters::count(Link &Item, LinkBytes::Direction Way, MessageKind Kind, bool Repeated,
                         std::size_t Bytes) {
  const bool IsSent = Way == LinkBytes::Direction::Sent;
  KindCounter &Counter = (IsSent ? Sent_ : Received_)[static_cast<std::size_t>(Kind)];
  ++Counter.Messages_;
  Counter.Bytes_ += Bytes;
  if (!Item.Open_) {
    (IsSent ? Item.Handshake_.Sent_ : Item.Handshake_.Received_) += Bytes;
    return;
  }
  // A host may be listed after its link has opened.
  if (Item.Distance_ == LinkDistance::Unknown && Distance_)
    Item.Distance_ = Distance_(Item.Peer_.Host_);
  Bytes_.add(Way, trafficKindOf(Kind, Repeated), Item.Distance_, Bytes);
}

void LinkCounters::handshakeEnded(Link &Item) {
  if (Item.Open_ && Distance_)
    Item.Distance_ = Distance_(Item.Peer_.Host_);
  Bytes_.add(LinkBytes::Direction::Sent, TrafficKind::Control, Item.Distance_,
             Item.Handshake_.Sent_);
  Bytes_.add(LinkBytes::Direction::Received, TrafficKind::Control, Item.Distance_,
             Item.Handshake_.Received_);
}

void LinkCounters::dump(nlohmann::json &Result) const {
  Result["bytes_by_distance"] = Bytes_.dump();
  for (std::size_t Index = 0; Index < MessageKindCount; ++Index) {
    const auto Name = std::string(messageKindName(static_cast<MessageKind>(Index)));
    Result["sent"][Name] = {{"messages", Sent_[Index].Messages_}, {"bytes", Sent_[Index].Bytes_}};
    Result["received"][Name] = {{"messages", Received_[Index].Messages_},
                                {"bytes", Received_[Index].Bytes_}};
  }
}

} // namespace bronzestand::node
