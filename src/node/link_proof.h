#ifndef BRONZESTAND_NODE_LINK_PROOF_H
#define BRONZESTAND_NODE_LINK_PROOF_H

#include <string>

namespace bronzestand::node {

/// Random text that a proof must cover, so that an earlier proof is of no use.
std::string makeNonce();

/// HMAC-SHA256 as hexadecimal digits.
std::string makeMac(const std::string &Secret, const std::string &Text);

/// Compares in constant time.
bool equalMacs(const std::string &A, const std::string &B);

} // namespace bronzestand::node

#endif
