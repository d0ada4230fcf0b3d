#ifndef BRONZESTAND_TESTS_FUZZ_MUTATOR_H
#define BRONZESTAND_TESTS_FUZZ_MUTATOR_H

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace bronzestand::fuzz {

/// Makes inputs from the seeds of a corpus by small random changes. The input of a round depends on
/// the seed and the number of the round only, so that any round can be repeated alone.
class Mutator {
public:
  /// \param Corpus at least one input.
  /// \param Words parts of the format that random bytes rarely form.
  Mutator(std::vector<std::string> Corpus, std::vector<std::string> Words)
      : Corpus_(std::move(Corpus)), Words_(std::move(Words)) {}

  /// Begins a round.
  void begin(std::uint64_t Seed, std::uint64_t Round);
  /// Returns an input; the first ones of a seed are those of the corpus without a change.
  std::string make();
  /// Returns a random number below a bound, for choices of the target.
  std::size_t below(std::size_t Bound) {
    return std::uniform_int_distribution<std::size_t>(0, Bound - 1)(Random_);
  }

private:
  using Change = void (Mutator::*)(std::string &Text);

  void flipBit(std::string &Text);
  void setByte(std::string &Text);
  void removePart(std::string &Text);
  void repeatPart(std::string &Text);
  void insertWord(std::string &Text);
  void insertBytes(std::string &Text);
  void changeNumber(std::string &Text);
  void joinOther(std::string &Text);
  void cut(std::string &Text);

  std::vector<std::string> Corpus_;
  std::vector<std::string> Words_;
  std::mt19937_64 Random_;
  std::uint64_t Round_ = 0;
};

} // namespace bronzestand::fuzz

#endif
