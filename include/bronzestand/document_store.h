#ifndef BRONZESTAND_DOCUMENT_STORE_H
#define BRONZESTAND_DOCUMENT_STORE_H

#include <array>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "bronzestand/config.h"
#include "bronzestand/error.h"
#include "bronzestand/types.h"

namespace bronzestand {

/// One version of a document; no text means that the document was removed.
struct Document {
  std::string Path_;
  Revision Revision_ = 0;
  std::optional<std::string> Text_;
};

/// Names a version without its text.
struct DocumentVersion {
  std::string Path_;
  Revision Revision_ = 0;
  bool Refused_ = false; ///< the version failed its check on the node that names it
};

/// What a node holds of one document, as shown in the state dump.
struct DocumentState {
  std::string Path_;
  Revision Accepted_ = 0;           ///< version in force, 0 if none was accepted yet
  bool Removed_ = false;            ///< the version in force is a tombstone
  Revision Refused_ = 0;            ///< newest refused version above the accepted one, 0 if none
  std::vector<ErrorDetail> Errors_; ///< why it was refused
};

/// Hash of one node of the digest tree.
struct DigestNode {
  std::uint16_t Index_ = 0;
  std::uint64_t Hash_ = 0;
};

enum class Verdict { Ignored, Accepted, Refused };

/// The documents of a node with their versions. A version in force is only ever replaced by a
/// version with a greater revision (design section 4).
class DocumentStore {
public:
  /// Depth of the digest tree: the root, 16 groups, 256 buckets of documents.
  static constexpr std::uint8_t BucketDepth = 2;
  static constexpr std::size_t Buckets = 256;
  static constexpr std::size_t Fanout = 16;

  /// Checks a version and stores it if it is newer than what is held.
  /// \param Parsed receives the body of an accepted version, empty for a removed document, or the
  ///               errors of a refused one.
  /// Cost: linear in the text; logarithmic if the version is not new.
  Verdict offer(const Document &Version, ParsedDocument &Parsed);

  /// Tells whether a named version would change what is held. Cost: logarithmic.
  bool lacks(const DocumentVersion &Version) const;

  /// Returns the text of a version, or of the newer accepted version that replaced it.
  std::optional<Document> find(const DocumentVersion &Version) const;

  /// Versions held in one bucket. Cost: linear in the result.
  std::vector<DocumentVersion> versionsIn(std::size_t Bucket) const;

  /// Hash of one node of the digest tree; equal if and only if, up to hash collisions, the versions
  /// below it are equal. Cost: at most 16 additions.
  /// \param Depth 0 for the root, 1 for a group, 2 for a bucket.
  std::uint64_t digest(std::uint8_t Depth, std::size_t Index) const;

  /// Bucket of a path.
  static std::size_t bucketOf(const std::string &Path);

  /// State of all documents, ordered by path.
  std::vector<DocumentState> states() const;

  /// Greatest revision in force.
  Revision newestAccepted() const { return Newest_; }
  std::size_t size() const { return Size_; }

private:
  struct Entry {
    Revision Accepted_ = 0;
    std::optional<std::string> Text_;
    Revision Refused_ = 0;
    std::string RefusedText_;
    std::vector<ErrorDetail> Errors_;
  };
  const Entry *entryOf(const std::string &Path) const;
  void adjustDigest(std::size_t Bucket, const std::string &Path, const Entry &Value, bool Add);

  std::array<std::map<std::string, Entry>, Buckets> Entries_;
  std::array<std::uint64_t, Buckets> BucketHash_{};
  std::array<std::uint64_t, Fanout> GroupHash_{};
  std::uint64_t RootHash_ = 0;
  Revision Newest_ = 0;
  std::size_t Size_ = 0;
};

} // namespace bronzestand

#endif
