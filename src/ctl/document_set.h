#ifndef BRONZESTAND_CTL_DOCUMENT_SET_H
#define BRONZESTAND_CTL_DOCUMENT_SET_H

#include <map>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "bronzestand/config.h"
#include "bronzestand/error.h"

namespace bronzestand::ctl {

/// A set of documents read from files.
struct DocumentSet {
  std::map<std::string, DocumentBody> Documents_; ///< by document path; valid ones only
  std::map<std::string, std::string> Files_;      ///< document path to the file it is in
  std::vector<ErrorDetail> Errors_;               ///< Source_ names file and document
  bool Unreadable_ = false;                       ///< a file could not be opened
};

/// Reads documents and collects all errors. Later paths must not repeat documents.
/// \param Paths each a directory with one file `<document path>.yaml` per document (other files
/// are ignored), or a file with a map from document path to document.
DocumentSet readDocumentSet(const std::vector<std::string> &Paths);

/// Finds errors between the documents of a set: unresolved references, and keys, hosts and routes
/// that two documents claim.
std::vector<ErrorDetail> checkSet(const DocumentSet &Set);

nlohmann::json toJson(const std::vector<ErrorDetail> &Errors);

} // namespace bronzestand::ctl

#endif
