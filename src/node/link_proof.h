#ifndef BRONZESTAND_NODE_LINK_PROOF_H
#define BRONZESTAND_NODE_LINK_PROOF_H

#include <string>

namespace bronzestand::node {

/// Returns 16 random bytes as hexadecimal digits. Each proof covers a new nonce, which prevents
/// replay of earlier proofs.
std::string makeNonce();

/// Computes the HMAC-SHA256 of a text, as hexadecimal digits.
std::string makeMac(const std::string &Secret, const std::string &Text);

/// Compares two MACs in constant time, to prevent timing attacks.
bool equalMacs(const std::string &A, const std::string &B);

} // namespace bronzestand::node

#endif
