#ifndef SAPPHIREHOOK_PLACEMENT_SERVICE_RETRY_BUDGET_HPP
#define SAPPHIREHOOK_PLACEMENT_SERVICE_RETRY_BUDGET_HPP

#include "sapphirehook/core/time.hpp"

#include <cstddef>
#include <deque>

namespace sapphirehook {

/** Limits of the retries to one service. */
struct BudgetConfig
{
  /** Retries allowed for each request in the window. */
  double m_ratio = 0.2;
  /** Additional retries allowed to all daemons together. */
  double m_slack = 50.0;
  std::chrono::nanoseconds m_window = std::chrono::seconds(10);
};

/** This daemon's share of the retries that all daemons may send to one service
    in any time window. Each daemon applies the ratio to its own requests and
    uses an equal share of the slack, which needs no communication between
    daemons. */
class ServiceRetryBudget
{
public:
  explicit ServiceRetryBudget(BudgetConfig aConfig)
    : m_config(aConfig)
  {
  }

  /** Sets the limits. Requests and retries already counted stay counted. */
  void SetConfig(BudgetConfig aConfig) noexcept { m_config = aConfig; }

  /** Sets the number of daemons that share the slack. */
  void SetDaemons(std::size_t aDaemons) noexcept { m_daemons = aDaemons; }

  /** Counts a request of a caller. */
  void OnRequest(TimePoint aNow) { m_requests.push_back(aNow); }

  /** Takes one retry from the budget. Returns false if none is left in this
      window. */
  [[nodiscard]] bool TryTake(TimePoint aNow);

  /** Counts an unavoidable retry, which is sent without TryTake(). */
  void OnRepeat(TimePoint aNow) { m_repeats.push_back(aNow); }

private:
  void Forget(TimePoint aNow);

  BudgetConfig m_config;
  std::size_t m_daemons = 1;
  std::deque<TimePoint> m_requests;
  std::deque<TimePoint> m_repeats;
};

} // namespace sapphirehook

#endif
