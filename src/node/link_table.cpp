#include "node/link_table.h"

#include <algorithm>

#include "node/clock.h"
#include "node/link_proof.h"

namespace bronzestand::node {

Link &LinkTable::add(const ConnectionHandle &Handle, bool Outgoing, const HostId &Target) {
  Link &Item = Links_[++Last_];
  Item.Id_ = Last_;
  Item.Handle_ = Handle;
  Item.Outgoing_ = Outgoing;
  Item.Target_ = Target;
  Item.OwnNonce_ = makeNonce();
  Item.Created_ = Item.LastUsed_ = now();
  ByHandle_[Handle] = Item.Id_;
  return Item;
}

std::optional<Link> LinkTable::take(LinkId Id) {
  const auto Found = Links_.find(Id);
  if (Found == Links_.end())
    return std::nullopt;
  Link Item = std::move(Found->second);
  Links_.erase(Found);
  ByHandle_.erase(Item.Handle_);
  const auto ByHost = ByHost_.find(Item.Peer_.Host_.str());
  if (ByHost != ByHost_.end() && ByHost->second == Id) {
    ByHost_.erase(ByHost);
    for (const auto &[OtherId, Other] : Links_)
      if (Other.Open_ && Other.Peer_.Host_ == Item.Peer_.Host_)
        select(Other);
  }
  return Item;
}

const Link *LinkTable::find(LinkId Id) const {
  const auto Found = Links_.find(Id);
  return Found == Links_.end() ? nullptr : &Found->second;
}

Link *LinkTable::findOpen(const HostId &Host) {
  const auto Found = ByHost_.find(Host.str());
  if (Found == ByHost_.end())
    return nullptr;
  const auto Item = Links_.find(Found->second);
  return Item == Links_.end() ? nullptr : &Item->second;
}

Link *LinkTable::findByHandle(const ConnectionHandle &Handle) {
  const auto Found = ByHandle_.find(Handle);
  return Found == ByHandle_.end() ? nullptr : &Links_.at(Found->second);
}

const Link *LinkTable::leastUsed() const {
  const Link *Found = nullptr;
  for (const auto &[Id, Item] : Links_)
    if (Item.Open_ && (Found == nullptr || Item.LastUsed_ < Found->LastUsed_))
      Found = &Item;
  return Found;
}

std::size_t LinkTable::size() const {
  return static_cast<std::size_t>(
      std::count_if(Links_.begin(), Links_.end(), [](const auto &Entry) {
        return Entry.second.Open_ || Entry.second.Outgoing_;
      }));
}

} // namespace bronzestand::node
