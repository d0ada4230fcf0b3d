#include "node/link_codec.h"

#include <algorithm>

#include "node/frame_format.h"

namespace bronzestand::node {
namespace {

constexpr std::array<std::string_view, 10> ErrorNames{
    "truncated",     "surplus",    "unknown_kind",   "unknown_tag",   "unknown_number",
    "text_too_long", "table_full", "too_many_items", "too_much_text", "wrong_base"};

/// Common headers of HTTP that have the same value in many requests or answers.
constexpr std::array<std::string_view, 17> CommonHeaders{"Host",
                                                         "User-Agent",
                                                         "Accept",
                                                         "Accept-Encoding",
                                                         "Accept-Language",
                                                         "Content-Type",
                                                         "Content-Encoding",
                                                         "Cache-Control",
                                                         "Connection",
                                                         "Keep-Alive",
                                                         "Server",
                                                         "Vary",
                                                         "Pragma",
                                                         "Allow",
                                                         "Transfer-Encoding",
                                                         "Via",
                                                         "Content-Language"};

/// Compares two names without regard to the case of ASCII letters.
bool isSameName(std::string_view A, std::string_view B) {
  const auto Lower = [](char C) { return C >= 'A' && C <= 'Z' ? static_cast<char>(C + 32) : C; };
  return A.size() == B.size() && std::equal(A.begin(), A.end(), B.begin(),
                                            [&](char X, char Y) { return Lower(X) == Lower(Y); });
}

} // namespace

std::string_view frameErrorName(FrameError Error) {
  return ErrorNames[static_cast<std::size_t>(Error)];
}

RepeatingHeaders::RepeatingHeaders() : Names_(CommonHeaders.begin(), CommonHeaders.end()) {}

void RepeatingHeaders::add(std::string_view Name) {
  if (!Name.empty() && !contains(Name))
    Names_.emplace_back(Name);
}

bool RepeatingHeaders::contains(std::string_view Name) const {
  return std::any_of(Names_.begin(), Names_.end(),
                     [&](const std::string &Item) { return isSameName(Item, Name); });
}

bool FrameEncoder::hasShortForm(MessageKind Kind) {
  return Kind == MessageKind::Call || Kind == MessageKind::Answer;
}

void FrameEncoder::commit() {
  Texts_.commit();
  State_.Epoch_ = Epoch_;
  for (auto &[Field, Value] : Changes_)
    detail::setField(State_.Bases_[Index_], Field, std::move(Value));
  Changes_.clear();
}

void FrameEncoder::rollback() {
  Texts_.rollback();
  Changes_.clear();
}

bool FrameDecoder::isShort(std::string_view Frame) {
  return !Frame.empty() && static_cast<unsigned char>(Frame.front()) < detail::FirstCborArray;
}

namespace detail {

using nlohmann::json;

json baseOf(const json &Value) {
  const auto IsNumber = [](const json &Item) { return Item.is_number() || Item.is_boolean(); };
  switch (Value.type()) {
  case json::value_t::string:
  case json::value_t::binary: {
    const std::size_t Size =
        Value.is_string() ? Value.get_ref<const std::string &>().size() : Value.get_binary().size();
    return Size == 0 ? Value : json();
  }
  case json::value_t::array:
    return Value.size() <= MaxBaseList && std::all_of(Value.begin(), Value.end(), IsNumber)
               ? Value
               : json();
  default:
    return IsNumber(Value) ? Value : json();
  }
}

bool isSame(const json &Value, const json &Base) {
  if (Value.is_number() || Value.is_boolean())
    return Value.is_number_float() == Base.is_number_float() && Value == Base;
  if (!Value.is_array())
    return Value == Base;
  return Base.is_array() && Value.size() == Base.size() &&
         std::equal(Value.begin(), Value.end(), Base.begin(), isSame);
}

const json &fieldOf(const FrameBase &Base, std::size_t Field) {
  static const json None;
  return Field < Base.size() ? Base[Field] : None;
}

void setField(FrameBase &Base, std::size_t Field, json Value) {
  if (Field >= Base.size())
    Base.resize(Field + 1);
  Base[Field] = std::move(Value);
}

} // namespace detail
} // namespace bronzestand::node
