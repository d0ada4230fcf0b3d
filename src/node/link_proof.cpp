#include "node/link_proof.h"

#include <array>
#include <iterator>

#include <boost/algorithm/hex.hpp>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

namespace bronzestand::node {
namespace {

constexpr std::size_t NonceBytes = 16;

std::string hex(const unsigned char *Data, std::size_t Size) {
  std::string Text;
  boost::algorithm::hex_lower(Data, Data + Size, std::back_inserter(Text));
  return Text;
}

} // namespace

std::string makeNonce() {
  std::array<unsigned char, NonceBytes> Bytes{};
  RAND_bytes(Bytes.data(), static_cast<int>(Bytes.size()));
  return hex(Bytes.data(), Bytes.size());
}

std::string makeMac(const std::string &Secret, const std::string &Text) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> Digest{};
  unsigned Size = 0;
  HMAC(EVP_sha256(), Secret.data(), static_cast<int>(Secret.size()),
       reinterpret_cast<const unsigned char *>(Text.data()), Text.size(), Digest.data(), &Size);
  return hex(Digest.data(), Size);
}

bool equalMacs(const std::string &A, const std::string &B) {
  return A.size() == B.size() && CRYPTO_memcmp(A.data(), B.data(), A.size()) == 0;
}

} // namespace bronzestand::node
