#include "bronzestand/document_store.h"

#include <algorithm>

#include <xxhash.h>

namespace bronzestand {
namespace {

std::uint64_t versionHash(const std::string &Path, Revision Accepted, Revision Refused) {
  const std::array<Revision, 2> Revisions{Accepted, Refused};
  const std::uint64_t Seed = XXH3_64bits(Revisions.data(), sizeof(Revisions));
  return XXH3_64bits_withSeed(Path.data(), Path.size(), Seed);
}

} // namespace

std::size_t DocumentStore::bucketOf(const std::string &Path) {
  return XXH3_64bits(Path.data(), Path.size()) % BucketCount;
}

const DocumentStore::Entry *DocumentStore::entryOf(const std::string &Path) const {
  const auto &Bucket = Entries_[bucketOf(Path)];
  const auto Found = Bucket.find(Path);
  return Found == Bucket.end() ? nullptr : &Found->second;
}

void DocumentStore::adjustDigest(std::size_t Bucket, const std::string &Path, const Entry &Value,
                                 bool Add) {
  // Node hashes are sums, so a changed version can replace its old hash without reading the rest of
  // the bucket.
  const std::uint64_t Hash = versionHash(Path, Value.Accepted_, Value.Refused_);
  const std::uint64_t Change = Add ? Hash : 0 - Hash;
  BucketHash_[Bucket] += Change;
  GroupHash_[Bucket / Fanout] += Change;
  RootHash_ += Change;
}

UpdateResult DocumentStore::update(const Document &Version, ParsedDocument &Parsed) {
  Parsed = ParsedDocument();
  const Entry *Known = entryOf(Version.Path_);
  if (Version.Revision_ == 0 || (Known != nullptr && (Version.Revision_ <= Known->Accepted_ ||
                                                      Version.Revision_ == Known->Refused_)))
    return UpdateResult::Ignored;
  if (Version.Text_)
    Parsed = parseDocument(Version.Path_, *Version.Text_);
  const bool Refused = Version.Text_ && !Parsed.Body_;
  if (Refused && Known != nullptr && Version.Revision_ < Known->Refused_)
    return UpdateResult::Ignored;
  const std::size_t Bucket = bucketOf(Version.Path_);
  const auto [Position, Created] = Entries_[Bucket].try_emplace(Version.Path_);
  Entry &Value = Position->second;
  if (Created)
    ++Size_;
  else
    adjustDigest(Bucket, Version.Path_, Value, false);
  if (Refused) {
    Value.Refused_ = Version.Revision_;
    Value.RefusedText_ = *Version.Text_;
    Value.Errors_ = Parsed.Errors_;
  } else {
    Value.Accepted_ = Version.Revision_;
    Value.Text_ = Version.Text_;
    NewestAccepted_ = std::max(NewestAccepted_, Version.Revision_);
    if (Value.Refused_ < Value.Accepted_) {
      Value.Refused_ = 0;
      Value.RefusedText_.clear();
      Value.Errors_.clear();
    }
  }
  adjustDigest(Bucket, Version.Path_, Value, true);
  return Refused ? UpdateResult::Refused : UpdateResult::Accepted;
}

bool DocumentStore::lacks(const DocumentVersion &Version) const {
  const Entry *Known = entryOf(Version.Path_);
  if (Known == nullptr)
    return Version.Revision_ != 0;
  // A version that was refused here but not on the sender is not pulled repeatedly.
  if (Version.Revision_ <= Known->Accepted_ || Version.Revision_ == Known->Refused_)
    return false;
  return !Version.Refused_ || Version.Revision_ > Known->Refused_;
}

std::optional<Document> DocumentStore::find(const DocumentVersion &Version) const {
  const Entry *Known = entryOf(Version.Path_);
  if (Known == nullptr)
    return std::nullopt;
  if (Known->Refused_ != 0 && (Version.Refused_ || Known->Accepted_ < Version.Revision_))
    return Document{Version.Path_, Known->Refused_, Known->RefusedText_};
  if (Known->Accepted_ < Version.Revision_)
    return std::nullopt;
  return Document{Version.Path_, Known->Accepted_, Known->Text_};
}

std::vector<DocumentVersion> DocumentStore::versionsIn(std::size_t Bucket) const {
  std::vector<DocumentVersion> Result;
  for (const auto &[Path, Value] : Entries_[Bucket]) {
    if (Value.Accepted_ != 0)
      Result.push_back({Path, Value.Accepted_, false});
    if (Value.Refused_ != 0)
      Result.push_back({Path, Value.Refused_, true});
  }
  return Result;
}

std::uint64_t DocumentStore::digest(std::uint8_t Depth, std::size_t Index) const {
  if (Depth == 0)
    return RootHash_;
  return Depth == 1 ? GroupHash_.at(Index) : BucketHash_.at(Index);
}

std::vector<DocumentState> DocumentStore::states() const {
  std::vector<DocumentState> Result;
  Result.reserve(Size_);
  for (const auto &Bucket : Entries_)
    for (const auto &[Path, Value] : Bucket)
      Result.push_back({Path, Value.Accepted_, Value.Accepted_ != 0 && !Value.Text_, Value.Refused_,
                        Value.Errors_});
  std::sort(Result.begin(), Result.end(),
            [](const DocumentState &A, const DocumentState &B) { return A.Path_ < B.Path_; });
  return Result;
}

} // namespace bronzestand
