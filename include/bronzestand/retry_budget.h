#ifndef BRONZESTAND_RETRY_BUDGET_H
#define BRONZESTAND_RETRY_BUDGET_H

#include <unordered_map>

#include "bronzestand/types.h"

namespace bronzestand {

/// Bounds repeated sends to each service over the whole fleet without messages: every node spends
/// only what its own first sends have earned, and its share of a fixed allowance. Design section 7.
class RetryBudget {
public:
  struct Settings {
    double Ratio_ = 0.1;          ///< repeats earned by each first send
    double FleetAllowance_ = 0.0; ///< repeats of all nodes together beyond that, in a window
  };

  explicit RetryBudget(const Settings &Values) : Settings_(Values) {}

  /// \param Count nodes that share the allowance, at least 1.
  void setNodes(std::size_t Count);
  void noteFirst(const ServiceId &Service);
  /// Takes one repeat; false if the budget is spent.
  bool take(const ServiceId &Service);

private:
  double capacity() const;
  double &tokensOf(const ServiceId &Service);

  Settings Settings_;
  std::size_t Nodes_ = 1;
  std::unordered_map<ServiceId, double> Tokens_;
};

} // namespace bronzestand

#endif
