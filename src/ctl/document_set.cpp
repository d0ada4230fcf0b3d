#include "ctl/document_set.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <optional>
#include <set>
#include <utility>

#include <fmt/format.h>
#include <yaml-cpp/yaml.h>

namespace bronzestand::ctl {
namespace {

namespace fs = std::filesystem;

/// Names the place of a document: the file alone if the file holds one document.
std::string sourceOf(const std::string &File, const std::string &Path, bool OneDocument) {
  return OneDocument ? File : fmt::format("{}: {}", File, Path);
}

std::optional<std::string> readFile(const std::string &File, DocumentSet &Set) {
  std::ifstream Input(File, std::ios::binary);
  std::string Text{std::istreambuf_iterator<char>(Input), std::istreambuf_iterator<char>()};
  if (Input.is_open() && !Input.bad())
    return Text;
  Set.Errors_.push_back({ErrorCode::Unreadable, File, "", "the file cannot be read"});
  Set.Unreadable_ = true;
  return std::nullopt;
}

void addDocument(const std::string &Path, const std::string &Text, const std::string &Source,
                 DocumentSet &Set) {
  if (!Set.Files_.emplace(Path, Source).second) {
    Set.Errors_.push_back({ErrorCode::DuplicateName, Source, "",
                           fmt::format("the document {} is given twice", Path)});
    return;
  }
  ParsedDocument Parsed = parseDocument(Path, Text);
  for (ErrorDetail &Error : Parsed.Errors_) {
    Error.Source_ = Source;
    Set.Errors_.push_back(std::move(Error));
  }
  if (Parsed.Body_)
    Set.Documents_.emplace(Path, std::move(*Parsed.Body_));
}

void addMap(const std::string &File, const std::string &Text, DocumentSet &Set) {
  try {
    const YAML::Node Top = YAML::Load(Text);
    if (!Top.IsMap()) {
      Set.Errors_.push_back(
          {ErrorCode::WrongType, File, "", "must be a map from document path to document"});
      return;
    }
    for (const auto &Entry : Top) {
      const auto Path = Entry.first.as<std::string>();
      addDocument(Path, YAML::Dump(Entry.second), sourceOf(File, Path, false), Set);
    }
  } catch (const YAML::Exception &Failure) {
    Set.Errors_.push_back({ErrorCode::InvalidSyntax, File,
                           fmt::format("line {}", Failure.mark.line + 1), Failure.msg});
  }
}

void addDirectory(const fs::path &Directory, DocumentSet &Set) {
  std::vector<fs::path> Files;
  std::error_code Failure;
  fs::recursive_directory_iterator It(Directory, Failure);
  for (; !Failure && It != fs::recursive_directory_iterator(); It.increment(Failure))
    if (It->is_regular_file() && It->path().extension() == ".yaml")
      Files.push_back(It->path());
  if (Failure) {
    Set.Errors_.push_back({ErrorCode::Unreadable, Directory.string(), "", Failure.message()});
    Set.Unreadable_ = true;
  }
  std::sort(Files.begin(), Files.end());
  for (const fs::path &File : Files) {
    const std::string Path =
        File.lexically_relative(Directory).replace_extension().generic_string();
    if (const auto Text = readFile(File.string(), Set))
      addDocument(Path, *Text, sourceOf(File.string(), Path, true), Set);
  }
}

/// Reports names that more than one document claims.
class ClaimedNames {
public:
  ClaimedNames(const DocumentSet &Set, std::vector<ErrorDetail> &Errors)
      : Set_(Set), Errors_(Errors) {}

  void claim(const std::string &Name, const std::string &Document, const std::string &Field) {
    const auto [Owner, Fresh] = Owners_.emplace(Name, Document);
    if (!Fresh && Owner->second != Document)
      Errors_.push_back({ErrorCode::DuplicateName, Set_.Files_.at(Document), Field,
                         fmt::format("is also in {}", Owner->second)});
  }

private:
  const DocumentSet &Set_;
  std::vector<ErrorDetail> &Errors_;
  std::map<std::string, std::string> Owners_;
};

} // namespace

DocumentSet readDocumentSet(const std::vector<std::string> &Paths) {
  DocumentSet Set;
  for (const std::string &Path : Paths) {
    std::error_code Failure;
    if (fs::is_directory(Path, Failure))
      addDirectory(Path, Set);
    else if (const auto Text = readFile(Path, Set))
      addMap(Path, *Text, Set);
  }
  return Set;
}

std::vector<ErrorDetail> checkSet(const DocumentSet &Set) {
  std::vector<ErrorDetail> Errors;
  for (ErrorDetail &Error : checkReferences(Set.Documents_)) {
    // A document that is present but refused has been reported already.
    if (Error.Code_ == ErrorCode::MissingField && Set.Files_.count(Error.Source_) != 0)
      continue;
    if (const auto File = Set.Files_.find(Error.Source_); File != Set.Files_.end())
      Error.Source_ = File->second;
    Errors.push_back(std::move(Error));
  }
  ClaimedNames Names(Set, Errors);
  for (const auto &[Path, Body] : Set.Documents_) {
    if (const auto *Team = std::get_if<TeamSpec>(&Body))
      for (const KeySpec &Key : Team->Keys_)
        Names.claim("key " + Key.Hash_, Path, "the hash of key " + Key.Id_);
    if (const auto *List = std::get_if<HostListSpec>(&Body))
      for (const HostSpec &Host : List->Hosts_)
        Names.claim("host " + Host.Id_.str(), Path, "host " + Host.Id_.str());
    if (const auto *Service = std::get_if<ServiceSpec>(&Body))
      for (const RouteSpec &Route : Service->Routes_) {
        const std::string Name =
            fmt::format("route {} {}{}", Route.Method_, Route.Path_, Route.Prefix_ ? "*" : "");
        Names.claim(Name, Path, Name);
      }
  }
  return Errors;
}

nlohmann::json toJson(const std::vector<ErrorDetail> &Errors) {
  nlohmann::json Result = nlohmann::json::array();
  for (const ErrorDetail &Error : Errors)
    Result.push_back({{"code", std::string(errorName(Error.Code_))},
                      {"source", Error.Source_},
                      {"path", Error.Path_},
                      {"reason", Error.Reason_}});
  return Result;
}

} // namespace bronzestand::ctl
