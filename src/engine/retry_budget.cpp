#include "bronzestand/retry_budget.h"

#include <algorithm>

namespace bronzestand {

void RetryBudget::setNodes(std::size_t Count) { Nodes_ = std::max<std::size_t>(1, Count); }

double RetryBudget::capacity() const {
  return std::max(1.0, Settings_.FleetAllowance_ / static_cast<double>(Nodes_));
}

double &RetryBudget::tokensOf(const ServiceId &Service) {
  return Tokens_.emplace(Service, capacity()).first->second;
}

void RetryBudget::noteFirst(const ServiceId &Service) {
  double &Tokens = tokensOf(Service);
  Tokens = std::min(capacity(), Tokens + Settings_.Ratio_);
}

bool RetryBudget::take(const ServiceId &Service) {
  double &Tokens = tokensOf(Service);
  if (Tokens < 1.0)
    return false;
  Tokens -= 1.0;
  return true;
}

} // namespace bronzestand
