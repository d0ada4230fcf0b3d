#ifndef BRONZESTAND_SHARED_BODY_H
#define BRONZESTAND_SHARED_BODY_H

#include <cstddef>
#include <string>
#include <utility>

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

namespace bronzestand {

/// Body of a request that does not change. Copies share the bytes, so that a large body is in
/// memory once whatever the number of its holders. For use in one thread.
class SharedBody {
public:
  SharedBody() = default;
  /// Implicit, so that a body is set like a string.
  SharedBody(std::string Bytes) // NOLINT(google-explicit-constructor)
      : Held_(Bytes.empty() ? nullptr : new Text(std::move(Bytes))) {}

  /// Returns the bytes; they stay valid while any copy does.
  const std::string &str() const { return Held_ ? Held_->Bytes_ : emptyText(); }
  std::size_t size() const { return str().size(); }
  bool empty() const { return !Held_; }

private:
  struct Text : boost::intrusive_ref_counter<Text, boost::thread_unsafe_counter> {
    explicit Text(std::string Bytes) : Bytes_(std::move(Bytes)) {}
    const std::string Bytes_;
  };
  static const std::string &emptyText() {
    static const std::string Empty;
    return Empty;
  }

  boost::intrusive_ptr<const Text> Held_;
};

} // namespace bronzestand

#endif
