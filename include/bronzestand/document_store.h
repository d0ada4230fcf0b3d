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

/// One version of a document. Without a text, the version is a tombstone: the document was removed.
struct Document {
  std::string Path_;
  Revision Revision_ = 0;
  std::optional<std::string> Text_;
};

/// Identifies a version without its text.
struct DocumentVersion {
  std::string Path_;
  Revision Revision_ = 0;
  bool Refused_ = false; ///< the version failed validation on the node that sent this
};

/// Versions of one document on a node, as shown in the state dump.
struct DocumentState {
  std::string Path_;
  Revision Accepted_ = 0;           ///< version in force; 0 if none was accepted yet
  bool Removed_ = false;            ///< the version in force is a tombstone
  Revision Refused_ = 0;            ///< newest refused version above the accepted one; 0 if none
  std::vector<ErrorDetail> Errors_; ///< why Refused_ failed validation
};

/// Hash of one node of the digest tree.
struct DigestNode {
  std::uint16_t Index_ = 0;
  std::uint64_t Hash_ = 0;
};

/// Ignored: the version is not newer than the stored one, or was refused before.
enum class UpdateResult { Ignored, Accepted, Refused };

/// The documents of a node with their versions. A version in force is only replaced by a version
/// with a greater revision (design section 4).
class DocumentStore {
public:
  /// Depth of the digest tree: the root, 16 groups, 256 buckets of documents.
  static constexpr std::uint8_t BucketDepth = 2;
  static constexpr std::size_t BucketCount = 256;
  static constexpr std::size_t Fanout = 16;

  /// Validates a version and stores it if it is newer than the stored one.
  /// \param Parsed receives the body of an accepted version (empty for a removed document) or the
  ///               errors of a refused version.
  /// Cost: linear in the text; logarithmic if the version is not new.
  UpdateResult update(const Document &Version, ParsedDocument &Parsed);

  /// Returns whether a version is missing here and worth pulling. Cost: logarithmic.
  bool lacks(const DocumentVersion &Version) const;

  /// Returns a version with its text, or the version that is stored in its place; nothing if there
  /// is none.
  std::optional<Document> find(const DocumentVersion &Version) const;

  /// Returns the versions in one bucket, accepted and refused. Cost: linear in the result.
  std::vector<DocumentVersion> versionsIn(std::size_t Bucket) const;

  /// Returns the hash of one node of the digest tree. Apart from hash collisions, two hashes are
  /// equal if and only if the versions below the node are equal.
  /// \param Depth 0 for the root, 1 for a group, 2 for a bucket.
  /// Cost: constant.
  std::uint64_t digest(std::uint8_t Depth, std::size_t Index) const;

  /// Returns the bucket of a path.
  static std::size_t bucketOf(const std::string &Path);

  /// Returns the state of all documents, ordered by path.
  std::vector<DocumentState> states() const;

  /// Returns the greatest accepted revision.
  Revision newestAccepted() const { return NewestAccepted_; }
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

  std::array<std::map<std::string, Entry>, BucketCount> Entries_;
  std::array<std::uint64_t, BucketCount> BucketHash_{};
  std::array<std::uint64_t, Fanout> GroupHash_{};
  std::uint64_t RootHash_ = 0;
  Revision NewestAccepted_ = 0;
  std::size_t Size_ = 0;
};

} // namespace bronzestand

#endif
