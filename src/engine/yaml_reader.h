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

/// Reads the fields of one YAML map and collects all errors instead of stopping at the first.
/// After the last read, finish() reports the fields that were not read.
class YamlReader {
public:
  YamlReader(const YAML::Node &Node, std::string Source, std::string Path,
             std::vector<ErrorDetail> &Errors);

  /// Parses a YAML text. For a syntax error, adds an error and returns an empty map. The
  /// constructor checks that the top level is a map.
  static YAML::Node parse(std::string_view Text, const std::string &Source,
                          std::vector<ErrorDetail> &Errors);

  /// Returns whether the field exists and is not null; counts it as read.
  bool has(const char *Field);
  // The readers of single values return the default and add an error if the field is invalid. If it
  // is missing, they return the default and add an error only if it is required.
  std::string text(const char *Field, bool Required = true, std::string Default = {});
  double number(const char *Field, double Low, double High, bool Required = true,
                double Default = 0.0);
  std::uint64_t integer(const char *Field, std::uint64_t Low, std::uint64_t High,
                        bool Required = true, std::uint64_t Default = 0);
  bool flag(const char *Field, bool Default);
  /// Reads a list of non-empty strings; empty if missing.
  std::vector<std::string> texts(const char *Field, bool Required = false);
  /// Reads a list of maps and returns a reader for each of them; empty if missing.
  std::vector<YamlReader> maps(const char *Field, bool Required = true);
  /// Returns a reader of a nested map, which is empty if the field is missing.
  YamlReader map(const char *Field, bool Required = true);
  /// Returns the names of all fields of this map and counts them as read.
  std::vector<std::string> fieldNames();

  /// Adds an error for each field that was not read and for each field that is given twice.
  void finish();
  /// Adds an error for a field, or for the map itself if the name is empty.
  void fail(ErrorCode Code, const std::string &Field, std::string Reason);

private:
  YAML::Node findField(const char *Field, bool Required);
  std::string fieldPath(const std::string &Field) const;

  YAML::Node Node_;
  std::string Source_;
  std::string Path_;
  std::vector<ErrorDetail> *Errors_;
  std::set<std::string> ReadFields_;
};

} // namespace bronzestand::detail

#endif
