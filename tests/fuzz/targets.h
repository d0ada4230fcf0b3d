#ifndef BRONZESTAND_TESTS_FUZZ_TARGETS_H
#define BRONZESTAND_TESTS_FUZZ_TARGETS_H

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "fuzz/mutator.h"

namespace bronzestand::fuzz {

/// A parser that takes bytes from outside.
class Target {
public:
  Target() = default;
  Target(const Target &) = delete;
  Target &operator=(const Target &) = delete;
  virtual ~Target() = default;
  /// Feeds an input, and checks what must hold for any.
  /// \param Choice decides in which pieces the input arrives.
  /// \return what does not hold; empty if all does.
  virtual std::string run(const std::string &Input, Mutator &Choice) = 0;
};

struct TargetInfo {
  std::string_view Name_; ///< also of its directory in the corpus
  std::unique_ptr<Target> (*Make_)();
  std::vector<std::string> (*Words_)();
};

/// Returns all targets.
const std::vector<TargetInfo> &targets();

std::unique_ptr<Target> makeRequestTarget();
std::unique_ptr<Target> makeResponseTarget();
std::unique_ptr<Target> makeFrameTarget();
std::vector<std::string> httpWords();
std::vector<std::string> frameWords();

} // namespace bronzestand::fuzz

#endif
