#include "engine/yaml_reader.h"

#include <charconv>
#include <cmath>

#include <boost/lexical_cast/try_lexical_convert.hpp>
#include <fmt/format.h>

namespace bronzestand::detail {
namespace {

bool parseInteger(const std::string &Text, std::uint64_t &Value) {
  const char *End = Text.data() + Text.size();
  const auto Result = std::from_chars(Text.data(), End, Value);
  return Result.ec == std::errc() && Result.ptr == End;
}

} // namespace

YamlReader::YamlReader(const YAML::Node &Node, std::string Source, std::string Path,
                       std::vector<ErrorDetail> &Errors)
    : Node_(Node), Source_(std::move(Source)), Path_(std::move(Path)), Errors_(&Errors) {
  if (Node_.IsDefined() && !Node_.IsNull() && !Node_.IsMap()) {
    fail(ErrorCode::WrongType, "", "must be a map");
    Node_ = YAML::Node(YAML::NodeType::Map);
  }
}

YAML::Node YamlReader::parse(std::string_view Text, const std::string &Source,
                             std::vector<ErrorDetail> &Errors) {
  try {
    return YAML::Load(std::string(Text));
  } catch (const YAML::Exception &Failure) {
    Errors.push_back({ErrorCode::InvalidSyntax, Source,
                      fmt::format("line {}", Failure.mark.line + 1), Failure.msg});
  }
  return YAML::Node(YAML::NodeType::Map);
}

std::string YamlReader::fieldPath(const std::string &Field) const {
  if (Path_.empty())
    return Field;
  return Field.empty() ? Path_ : Path_ + "." + Field;
}

void YamlReader::fail(ErrorCode Code, const std::string &Field, std::string Reason) {
  Errors_->push_back({Code, Source_, fieldPath(Field), std::move(Reason)});
}

YAML::Node YamlReader::findField(const char *Field, bool Required) {
  ReadFields_.insert(Field);
  if (Node_.IsMap()) {
    const YAML::Node Value = static_cast<const YAML::Node &>(Node_)[Field];
    if (Value.IsDefined() && !Value.IsNull())
      return Value;
  }
  if (Required)
    fail(ErrorCode::MissingField, Field, "is required");
  return YAML::Node();
}

bool YamlReader::has(const char *Field) { return !findField(Field, false).IsNull(); }

std::string YamlReader::text(const char *Field, bool Required, std::string Default) {
  const YAML::Node Value = findField(Field, Required);
  if (Value.IsNull())
    return Default;
  if (!Value.IsScalar()) {
    fail(ErrorCode::WrongType, Field, "must be a string");
    return Default;
  }
  if (Required && Value.Scalar().empty())
    fail(ErrorCode::InvalidValue, Field, "must not be empty");
  return Value.Scalar();
}

double YamlReader::number(const char *Field, double Low, double High, bool Required,
                          double Default) {
  const YAML::Node Value = findField(Field, Required);
  if (Value.IsNull())
    return Default;
  double Result = 0.0;
  if (!Value.IsScalar() || !boost::conversion::try_lexical_convert(Value.Scalar(), Result) ||
      !std::isfinite(Result)) {
    fail(ErrorCode::WrongType, Field, "must be a number");
    return Default;
  }
  if (Result < Low || Result > High) {
    fail(ErrorCode::OutOfRange, Field, fmt::format("must be from {} to {}", Low, High));
    return Default;
  }
  return Result;
}

std::uint64_t YamlReader::integer(const char *Field, std::uint64_t Low, std::uint64_t High,
                                  bool Required, std::uint64_t Default) {
  const YAML::Node Value = findField(Field, Required);
  if (Value.IsNull())
    return Default;
  std::uint64_t Result = 0;
  if (!Value.IsScalar() || !parseInteger(Value.Scalar(), Result)) {
    fail(ErrorCode::WrongType, Field, "must be a non-negative integer");
    return Default;
  }
  if (Result < Low || Result > High) {
    fail(ErrorCode::OutOfRange, Field, fmt::format("must be from {} to {}", Low, High));
    return Default;
  }
  return Result;
}

bool YamlReader::flag(const char *Field, bool Default) {
  const YAML::Node Value = findField(Field, false);
  if (Value.IsNull())
    return Default;
  if (Value.IsScalar() && Value.Scalar() == "true")
    return true;
  if (Value.IsScalar() && Value.Scalar() == "false")
    return false;
  fail(ErrorCode::WrongType, Field, "must be true or false");
  return Default;
}

std::vector<std::string> YamlReader::texts(const char *Field, bool Required) {
  const YAML::Node Value = findField(Field, Required);
  std::vector<std::string> Result;
  if (Value.IsNull())
    return Result;
  if (!Value.IsSequence()) {
    fail(ErrorCode::WrongType, Field, "must be a list");
    return Result;
  }
  for (const YAML::Node &Item : Value) {
    if (Item.IsScalar() && !Item.Scalar().empty())
      Result.push_back(Item.Scalar());
    else
      fail(ErrorCode::WrongType, Field, "must contain only non-empty strings");
  }
  return Result;
}

std::vector<YamlReader> YamlReader::maps(const char *Field, bool Required) {
  const YAML::Node Value = findField(Field, Required);
  std::vector<YamlReader> Result;
  if (Value.IsNull())
    return Result;
  if (!Value.IsSequence()) {
    fail(ErrorCode::WrongType, Field, "must be a list");
    return Result;
  }
  std::size_t Index = 0;
  for (const YAML::Node &Item : Value)
    Result.emplace_back(Item, Source_, fieldPath(fmt::format("{}[{}]", Field, Index++)), *Errors_);
  return Result;
}

YamlReader YamlReader::map(const char *Field, bool Required) {
  return YamlReader(findField(Field, Required), Source_, fieldPath(Field), *Errors_);
}

std::vector<std::string> YamlReader::fieldNames() {
  std::vector<std::string> Result;
  if (!Node_.IsMap())
    return Result;
  for (const auto &Entry : Node_) {
    Result.push_back(Entry.first.Scalar());
    ReadFields_.insert(Entry.first.Scalar());
  }
  return Result;
}

void YamlReader::finish() {
  if (!Node_.IsMap())
    return;
  std::set<std::string> Names;
  for (const auto &Entry : Node_) {
    const std::string Name = Entry.first.IsScalar() ? Entry.first.Scalar() : std::string("?");
    if (!Names.insert(Name).second)
      fail(ErrorCode::DuplicateName, Name, "is given twice");
    else if (ReadFields_.count(Name) == 0)
      fail(ErrorCode::UnknownField, Name, "is not a known field");
  }
}

} // namespace bronzestand::detail
