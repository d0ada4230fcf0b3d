#include "bronzestand/backend_directory.h"

#include <optional>

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

using namespace bronzestand;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct DirectoryFixture {
  BackendDirectory Directory_;
  TimePoint Now_{seconds(100)};

  static BackendServer makeServer(const std::string &Id, const std::string &Host,
                                  std::uint64_t StartedMs = 1) {
    BackendServer Server;
    Server.Id_ = Id;
    Server.Host_ = HostId(Host);
    Server.Port_ = 80;
    Server.Service_ = ServiceId("orders");
    Server.StartedMs_ = StartedMs;
    return Server;
  }
  static BackendServer makeLeaving(const std::string &Id, const std::string &Host,
                                   std::uint64_t StartedMs = 1) {
    BackendServer Server = makeServer(Id, Host, StartedMs);
    Server.Leaving_ = true;
    return Server;
  }
  /// Replaces the list with what the platform lists after it was restored from a copy.
  bool restore(Duration After, std::vector<BackendServer> Entries) {
    return Directory_.replace(Now_ + After, std::move(Entries), false, true);
  }
  bool isUsed(const std::string &Id) const { return Directory_.find(Id) != nullptr; }
};

} // namespace

// Guards against calls to a server that left while the list was reliable.
TEST_CASE_METHOD(DirectoryFixture,
                 "directory_entry_removed_from_reliable_list_is_removed_at_once") {
  Directory_.put(makeServer("i-1", "10.0.0.1"));
  CHECK(Directory_.remove(Now_, "i-1", true));
  CHECK(Directory_.find("i-1") == nullptr);
}

// Guards against losing all servers when the platform's list loses its entries.
TEST_CASE_METHOD(DirectoryFixture,
                 "directory_entry_missing_from_unreliable_list_is_kept_until_it_recovers") {
  Directory_.put(makeServer("i-1", "10.0.0.1"));
  Directory_.put(makeServer("i-2", "10.0.0.2"));
  CHECK_FALSE(Directory_.replace(Now_, {}, false));
  CHECK(Directory_.find("i-1") != nullptr);
  Directory_.put(makeServer("i-1", "10.0.0.1"));
  CHECK_FALSE(Directory_.expire(Now_ + seconds(2)));
  CHECK(Directory_.expire(Now_ + seconds(3)));
  CHECK(Directory_.find("i-1") != nullptr);
  CHECK(Directory_.find("i-2") == nullptr);
}

// Guards against calls to a leaving server whose entry is lost together with the list.
TEST_CASE_METHOD(DirectoryFixture,
                 "directory_leaving_entry_missing_from_unreliable_list_is_removed") {
  BackendServer Server = makeServer("i-1", "10.0.0.1");
  Server.Leaving_ = true;
  Directory_.put(Server);
  CHECK(Directory_.remove(Now_, "i-1", false));
}

// Guards against calls to a server that said that it is leaving before the platform's list did.
TEST_CASE_METHOD(DirectoryFixture, "directory_run_that_said_it_is_leaving_stays_so") {
  Directory_.put(makeServer("i-1", "10.0.0.1"));
  CHECK(Directory_.markLeaving("i-1"));
  CHECK(!Directory_.markLeaving("i-1"));
  CHECK(!Directory_.markLeaving("i-2"));
  Directory_.put(makeServer("i-1", "10.0.0.1"));
  CHECK(Directory_.find("i-1")->Leaving_);
  CHECK(!restore(seconds(1), {makeServer("i-1", "10.0.0.1")}));
  CHECK(Directory_.find("i-1")->Leaving_);
  Directory_.put(makeServer("i-1", "10.0.0.1", 2));
  CHECK(!Directory_.find("i-1")->Leaving_);
}

// Guards against a delayed entry of an earlier run that replaces the current one.
TEST_CASE_METHOD(DirectoryFixture, "directory_entry_of_earlier_run_is_ignored") {
  Directory_.put(makeServer("i-1", "10.0.0.1", 2));
  BackendServer Old = makeServer("i-1", "10.0.0.1", 1);
  Old.Leaving_ = true;
  CHECK_FALSE(Directory_.put(Old));
  CHECK_FALSE(Directory_.find("i-1")->Leaving_);
}

// Guards against calls to a stopped server whose address another server now uses.
TEST_CASE_METHOD(DirectoryFixture, "directory_reused_address_belongs_to_the_later_server") {
  Directory_.put(makeServer("i-1", "10.0.0.1", 1));
  Directory_.put(makeServer("i-2", "10.0.0.1", 2));
  CHECK(Directory_.findByHost(HostId("10.0.0.1"))->Id_ == "i-2");
}

// Guards against a live server that is never used again because the restored list is never taken
// as true.
TEST_CASE_METHOD(DirectoryFixture, "directory_held_entry_still_listed_is_used_after_recovery") {
  Directory_.put(makeServer("i-1", "10.0.0.1"));
  Directory_.remove(Now_, "i-1", true);
  CHECK_FALSE(restore(seconds(1), {makeServer("i-1", "10.0.0.1")}));
  CHECK_FALSE(Directory_.expire(Now_ + milliseconds(3499)));
  CHECK_FALSE(isUsed("i-1"));
  CHECK(Directory_.expire(Now_ + milliseconds(3500)));
  CHECK(isUsed("i-1"));
}

// Guards against calls to a removed server whose restored entry lapses within the recovery time.
TEST_CASE_METHOD(DirectoryFixture, "directory_held_entry_removed_meanwhile_is_dropped") {
  const bool Trusted = GENERATE(true, false);
  Directory_.put(makeServer("i-1", "10.0.0.1"));
  Directory_.remove(Now_, "i-1", true);
  restore(seconds(1), {makeServer("i-1", "10.0.0.1")});
  CHECK_FALSE(Directory_.remove(Now_ + seconds(2), "i-1", Trusted));
  CHECK_FALSE(Directory_.expire(Now_ + seconds(10)));
  CHECK_FALSE(isUsed("i-1"));
}

// Guards against calls to a removed server that a second listing does not contain.
TEST_CASE_METHOD(DirectoryFixture, "directory_held_entry_absent_from_second_list_is_dropped") {
  const bool NewHistory = GENERATE(true, false);
  Directory_.put(makeServer("i-1", "10.0.0.1"));
  Directory_.remove(Now_, "i-1", true);
  restore(seconds(1), {makeServer("i-1", "10.0.0.1")});
  Directory_.replace(Now_ + seconds(2), {}, false, NewHistory);
  CHECK_FALSE(Directory_.expire(Now_ + seconds(10)));
  CHECK_FALSE(isUsed("i-1"));
}

// Guards against a live server that is held back although it has written its entry again.
TEST_CASE_METHOD(DirectoryFixture, "directory_held_entry_put_again_is_used_at_once") {
  Directory_.put(makeServer("i-1", "10.0.0.1"));
  Directory_.remove(Now_, "i-1", true);
  restore(seconds(1), {makeServer("i-1", "10.0.0.1")});
  CHECK(Directory_.put(makeServer("i-1", "10.0.0.1")));
  CHECK(isUsed("i-1"));
  CHECK_FALSE(Directory_.expire(Now_ + seconds(10)));
  CHECK(isUsed("i-1"));
}

// Guards against holding back a restarted server because its earlier run was removed.
TEST_CASE_METHOD(DirectoryFixture, "directory_new_run_of_removed_server_is_used_at_once") {
  Directory_.put(makeServer("i-1", "10.0.0.1", 1));
  Directory_.remove(Now_, "i-1", true);
  SECTION("listed after a restore") {
    CHECK(restore(seconds(1), {makeServer("i-1", "10.0.0.1", 2)}));
  }
  SECTION("put while its earlier run is held back") {
    restore(seconds(1), {makeServer("i-1", "10.0.0.1", 1)});
    CHECK(Directory_.put(makeServer("i-1", "10.0.0.1", 2)));
  }
  REQUIRE(isUsed("i-1"));
  CHECK_FALSE(Directory_.expire(Now_ + seconds(10)));
  CHECK(Directory_.find("i-1")->StartedMs_ == 2);
}

// Guards against calls to a leaving server that a restored list or a late entry shows as ready.
TEST_CASE_METHOD(DirectoryFixture, "directory_leaving_run_listed_as_ready_stays_leaving") {
  Directory_.put(makeLeaving("i-1", "10.0.0.1"));
  SECTION("put") { CHECK_FALSE(Directory_.put(makeServer("i-1", "10.0.0.1"))); }
  SECTION("restored list") { CHECK_FALSE(restore({}, {makeServer("i-1", "10.0.0.1")})); }
  REQUIRE(isUsed("i-1"));
  CHECK(Directory_.find("i-1")->Leaving_);
}

// Guards against a server that is never used again because its earlier run was leaving.
TEST_CASE_METHOD(DirectoryFixture, "directory_restarted_run_of_leaving_server_is_ready") {
  Directory_.put(makeLeaving("i-1", "10.0.0.1", 1));
  CHECK(Directory_.put(makeServer("i-1", "10.0.0.1", 2)));
  CHECK_FALSE(Directory_.find("i-1")->Leaving_);
}

// Guards against a removal that is remembered for ever and holds back a server for no reason.
TEST_CASE_METHOD(DirectoryFixture, "directory_removal_is_forgotten_after_a_minute") {
  Directory_.put(makeServer("i-1", "10.0.0.1"));
  Directory_.remove(Now_, "i-1", true);
  Directory_.expire(Now_ + seconds(60));
  restore(seconds(60), {makeServer("i-1", "10.0.0.1")});
  CHECK_FALSE(isUsed("i-1"));
  restore(seconds(60), {});
  Directory_.expire(Now_ + milliseconds(60001));
  CHECK(restore(milliseconds(60001), {makeServer("i-1", "10.0.0.1")}));
  CHECK(isUsed("i-1"));
}

// Guards against an early return of a removed server when the platform is restored twice in a row.
TEST_CASE_METHOD(DirectoryFixture, "directory_held_entry_after_second_restore_is_held_again") {
  Directory_.put(makeServer("i-1", "10.0.0.1"));
  Directory_.remove(Now_, "i-1", true);
  restore(seconds(1), {makeServer("i-1", "10.0.0.1")});
  CHECK_FALSE(restore(seconds(3), {makeServer("i-1", "10.0.0.1")}));
  CHECK_FALSE(Directory_.expire(Now_ + milliseconds(5499)));
  CHECK_FALSE(isUsed("i-1"));
  CHECK(Directory_.expire(Now_ + milliseconds(5500)));
  CHECK(isUsed("i-1"));
}

// Guards against a late entry of an earlier run that creates an empty entry or replaces the run
// that was put while its earlier run was held back.
TEST_CASE_METHOD(DirectoryFixture, "directory_late_entry_of_earlier_run_leaves_current_run") {
  Directory_.put(makeServer("i-1", "10.0.0.1", 2));
  Directory_.remove(Now_, "i-1", true);
  restore(seconds(1), {makeServer("i-1", "10.0.0.1", 2)});
  CHECK(Directory_.put(makeServer("i-1", "10.0.0.1", 2)));
  CHECK_FALSE(Directory_.put(makeServer("i-1", "10.0.0.9", 1)));
  CHECK(Directory_.all().size() == 1);
  CHECK(Directory_.find("i-1")->Host_ == HostId("10.0.0.1"));
}

// Guards against a server that is kept for ever when an entry of its earlier run arrives late.
TEST_CASE_METHOD(DirectoryFixture,
                 "directory_late_entry_of_earlier_run_does_not_prolong_kept_one") {
  Directory_.put(makeServer("i-1", "10.0.0.1", 2));
  restore({}, {});
  CHECK_FALSE(Directory_.put(makeServer("i-1", "10.0.0.1", 1)));
  CHECK(Directory_.isMissing("i-1"));
  CHECK(Directory_.expire(Now_ + milliseconds(2500)));
  CHECK_FALSE(isUsed("i-1"));
}

// Guards against calls to a removed run that is listed again after a restore, when an entry of an
// earlier run was put in between.
TEST_CASE_METHOD(DirectoryFixture, "directory_entry_of_earlier_run_keeps_removal_of_later_one") {
  Directory_.put(makeServer("i-1", "10.0.0.1", 2));
  Directory_.remove(Now_, "i-1", true);
  Directory_.put(makeServer("i-1", "10.0.0.1", 1));
  SECTION("still listed") {}
  SECTION("removed too") { Directory_.remove(Now_, "i-1", true); }
  restore(seconds(1), {makeServer("i-1", "10.0.0.1", 2)});
  const BackendServer *Used = Directory_.find("i-1");
  CHECK((Used == nullptr || Used->StartedMs_ == 1));
  CHECK(Directory_.expire(Now_ + milliseconds(3500)));
  REQUIRE(isUsed("i-1"));
  CHECK(Directory_.find("i-1")->StartedMs_ == 2);
}

// Guards against an early return of a removed server when the list is read again after a restore,
// as after a lost watch.
TEST_CASE_METHOD(DirectoryFixture, "directory_held_entry_in_second_list_stays_held_back") {
  const bool Trusted = GENERATE(true, false);
  Directory_.put(makeServer("i-1", "10.0.0.1"));
  Directory_.remove(Now_, "i-1", true);
  restore(seconds(1), {makeServer("i-1", "10.0.0.1")});
  CHECK_FALSE(
      Directory_.replace(Now_ + seconds(2), {makeServer("i-1", "10.0.0.1")}, Trusted, false));
  CHECK_FALSE(isUsed("i-1"));
  CHECK(Directory_.expire(Now_ + milliseconds(3500)));
  CHECK(isUsed("i-1"));
}

// Guards against calls to a server that left, whose entry of before it began to leave is restored.
TEST_CASE_METHOD(DirectoryFixture,
                 "directory_removed_leaving_run_restored_as_ready_stays_leaving") {
  Directory_.put(makeLeaving("i-1", "10.0.0.1"));
  Directory_.remove(Now_, "i-1", GENERATE(true, false));
  restore(seconds(1), {makeServer("i-1", "10.0.0.1")});
  SECTION("still listed after the recovery time") {
    CHECK(Directory_.expire(Now_ + milliseconds(3500)));
  }
  SECTION("put") { CHECK(Directory_.put(makeServer("i-1", "10.0.0.1"))); }
  REQUIRE(isUsed("i-1"));
  CHECK(Directory_.find("i-1")->Leaving_);
}

// Guards against the loss of live servers that a second restore gives no time to write again.
TEST_CASE_METHOD(DirectoryFixture, "directory_kept_entry_after_second_restore_is_kept_again") {
  Directory_.put(makeServer("i-1", "10.0.0.1"));
  restore({}, {});
  restore(seconds(2), {});
  CHECK_FALSE(Directory_.expire(Now_ + milliseconds(4499)));
  CHECK(isUsed("i-1"));
  CHECK(Directory_.expire(Now_ + milliseconds(4500)));
  CHECK_FALSE(isUsed("i-1"));
}

namespace {

const std::vector<std::string> ModelIds{"i-0", "i-1", "i-2"};

/// One change of the directory, with the state of each server in a listing.
struct DirectoryStep {
  enum class Kind { Put, Remove, Replace, Expire };
  struct Listing {
    bool Listed_ = false;
    std::uint64_t StartedMs_ = 1;
    bool Leaving_ = false;
  };
  Kind Kind_ = Kind::Expire;
  Duration Wait_{};
  std::size_t Server_ = 0; ///< for Put and Remove
  std::vector<Listing> Listings_;
  bool Trusted_ = false;
  bool NewHistory_ = false;
};

std::ostream &operator<<(std::ostream &Out, const DirectoryStep &Step) {
  static const char *const Names[] = {"put", "remove", "replace", "expire"};
  Out << "+" << Step.Wait_.count() / 1000 << "ms " << Names[static_cast<int>(Step.Kind_)] << " "
      << Step.Server_ << (Step.Trusted_ ? " trusted" : "") << (Step.NewHistory_ ? " new" : "");
  for (const DirectoryStep::Listing &Item : Step.Listings_)
    Out << " " << (Item.Listed_ ? std::to_string(Item.StartedMs_) : "-")
        << (Item.Leaving_ ? "l" : "");
  return Out;
}

rc::Gen<DirectoryStep> genStep() {
  using Kind = DirectoryStep::Kind;
  const auto Listing = rc::gen::build<DirectoryStep::Listing>(
      rc::gen::set(&DirectoryStep::Listing::Listed_,
                   rc::gen::weightedElement<bool>({{3, true}, {1, false}})),
      rc::gen::set(&DirectoryStep::Listing::StartedMs_, rc::gen::element<std::uint64_t>(1, 2, 3)),
      rc::gen::set(&DirectoryStep::Listing::Leaving_,
                   rc::gen::weightedElement<bool>({{4, false}, {1, true}})));
  const auto Wait =
      rc::gen::map(rc::gen::weightedElement<int>(
                       {{4, 0}, {4, 400}, {4, 1000}, {3, 2499}, {3, 2500}, {1, 30000}, {1, 60001}}),
                   [](int Value) { return Duration(milliseconds(Value)); });
  return rc::gen::build<DirectoryStep>(
      rc::gen::set(&DirectoryStep::Kind_, rc::gen::element(Kind::Put, Kind::Remove, Kind::Replace,
                                                           Kind::Replace, Kind::Expire)),
      rc::gen::set(&DirectoryStep::Wait_, Wait),
      rc::gen::set(&DirectoryStep::Server_, rc::gen::inRange<std::size_t>(0, ModelIds.size())),
      rc::gen::set(
          &DirectoryStep::Listings_,
          rc::gen::container<std::vector<DirectoryStep::Listing>>(ModelIds.size(), Listing)),
      rc::gen::set(&DirectoryStep::Trusted_, rc::gen::arbitrary<bool>()),
      rc::gen::set(&DirectoryStep::NewHistory_, rc::gen::arbitrary<bool>()));
}

/// What the rules say about one server.
class ModelServer {
public:
  struct Run {
    std::uint64_t StartedMs_ = 0;
    bool Leaving_ = false;
  };

  void put(Run Value) {
    Waiting_.reset();
    if (Used_ && Used_->StartedMs_ > Value.StartedMs_)
      return;
    for (const std::optional<Run> &Known : {Used_, Removed_})
      if (Known && Known->StartedMs_ == Value.StartedMs_ && Known->Leaving_)
        Value.Leaving_ = true;
    if (Removed_ && Removed_->StartedMs_ <= Value.StartedMs_)
      Removed_.reset();
    Used_ = Value;
    KeptUntil_.reset();
  }

  void remove(TimePoint Now, bool Trusted) {
    Waiting_.reset();
    if (!Used_)
      return;
    if (Trusted || Used_->Leaving_)
      drop(Now);
    else if (!KeptUntil_)
      KeptUntil_ = Now + milliseconds(2500);
  }

  void list(TimePoint Now, const std::optional<Run> &Value, bool Trusted, bool NewHistory) {
    const TimePoint Until = NewHistory ? Now + milliseconds(2500) : WaitingUntil_;
    if (!Value) {
      remove(Now, Trusted);
    } else if ((NewHistory || Waiting_) && Removed_ && Removed_->StartedMs_ >= Value->StartedMs_ &&
               !(Used_ && Used_->StartedMs_ >= Value->StartedMs_)) {
      Waiting_ = Value;
      WaitingUntil_ = Until;
    } else {
      put(*Value);
    }
    if (NewHistory && KeptUntil_)
      KeptUntil_ = Now + milliseconds(2500);
  }

  void expire(TimePoint Now) {
    if (KeptUntil_ && *KeptUntil_ <= Now)
      drop(Now);
    if (Waiting_ && WaitingUntil_ <= Now)
      put(Run(*Waiting_));
    if (Removed_ && Now - RemovedAt_ > seconds(60))
      Removed_.reset();
  }

  std::optional<Run> Used_;
  std::optional<TimePoint> KeptUntil_; ///< set while the run in use is not listed

private:
  void drop(TimePoint Now) {
    if (!Removed_ || Removed_->StartedMs_ <= Used_->StartedMs_)
      Removed_ = Used_;
    RemovedAt_ = Now;
    Used_.reset();
    KeptUntil_.reset();
  }

  std::optional<Run> Waiting_; ///< listed, but held back
  TimePoint WaitingUntil_{};
  std::optional<Run> Removed_; ///< the latest one
  TimePoint RemovedAt_{};
};

/// Applies steps to a directory and to the model, and checks after each step that they agree and
/// that the rules hold which don't need the model.
class DirectoryCheck {
public:
  void apply(const DirectoryStep &Step) {
    Now_ += Step.Wait_;
    const std::vector<History> Before = Histories_;
    switch (Step.Kind_) {
    case DirectoryStep::Kind::Put:
      put(Step.Server_, Step.Listings_[Step.Server_]);
      break;
    case DirectoryStep::Kind::Remove:
      Histories_[Step.Server_].Restored_ = false;
      Directory_.remove(Now_, ModelIds[Step.Server_], Step.Trusted_);
      Model_[Step.Server_].remove(Now_, Step.Trusted_);
      break;
    case DirectoryStep::Kind::Replace:
      replace(Step);
      break;
    case DirectoryStep::Kind::Expire:
      break;
    }
    // Entries end only in expire(), so compares after it.
    Directory_.expire(Now_);
    for (ModelServer &Server : Model_)
      Server.expire(Now_);
    for (std::size_t Index = 0; Index < ModelIds.size(); ++Index) {
      compare(Index);
      checkRules(Index, Before[Index]);
    }
    RC_ASSERT(Directory_.all().size() <= ModelIds.size());
  }

private:
  /// What was seen of a server.
  struct History {
    std::optional<BackendServer> Used_;
    std::map<std::uint64_t, TimePoint> Gone_; ///< removed runs that were not put again
    bool Restored_ =
        false; ///< the list since a restore may contain a removed run, and nothing was put
    std::optional<TimePoint> MissingSince_;
  };

  static BackendServer makeEntry(std::size_t Index, const DirectoryStep::Listing &Item) {
    // A server that restarts may move to the host of another one.
    const std::uint64_t Host = (Index + Item.StartedMs_) % ModelIds.size();
    BackendServer Result =
        DirectoryFixture::makeServer(ModelIds[Index], std::to_string(Host), Item.StartedMs_);
    Result.Leaving_ = Item.Leaving_;
    return Result;
  }

  void put(std::size_t Index, const DirectoryStep::Listing &Item) {
    Histories_[Index].Gone_.erase(Item.StartedMs_);
    Histories_[Index].Restored_ = false;
    Directory_.put(makeEntry(Index, Item));
    Model_[Index].put({Item.StartedMs_, Item.Leaving_});
  }

  void replace(const DirectoryStep &Step) {
    // An outage, and a restore even more, makes the list unreliable.
    const bool Trusted = Step.Trusted_ && !Step.NewHistory_;
    if (Step.NewHistory_)
      RestoredAt_ = Now_;
    std::vector<BackendServer> Entries;
    for (std::size_t Index = 0; Index < ModelIds.size(); ++Index) {
      const DirectoryStep::Listing &Item = Step.Listings_[Index];
      bool &Restored = Histories_[Index].Restored_;
      const bool WasGone =
          !Histories_[Index].Used_ && Histories_[Index].Gone_.count(Item.StartedMs_) != 0;
      Restored = Item.Listed_ && (Step.NewHistory_ ? WasGone : Restored);
      std::optional<ModelServer::Run> Run;
      if (Item.Listed_) {
        Entries.push_back(makeEntry(Index, Item));
        Run = {Item.StartedMs_, Item.Leaving_};
      }
      Model_[Index].list(Now_, Run, Trusted, Step.NewHistory_);
    }
    Directory_.replace(Now_, std::move(Entries), Trusted, Step.NewHistory_);
  }

  void compare(std::size_t Index) {
    const ModelServer &Expected = Model_[Index];
    const BackendServer *Found = Directory_.find(ModelIds[Index]);
    RC_ASSERT((Found != nullptr) == Expected.Used_.has_value());
    RC_ASSERT((Directory_.all().count(ModelIds[Index]) != 0) == (Found != nullptr));
    RC_ASSERT(Directory_.isMissing(ModelIds[Index]) == Expected.KeptUntil_.has_value());
    if (Found == nullptr)
      return;
    RC_ASSERT(Found->Id_ == ModelIds[Index]);
    RC_ASSERT(Found->StartedMs_ == Expected.Used_->StartedMs_);
    RC_ASSERT(Found->Leaving_ == Expected.Used_->Leaving_);
    const BackendServer *AtHost = Directory_.findByHost(Found->Host_);
    RC_ASSERT(AtHost != nullptr);
    RC_ASSERT(Directory_.find(AtHost->Id_) == AtHost);
    RC_ASSERT(AtHost->Host_ == Found->Host_);
    RC_ASSERT(AtHost->StartedMs_ >= Found->StartedMs_);
    RC_ASSERT(Directory_.hosts().count(Found->Host_) == 1U);
  }

  void checkRules(std::size_t Index, const History &Before) {
    History &Seen = Histories_[Index];
    const BackendServer *Found = Directory_.find(ModelIds[Index]);
    Seen.Used_ = Found == nullptr ? std::nullopt : std::make_optional(*Found);
    if (Before.Used_ && Found == nullptr)
      Seen.Gone_[Before.Used_->StartedMs_] = Now_;
    if (Directory_.isMissing(ModelIds[Index]))
      Seen.MissingSince_ =
          std::max(Seen.MissingSince_.value_or(Now_), RestoredAt_.value_or(TimePoint()));
    else
      Seen.MissingSince_.reset();
    RC_ASSERT(!Seen.MissingSince_ || Now_ - *Seen.MissingSince_ < milliseconds(2500));
    if (Found == nullptr)
      return;
    // A removal is forgotten after a minute, and with it that the run was leaving.
    const auto Gone = Seen.Gone_.find(Found->StartedMs_);
    if (Seen.Restored_ && Now_ - *RestoredAt_ < milliseconds(2500) && Gone != Seen.Gone_.end() &&
        Gone->second < *RestoredAt_)
      RC_ASSERT(Now_ - Gone->second > seconds(60));
    Seen.Gone_.erase(Found->StartedMs_);
    if (Before.Used_ && Before.Used_->StartedMs_ == Found->StartedMs_ && Before.Used_->Leaving_)
      RC_ASSERT(Found->Leaving_);
  }

  BackendDirectory Directory_;
  TimePoint Now_{seconds(100)};
  std::optional<TimePoint> RestoredAt_;
  std::vector<ModelServer> Model_{ModelIds.size()};
  std::vector<History> Histories_{ModelIds.size()};
};

} // namespace

// Guards against orders of changes, listings and restores that break a rule of the directory.
TEST_CASE("directory_random_changes_and_restores_keep_the_rules") {
  rc::prop("directory agrees with the rules", [] {
    DirectoryCheck Check;
    for (const DirectoryStep &Step :
         *rc::gen::container<std::vector<DirectoryStep>>(genStep()).as("steps"))
      Check.apply(Step);
  });
}
