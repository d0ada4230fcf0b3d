#include "node/supervisor.h"

#include <exception>

namespace bronzestand::node {
namespace {

constexpr std::size_t MaxRestarts = 5;
constexpr Duration RestartWindow = std::chrono::seconds(60);

} // namespace

Supervisor::Supervisor() : Log_(makeLogger("supervisor")) {}

void Supervisor::add(Part &Added) {
  Child Item;
  Item.Part_ = &Added;
  Children_.push_back(std::move(Item));
}

absl::Status Supervisor::start() {
  for (Child &Item : Children_) {
    absl::Status Result = Item.Part_->start();
    if (!Result.ok()) {
      Log_->error("part {} did not start: {}", Item.Part_->name(), std::string(Result.message()));
      stop();
      return Result;
    }
    Item.Running_ = true;
  }
  return absl::OkStatus();
}

void Supervisor::stop() {
  for (auto Item = Children_.rbegin(); Item != Children_.rend(); ++Item)
    if (std::exchange(Item->Running_, false))
      Item->Part_->stop();
}

template <typename Callable> void Supervisor::forEachRunning(TimePoint Now, Callable Function) {
  for (Child &Item : Children_) {
    if (!Item.Running_)
      continue;
    try {
      Function(*Item.Part_);
    } catch (const std::exception &Failure) {
      onFailure(Item, Now, Failure.what());
    }
  }
}

void Supervisor::tick(TimePoint Now) {
  forEachRunning(Now, [Now](Part &Item) { Item.tick(Now); });
}

void Supervisor::pause(TimePoint Now) {
  forEachRunning(Now, [Now](Part &Item) { Item.onPause(Now); });
}

void Supervisor::onFailure(Child &Failed, TimePoint Now, const std::string &Reason) {
  Failed.LastFailure_ = Reason;
  while (!Failed.Restarts_.empty() && Now - Failed.Restarts_.front() > RestartWindow)
    Failed.Restarts_.pop_front();
  Failed.Part_->stop();
  Failed.Running_ = false;
  if (Failed.Restarts_.size() >= MaxRestarts) {
    Log_->error("part {} failed too often and stays stopped: {}", Failed.Part_->name(), Reason);
    return;
  }
  Failed.Restarts_.push_back(Now);
  Log_->warn("part {} failed, restarting it: {}", Failed.Part_->name(), Reason);
  Failed.Running_ = Failed.Part_->start().ok();
}

nlohmann::json Supervisor::dump() const {
  nlohmann::json Result;
  for (const Child &Item : Children_)
    Result[std::string(Item.Part_->name())] = {{"running", Item.Running_},
                                               {"restarts", Item.Restarts_.size()},
                                               {"last_failure", Item.LastFailure_}};
  return Result;
}

} // namespace bronzestand::node
