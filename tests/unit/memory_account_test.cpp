#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include "node/memory_account.h"

using namespace bronzestand::node;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t MaxBytes = 4UL * 1024 * 1024;
constexpr std::size_t Large = MaxBytes / 4;

struct Holder final : MemoryHolder {
  void onRoom() override { ++Rooms_; }
  void onNoRoom() override { ++Refused_; }
  void giveUp() override { ++Closed_; }
  int Rooms_ = 0;
  int Refused_ = 0;
  int Closed_ = 0;
};

struct AccountFixture {
  boost::asio::io_context Io_;
  std::shared_ptr<MemoryAccount> Account_ = std::make_shared<MemoryAccount>(Io_, MaxBytes);
  MemoryAccount::Clock::time_point Now_ = MemoryAccount::Clock::now();
  std::array<Holder, 3> Full_;

  /// Takes all that large requests may have.
  AccountFixture() {
    for (Holder &Item : Full_)
      Account_->hold(Item, Large);
  }
};

} // namespace

// Guards against measures out of order: a large body without room waits, goes on when another ends,
// is refused if none does, and only then a connection is closed.
TEST_CASE_METHOD(AccountFixture, "memory_account_waits_then_refuses_then_closes") {
  Holder Item;
  CHECK_FALSE(Account_->makeRoom(Item, Large, Large));
  Account_->waitForRoom(Item, Large, Now_);
  Account_->tick(Now_ + MemoryAccount::RefuseAfter - 1ms);
  CHECK(Item.Refused_ == 0);
  Account_->hold(Full_[0], 0);
  Io_.run();
  CHECK(Item.Rooms_ == 1);
  Account_->hold(Full_[0], Large);
  Account_->waitForRoom(Item, Large, Now_);
  Account_->tick(Now_ + MemoryAccount::RefuseAfter);
  CHECK(Item.Refused_ == 1);
  CHECK(Full_[0].Closed_ + Full_[1].Closed_ + Full_[2].Closed_ == 0);
  Account_->waitForRoom(Item, Large, Now_ + MemoryAccount::CloseAfter);
  Account_->tick(Now_ + MemoryAccount::CloseAfter);
  // All hold the same; the second one has gone longest without progress.
  CHECK(Full_[1].Closed_ == 1);
}

// Guards against small requests that are shut out by large ones.
TEST_CASE_METHOD(AccountFixture, "memory_account_small_request_has_room_beside_large_ones") {
  std::vector<std::unique_ptr<Holder>> Items;
  for (std::size_t Bytes = 0; Bytes < 2 * Large; Bytes += MemoryAccount::SmallBytes) {
    Items.push_back(std::make_unique<Holder>());
    const std::size_t Size = MemoryAccount::SmallBytes;
    REQUIRE(Account_->makeRoom(*Items.back(), Size, Size));
    Account_->hold(*Items.back(), Size);
    REQUIRE(Account_->bytes() <= MaxBytes);
  }
  CHECK(Account_->measured(MemoryMeasure::ClosedLargest) == 1);
}

// Guards against requests that wait for room that there can never be.
TEST_CASE_METHOD(AccountFixture, "memory_account_tells_what_never_fits") {
  CHECK(Account_->canEverFit(MaxBytes - MaxBytes / MemoryAccount::SmallDivisor));
  CHECK_FALSE(Account_->canEverFit(MaxBytes));
}
