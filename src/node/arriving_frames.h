#ifndef BRONZESTAND_NODE_ARRIVING_FRAMES_H
#define BRONZESTAND_NODE_ARRIVING_FRAMES_H

#include <cstddef>
#include <functional>
#include <memory>
#include <utility>

namespace bronzestand::node {

/// Counts the memory of the frames that arrive from all other nodes, and notifies when it exceeds
/// its bound.
///
/// Errors: none. Cost: constant for each piece of a frame, whatever its size.
class ArrivingFrames {
public:
  explicit ArrivingFrames(std::size_t MaxBytes) : MaxBytes_(MaxBytes) {}

  /// Sets what is called when the bound is exceeded, within the reading of a frame.
  void onExceeded(std::function<void()> Callback) { OnExceeded_ = std::move(Callback); }
  void changed(std::size_t Before, std::size_t After) {
    Bytes_ = Bytes_ - Before + After;
    if (After > Before && isExceeded() && OnExceeded_)
      OnExceeded_();
  }
  bool isExceeded() const { return Bytes_ > MaxBytes_; }
  std::size_t bytes() const { return Bytes_; }
  std::size_t maxBytes() const { return MaxBytes_; }

private:
  std::size_t MaxBytes_;
  std::function<void()> OnExceeded_;
  std::size_t Bytes_ = 0;
};

/// Memory of the frames that arrive on one connection. Counts for nothing until track() is called.
class ArrivingBytes {
public:
  ArrivingBytes() = default;
  ArrivingBytes(const ArrivingBytes &) = delete;
  ArrivingBytes &operator=(const ArrivingBytes &) = delete;

  void track(std::shared_ptr<ArrivingFrames> All) { All_ = std::move(All); }
  void changed(std::size_t Before, std::size_t After) {
    if (!All_)
      return;
    Bytes_ = Bytes_ - Before + After;
    All_->changed(Before, After);
  }
  /// The connection was closed; what it holds is freed soon and does not count any more.
  void end() {
    changed(Bytes_, 0);
    All_ = nullptr;
  }
  std::size_t bytes() const { return Bytes_; }

private:
  std::shared_ptr<ArrivingFrames> All_;
  std::size_t Bytes_ = 0;
};

} // namespace bronzestand::node

#endif
