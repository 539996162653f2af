#ifndef SAPPHIREHOOK_DISPATCH_RETRY_BUDGET_HPP
#define SAPPHIREHOOK_DISPATCH_RETRY_BUDGET_HPP

#include <algorithm>

namespace sapphirehook {

/** Limits retries to a tenth of the successes, plus a bounded burst, so that
    retries cannot multiply the load on failing endpoints. */
class RetryBudget
{
public:
  /** Adds a tenth of a retry, up to the maximum balance. */
  void OnSuccess() noexcept { m_tenths = std::min(m_tenths + 1, kMaxTenths); }

  /** Takes one retry from the budget. Returns false if less than one
      is left. */
  [[nodiscard]] bool TryTake() noexcept
  {
    if (m_tenths < kTenthsPerRetry) {
      return false;
    }
    m_tenths -= kTenthsPerRetry;
    return true;
  }

private:
  static constexpr int kTenthsPerRetry = 10;
  static constexpr int kMaxTenths = 1000;
  int m_tenths = 100;
};

} // namespace sapphirehook

#endif
