#ifndef SAPPHIREHOOK_DISPATCH_RETRY_BUDGET_HPP
#define SAPPHIREHOOK_DISPATCH_RETRY_BUDGET_HPP

#include <algorithm>

namespace sapphirehook {

/** Allows retries as a share of recent successes, so that retries cannot
    multiply the load on endpoints that fail. */
class RetryBudget
{
public:
  /** Adds a tenth of a retry, up to the most that can be saved. */
  void OnSuccess() noexcept { m_tenths = std::min(m_tenths + 1, kMostTenths); }

  /** Takes one retry. Returns false when there is none to take. */
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
  static constexpr int kMostTenths = 1000;
  int m_tenths = 100;
};

} // namespace sapphirehook

#endif
