#ifndef BRONZESTAND_ENGINE_YAML_READER_H
#define BRONZESTAND_ENGINE_YAML_READER_H

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <yaml-cpp/yaml.h>

#include "bronzestand/error.h"

namespace bronzestand::detail {

/// Reads the fields of one YAML map and collects every error instead of stopping at the first.
/// After the last read, finish() reports the fields that nothing asked for.
class YamlReader {
public:
  YamlReader(const YAML::Node &Node, std::string Source, std::string Path,
             std::vector<ErrorDetail> &Errors);

  /// Parses a text whose top must be a map. A syntax error is reported and gives an empty map.
  static YAML::Node parse(std::string_view Text, const std::string &Source,
                          std::vector<ErrorDetail> &Errors);

  bool has(const char *Field);
  std::string text(const char *Field, bool Required = true, std::string Default = {});
  double number(const char *Field, double Low, double High, bool Required = true,
                double Default = 0.0);
  std::uint64_t integer(const char *Field, std::uint64_t Low, std::uint64_t High,
                        bool Required = true, std::uint64_t Default = 0);
  bool flag(const char *Field, bool Default);
  /// A list of texts; empty if missing.
  std::vector<std::string> texts(const char *Field, bool Required = false);
  /// A list of maps; each gets a reader of its own.
  std::vector<YamlReader> maps(const char *Field, bool Required = true);
  /// A nested map; an empty one if missing.
  YamlReader map(const char *Field, bool Required = true);
  /// The names of the fields of this map; counts all of them as read.
  std::vector<std::string> fieldNames();

  void finish();
  void fail(ErrorCode Code, const std::string &Field, std::string Reason);

private:
  YAML::Node take(const char *Field, bool Required);
  std::string pathOf(const std::string &Field) const;

  YAML::Node Node_;
  std::string Source_;
  std::string Path_;
  std::vector<ErrorDetail> *Errors_;
  std::set<std::string> Seen_;
};

} // namespace bronzestand::detail

#endif
