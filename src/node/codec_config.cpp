#include "node/codec_config.h"

#include "node/codec_call.h"

namespace bronzestand {

using nlohmann::json;

void to_json(json &Out, const ReaderHeartbeat &In) {
  Out = json::array({In.Reader_, In.Run_, In.Sequence_, In.ReadAge_.count(), In.SentAge_.count()});
}

void from_json(const json &In, ReaderHeartbeat &Out) {
  In.at(0).get_to(Out.Reader_);
  In.at(1).get_to(Out.Run_);
  In.at(2).get_to(Out.Sequence_);
  Out.ReadAge_ = Duration(In.at(3).get<Duration::rep>());
  Out.SentAge_ = Duration(In.at(4).get<Duration::rep>());
}

void to_json(json &Out, const DocumentVersion &In) {
  Out = json::array({In.Path_, In.Revision_, In.Refused_});
}

void from_json(const json &In, DocumentVersion &Out) {
  In.at(0).get_to(Out.Path_);
  In.at(1).get_to(Out.Revision_);
  In.at(2).get_to(Out.Refused_);
}

void to_json(json &Out, const Document &In) {
  Out = json::array({In.Path_, In.Revision_, In.Text_ ? json(*In.Text_) : json()});
}

void from_json(const json &In, Document &Out) {
  In.at(0).get_to(Out.Path_);
  In.at(1).get_to(Out.Revision_);
  if (!In.at(2).is_null())
    Out.Text_ = In.at(2).get<std::string>();
}

void to_json(json &Out, const DigestNode &In) { Out = json::array({In.Index_, In.Hash_}); }

void from_json(const json &In, DigestNode &Out) {
  In.at(0).get_to(Out.Index_);
  In.at(1).get_to(Out.Hash_);
}

namespace {

json fields(const ConfigAnnounce &In) { return json::array({0, In.Heartbeats_, In.Versions_}); }
json fields(const ConfigPull &In) { return json::array({1, In.Wanted_}); }
json fields(const ConfigDocuments &In) { return json::array({2, In.Documents_}); }
json fields(const ConfigDigest &In) {
  return json::array({3, In.Heartbeats_, In.Depth_, In.Nodes_, In.SyncedRevision_, In.Ready_,
                      In.Reader_, In.ReplyRequested_});
}
json fields(const ConfigVersions &In) {
  return json::array({4, In.Buckets_, In.Versions_, In.Ready_, In.Reader_});
}

ConfigMessage readAnnounce(const json &In) {
  return ConfigAnnounce{In.at(1).get<std::vector<ReaderHeartbeat>>(),
                        In.at(2).get<std::vector<DocumentVersion>>()};
}
ConfigMessage readPull(const json &In) {
  return ConfigPull{In.at(1).get<std::vector<DocumentVersion>>()};
}
ConfigMessage readDocuments(const json &In) {
  return ConfigDocuments{In.at(1).get<std::vector<Document>>()};
}
ConfigMessage readDigest(const json &In) {
  return ConfigDigest{In.at(1).get<std::vector<ReaderHeartbeat>>(),
                      In.at(2).get<std::uint8_t>(),
                      In.at(3).get<std::vector<DigestNode>>(),
                      In.at(4).get<Revision>(),
                      In.at(5).get<bool>(),
                      In.at(6).get<bool>(),
                      In.at(7).get<bool>()};
}
ConfigMessage readVersions(const json &In) {
  return ConfigVersions{In.at(1).get<std::vector<std::uint16_t>>(),
                        In.at(2).get<std::vector<DocumentVersion>>(), In.at(3).get<bool>(),
                        In.at(4).get<bool>()};
}

/// By the place of the message in the variant.
constexpr std::array<ConfigMessage (*)(const json &), std::variant_size_v<ConfigMessage>> Readers{
    readAnnounce, readPull, readDocuments, readDigest, readVersions};

} // namespace

void to_json(json &Out, const ConfigMessage &In) {
  Out = std::visit([](const auto &Message) { return fields(Message); }, In);
}

void from_json(const json &In, ConfigMessage &Out) {
  const auto Index = In.at(0).get<std::size_t>();
  if (Index >= Readers.size())
    throw json::out_of_range::create(401, "unknown message", &In);
  Out = Readers[Index](In);
}

} // namespace bronzestand
