#ifndef BRONZESTAND_RETRY_BUDGET_H
#define BRONZESTAND_RETRY_BUDGET_H

#include <unordered_map>

#include "bronzestand/types.h"

namespace bronzestand {

/// Bounds repeated sends to each service over the whole fleet without messages: every node spends
/// only what its own first sends have earned, and its share of a fixed allowance. Design section 7.
///
/// A repeated run makes its calls again, which count as repeats at the services that it calls. A
/// service whose backend servers make calls therefore gets a smaller part of the budget, so that
/// the parts of a chain of MaxDepth services add up to the whole.
class RetryBudget {
public:
  static constexpr unsigned MaxDepth = 4;

  struct Settings {
    double Ratio_ = 0.2;          ///< repeats that the fleet may send for each request
    double FleetAllowance_ = 0.0; ///< repeats of all nodes together beyond that, in a window
  };

  explicit RetryBudget(const Settings &Values) : Settings_(Values) {}

  /// \param Count nodes that share the allowance, at least 1.
  void setNodes(std::size_t Count);
  /// Notes whether the backend servers of a service make calls; assumed until it is known.
  void noteCalls(const ServiceId &Service, bool MakesCalls);
  void noteFirst(const ServiceId &Service);
  /// Takes one repeat; false if the budget is spent.
  /// \param Urgent may use the whole bucket; other requests leave half of it.
  bool take(const ServiceId &Service, bool Urgent);

private:
  struct Bucket {
    double Tokens_ = 0.0;
    bool Leaf_ = false;  ///< known to make no calls
    bool Given_ = false; ///< has got its part of the allowance
  };

  double part(const Bucket &Item) const;
  double capacity(const Bucket &Item) const;
  Bucket &bucketOf(const ServiceId &Service);

  Settings Settings_;
  std::size_t Nodes_ = 1;
  std::unordered_map<ServiceId, Bucket> Buckets_;
};

} // namespace bronzestand

#endif
