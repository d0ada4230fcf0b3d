#include "node/call_contexts.h"

#include <array>
#include <iterator>
#include <utility>

#include <boost/algorithm/hex.hpp>
#include <openssl/rand.h>

namespace bronzestand::node {

std::string randomToken() {
  std::array<unsigned char, 16> Bytes{};
  RAND_bytes(Bytes.data(), static_cast<int>(Bytes.size()));
  std::string Text;
  boost::algorithm::hex_lower(Bytes.begin(), Bytes.end(), std::back_inserter(Text));
  return Text;
}

void CallContext::cancelChildren() {
  const auto Cancels = std::exchange(CancelChild_, {});
  for (const auto &[Id, Cancel] : Cancels)
    Cancel();
}

std::string CallContexts::add(CallContext Context) {
  std::string Token = randomToken();
  ByToken_.emplace(Token, std::make_shared<CallContext>(std::move(Context)));
  return Token;
}

std::shared_ptr<CallContext> CallContexts::find(const std::string &Token) const {
  const auto Found = ByToken_.find(Token);
  return Found == ByToken_.end() ? nullptr : Found->second;
}

std::shared_ptr<CallContext> CallContexts::remove(const std::string &Token) {
  const auto Found = ByToken_.find(Token);
  if (Found == ByToken_.end())
    return nullptr;
  auto Context = std::move(Found->second);
  ByToken_.erase(Found);
  return Context;
}

} // namespace bronzestand::node
