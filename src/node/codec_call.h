#ifndef BRONZESTAND_NODE_CODEC_CALL_H
#define BRONZESTAND_NODE_CODEC_CALL_H

#include <nlohmann/json.hpp>

#include "bronzestand/call.h"

namespace bronzestand {

/// CBOR form of calls and answers. Fields are positional, to keep messages small.
void to_json(nlohmann::json &Out, const Header &In);
void from_json(const nlohmann::json &In, Header &Out);
void to_json(nlohmann::json &Out, const ServiceLevel &In);
void from_json(const nlohmann::json &In, ServiceLevel &Out);
void to_json(nlohmann::json &Out, const CrashRecord &In);
void from_json(const nlohmann::json &In, CrashRecord &Out);
void to_json(nlohmann::json &Out, const BackendLoad &In);
void from_json(const nlohmann::json &In, BackendLoad &Out);
void to_json(nlohmann::json &Out, const Call &In);
void from_json(const nlohmann::json &In, Call &Out);
void to_json(nlohmann::json &Out, const Answer &In);
void from_json(const nlohmann::json &In, Answer &Out);

void to_json(nlohmann::json &Out, const ServerFailure &In);
void from_json(const nlohmann::json &In, ServerFailure &Out);
void to_json(nlohmann::json &Out, const RouteState &In);
void from_json(const nlohmann::json &In, RouteState &Out);
void to_json(nlohmann::json &Out, const RootStanding &In);
void from_json(const nlohmann::json &In, RootStanding &Out);

/// Decodes the states that a node tells. Throws nlohmann::json::exception if there are too many.
std::vector<RouteState> decodeRouteStates(const nlohmann::json &In);

/// Decodes the crashes of one fingerprint. Throws nlohmann::json::exception if there are too many.
void decodeCrashes(const nlohmann::json &In, std::vector<CrashRecord> &Out);

template <typename Tag> void to_json(nlohmann::json &Out, const StrongString<Tag> &In) {
  Out = In.str();
}
template <typename Tag> void from_json(const nlohmann::json &In, StrongString<Tag> &Out) {
  Out = StrongString<Tag>(In.get<std::string>());
}

} // namespace bronzestand

#endif
