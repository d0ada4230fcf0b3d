#include <ostream>

#include <fmt/format.h>

#include "ctl/command.h"
#include "ctl/document_set.h"

namespace bronzestand::ctl {

const char *const CheckUsage = R"(Usage: bronzestandctl check [--json] PATH...

Checks configuration documents and reports all errors at once. A PATH is a directory with one
file <document path>.yaml per document, or a file with a map from document path to document.
All paths together are one set.

Options:
  --json  Print the result as JSON.

Exit codes: 0 no errors, 1 errors found, 2 wrong usage, 3 a file cannot be read.
)";

ExitCode runCheck(const Arguments &Given, CommandIo &Io) {
  const DocumentSet Set = readDocumentSet(Given.at("PATH").asStringList());
  std::vector<ErrorDetail> Errors = Set.Errors_;
  // Without all files the references cannot be judged.
  if (!Set.Unreadable_)
    for (ErrorDetail &Error : checkSet(Set))
      Errors.push_back(std::move(Error));
  if (Given.at("--json").asBool()) {
    const nlohmann::json Result{{"documents", Set.Files_.size()}, {"errors", toJson(Errors)}};
    Io.Out_ << Result.dump(2, ' ', false, nlohmann::json::error_handler_t::replace) << '\n';
  } else {
    for (const ErrorDetail &Error : Errors)
      Io.Out_ << describe(Error) << '\n';
    Io.Out_ << fmt::format("{} documents, {} errors\n", Set.Files_.size(), Errors.size());
  }
  if (Set.Unreadable_)
    return ExitCode::Unreadable;
  return Errors.empty() ? ExitCode::Ok : ExitCode::Findings;
}

} // namespace bronzestand::ctl
