#ifndef BRONZESTAND_NODE_TEXT_TABLE_H
#define BRONZESTAND_NODE_TEXT_TABLE_H

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bronzestand::node {

/// Texts of one direction of a link by their numbers. Both ends hold the same table, because frames
/// define its entries in their order. docs/design/link-texts.md.
class TextTable {
public:
  /// A reference to an entry takes one byte of a frame.
  static constexpr std::size_t MaxEntries = 128;
  /// Bound of the memory of a table; both directions of a link together use at most 16 KB.
  static constexpr std::size_t MaxBytes = 8UL * 1024;
  /// Memory that an entry takes besides its text: the string, the header of its block and its place
  /// in the index.
  static constexpr std::size_t EntryBytes = 64;
  /// Longer texts seldom repeat, and a few of them would fill the table.
  static constexpr std::size_t MaxTextBytes = 256;

  enum class Result : std::uint8_t { Stored, UnknownNumber, TextTooLong, Full };

  /// Defines a number, or replaces its text.
  Result put(std::size_t Number, std::string_view Text);
  void remove(std::size_t Number);
  /// Returns the text of a number, or nullptr if it is not defined.
  const std::string *find(std::size_t Number) const;
  /// Returns whether a text may be stored under a number.
  bool fits(std::size_t Number, std::string_view Text) const;
  std::size_t size() const { return Size_; }
  /// Returns the bytes that count towards MaxBytes.
  std::size_t bytes() const { return Bytes_; }

private:
  std::size_t bytesOf(std::size_t Number) const;

  std::vector<std::string> Texts_; ///< an empty text is not defined
  std::size_t Size_ = 0;
  std::size_t Bytes_ = 0;
};

/// Decides which texts the sending end of a link defines: one at its second occurrence on the link.
/// A full table replaces an entry that was not used of late. Definitions belong to one frame, and
/// are taken back if the frame is not sent.
class TextDefiner {
public:
  /// How a text is sent.
  struct Use {
    enum class Form : std::uint8_t { Whole, Number, Definition };
    Form Form_ = Form::Whole;
    std::size_t Number_ = 0; ///< valid unless the text is sent whole
  };

  /// Returns how a text is sent next. Cost: one hash of the text, and a look at few entries.
  Use use(std::string_view Text);
  /// Keeps the definitions since the last commit() or rollback(): the frame was written.
  void commit() { Undo_.clear(); }
  /// Takes these definitions back: the frame was not written.
  void rollback();

  const TextTable &table() const { return Table_; }

private:
  /// Texts that occurred and have no number, the oldest of which is replaced. They are known by
  /// their hash; a collision only hastens a definition.
  static constexpr std::size_t SeenCount = 64;
  static constexpr std::size_t BucketCount = 128;
  static constexpr std::uint8_t None = 255;
  /// Entries that are looked at to find one to replace, so that the cost of a text is bounded.
  static constexpr std::size_t MaxLooks = 8;

  struct Slot {
    std::uint32_t Hash_ = 0;
    std::uint8_t Next_ = None; ///< in the same bucket
    bool Used_ = false;        ///< since it was last considered for replacement
  };
  struct Definition {
    std::size_t Number_;
    std::string Previous_; ///< empty if the number was not defined
  };

  bool occurredBefore(std::uint32_t Hash);
  std::uint8_t find(std::string_view Text, std::uint32_t Hash) const;
  /// Returns the number that a text may get, if any.
  std::optional<std::size_t> selectNumber(std::string_view Text);
  void set(std::size_t Number, std::string_view Text);

  TextTable Table_;
  std::vector<Slot> Slots_;
  std::vector<std::uint8_t> Buckets_;
  std::vector<std::uint32_t> Seen_;
  std::size_t NextSeen_ = 0;
  std::vector<Definition> Undo_;
  std::size_t Hand_ = 0; ///< the entry that is considered next for replacement
};

} // namespace bronzestand::node

#endif
