#include "bronzestand/call_parents.h"

#include <functional>
#include <map>
#include <random>

#include <catch2/catch.hpp>

using namespace bronzestand;
using namespace std::chrono_literals;

namespace {

constexpr std::uint8_t Urgent = 255;
constexpr std::uint8_t Batch = 240;

RootStanding standing(std::uint8_t Rank, std::uint8_t Place = 0, bool Repeated = false) {
  return {Rank, Place, TeamId("t" + std::to_string(Rank)), Repeated};
}

struct CallParentsFixture {
  const TimePoint Now_{100s + 300us}; ///< not at a whole millisecond, as in reality
  const ClassId Called_{"stock"};
  CallParents Parents_;

  void add(CallParents::RunNumber Run, Duration Left, const std::string &Class,
           const std::optional<RootStanding> &Standing) {
    Parents_.add(Run, Now_ + Left, ClassId(Class), Standing);
  }
  CallParents::Parent find(Duration Left, const std::string &Called = "stock") {
    return Parents_.find(ClassId(Called), Now_ + Left);
  }
};

} // namespace

// Guards against calls that are not recognized because of the rounding of their time left, and
// against calls that are taken for those of another run.
TEST_CASE_METHOD(CallParentsFixture, "call_parents_deadline_of_one_run_finds_it") {
  add(1, 1000ms, "cart", standing(Urgent, 17, true));
  add(2, 900ms, "export", standing(Batch));
  for (const Duration Earlier : {0us, 400us, 1000us, 2000us, 3000us}) {
    INFO(Earlier.count() << " us earlier");
    const CallParents::Parent Found = find(1000ms - Earlier);
    CHECK(Found.Match_ == ParentMatch::Deadline);
    REQUIRE(Found.Standing_);
    CHECK(Found.Standing_->ClassRank_ == Urgent);
    CHECK(Found.Standing_->Place_ == 17);
    CHECK(Found.Standing_->Team_ == TeamId("t255"));
    CHECK(Found.Standing_->Repeated_);
  }
  CHECK(find(1002ms).Match_ == ParentMatch::None);
  CHECK(find(995ms).Match_ == ParentMatch::None);
  Parents_.remove(1);
  CHECK(find(1000ms).Match_ == ParentMatch::None);
  Parents_.remove(1);
  Parents_.remove(2);
  CHECK(Parents_.size() == 0);
}

// Guards against an urgent call that gets the rank of a less urgent run because several runs have
// its deadline, and against one less urgent than any of them.
TEST_CASE_METHOD(CallParentsFixture, "call_parents_ambiguous_deadline_gives_most_urgent_run") {
  for (CallParents::RunNumber Run = 0; Run < 50; ++Run)
    add(Run, 1000ms + Run * 20us, Run % 2 == 0 ? "cart" : "export",
        Run % 2 == 0 ? std::optional(standing(Urgent, static_cast<std::uint8_t>(50 - Run)))
                     : std::nullopt);
  const CallParents::Parent Found = find(1000ms);
  CHECK(Found.Match_ == ParentMatch::Ambiguous);
  REQUIRE(Found.Standing_);
  CHECK(Found.Standing_->ClassRank_ == Urgent);
  CHECK(Found.Standing_->Place_ == 2);
  // The root of none of the others is known, so the call is treated as if it had no parent.
  for (CallParents::RunNumber Run = 0; Run < 50; Run += 2)
    Parents_.remove(Run);
  CHECK(find(1000ms).Match_ == ParentMatch::Ambiguous);
  CHECK_FALSE(find(1000ms).Standing_);
}

// Guards against calls with a time limit of their own that lose the rank of their root although
// only one class of runs makes them.
TEST_CASE_METHOD(CallParentsFixture, "call_parents_class_with_one_caller_finds_its_runs") {
  add(1, 1000ms, "cart", standing(Urgent));
  for (int Number = 0; Number < 20; ++Number)
    find(200ms, "price");
  add(2, 900ms, "export", standing(Batch));
  const CallParents::Parent Found = find(200ms, "price");
  CHECK(Found.Match_ == ParentMatch::Class);
  REQUIRE(Found.Standing_);
  CHECK(Found.Standing_->ClassRank_ == Urgent);
  // Also for a call without a deadline; and not while no such run is at the server.
  CHECK(Parents_.find(ClassId("price"), std::nullopt).Match_ == ParentMatch::Class);
  CHECK(find(200ms, "price").First_);
  // A repeat among the runs that could have made the call: it may be no first attempt.
  add(3, 1000ms, "cart", standing(Urgent, 0, true));
  CHECK_FALSE(find(200ms, "price").First_);
  CHECK(find(200ms, "price").RepeatedShare_ == Approx(0.5));
  Parents_.remove(3);
  add(4, 1000ms, "cart", std::nullopt);
  CHECK_FALSE(find(200ms, "price").First_);
  Parents_.remove(4);
  Parents_.remove(1);
  CHECK(find(200ms, "price").Match_ == ParentMatch::None);
}

// Guards against calls of a class that are given to one class of runs although several make them,
// or because some of them match a run by accident.
TEST_CASE_METHOD(CallParentsFixture, "call_parents_class_with_several_callers_has_no_parent") {
  add(1, 1000ms, "cart", standing(Urgent));
  add(2, 900ms, "export", standing(Batch));
  for (int Number = 0; Number < 100; ++Number) {
    find(1000ms, "both");
    find(900ms, "both");
    find(Number % 4 == 0 ? 900ms : 200ms, "own_limit");
  }
  CHECK(find(200ms, "both").Match_ == ParentMatch::None);
  CHECK(find(200ms, "own_limit").Match_ == ParentMatch::None);
}

// Guards against memory that grows with the names of classes.
TEST_CASE_METHOD(CallParentsFixture, "call_parents_many_classes_keep_answering") {
  add(1, 1000ms, "cart", standing(Urgent));
  for (std::size_t Number = 0; Number < 3 * CallParents::MaxCalledClasses; ++Number)
    CHECK(find(1000ms, "c" + std::to_string(Number)).Match_ == ParentMatch::Deadline);
}

namespace {

/// A server with runs of two classes, which arrive and end at random. Their calls have a time limit
/// of their own.
struct PresenceFixture {
  static constexpr double RunSeconds = 0.1;
  static constexpr int CallsPerRun = 4;

  std::mt19937_64 Random_{1};
  CallParents Parents_;
  TimePoint Now_{100s};
  CallParents::RunNumber Last_ = 0;
  std::multimap<TimePoint, std::function<void()>> Events_;
  bool Count_ = false;
  std::map<std::string, bool> Calls_; ///< whether the runs of a class make calls
  std::map<std::string, int> Found_;  ///< calls by the class that was found

  void after(double Seconds, std::function<void()> Action) {
    Events_.emplace(Now_ + Duration(static_cast<std::int64_t>(Seconds * 1e6)), std::move(Action));
  }
  double pause(double Mean) { return std::exponential_distribution<double>(1.0 / Mean)(Random_); }
  void call() {
    const CallParents::Parent Parent = Parents_.find(ClassId("stock"), Now_ + 700ms);
    Found_[Parent.Class_.str()] += Count_ ? 1 : 0;
  }
  /// Adds runs of a class, of which a number is at the server on average.
  void runs(const std::string &Class, double Present) {
    after(pause(RunSeconds / Present), [=] {
      const CallParents::RunNumber Run = ++Last_;
      Parents_.add(Run, Now_ + 5s, ClassId(Class), standing(Urgent));
      const double Life = pause(RunSeconds);
      for (int Number = 0; Calls_[Class] && Number < CallsPerRun; ++Number)
        after(Life * Number / CallsPerRun, [this] { call(); });
      after(Life, [=] { Parents_.remove(Run); });
      runs(Class, Present);
    });
  }
  void openCalls(double PerSecond) {
    after(pause(1.0 / PerSecond), [=] {
      call();
      openCalls(PerSecond);
    });
  }
  void run(Duration Time, bool Count) {
    Count_ = Count;
    Found_.clear();
    for (const TimePoint End = Now_ + Time; Events_.begin()->first < End;) {
      const auto Next = Events_.extract(Events_.begin());
      Now_ = Next.key();
      Next.mapped()();
    }
  }
};

} // namespace

// Guards against calls with a time limit of their own that match no run, so that nothing is lent to
// them, and against a caller that is still believed when another class makes the calls.
TEST_CASE_METHOD(PresenceFixture, "call_parents_one_class_makes_calls_is_known_by_presence") {
  Random_.seed(GENERATE(1U, 2U, 3U));
  const double Present = GENERATE(2.3, 4.0, 20.0);
  Calls_["cart"] = true;
  runs("cart", Present);
  runs("export", std::min(Present, 4.0));
  run(20s, false);
  run(40s, true);
  INFO(Present << " runs; cart " << Found_["cart"] << ", not known " << Found_[""]);
  CHECK(Found_["cart"] >= 19 * Found_[""]);
  CHECK(Found_["export"] == 0);
  Calls_ = {{"cart", false}, {"export", true}};
  run(40s, false);
  run(20s, true);
  CHECK(Found_["cart"] == 0);
  CHECK(Found_["export"] > 0);
}

// Guards against calls that get the standing of a class of runs that does not make them.
TEST_CASE_METHOD(PresenceFixture, "call_parents_caller_is_not_certain_has_no_parent") {
  Random_.seed(GENERATE(1U, 2U, 3U));
  const double Present = GENERATE(2.3, 4.0, 20.0);
  const bool BothCall = GENERATE(true, false);
  Calls_ = {{"cart", BothCall}, {"export", BothCall}};
  runs("cart", Present);
  runs("export", Present);
  if (!BothCall)
    openCalls(160.0);
  run(60s, true);
  INFO(Present << " runs; both call: " << BothCall);
  CHECK(Found_["cart"] + Found_["export"] <= Found_[""] / 100);
}
