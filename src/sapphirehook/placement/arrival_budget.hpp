#ifndef SAPPHIREHOOK_PLACEMENT_ARRIVAL_BUDGET_HPP
#define SAPPHIREHOOK_PLACEMENT_ARRIVAL_BUDGET_HPP

#include "sapphirehook/core/time.hpp"

#include <cstddef>
#include <deque>

namespace sapphirehook {

/** Limits of repeated sends to one service. */
struct BudgetConfig
{
  /** Repeats allowed for each request of the window. */
  double m_ratio = 0.2;
  /** Repeats allowed besides, by all daemons together. */
  double m_slack = 50.0;
  std::chrono::nanoseconds m_window = std::chrono::seconds(10);
};

/** This daemon's share of the repeats that all daemons may send to one service
    in any window of time. Each keeps to its own requests' ratio and an equal
    part of the slack, so that no exchange between daemons is needed. */
class ArrivalBudget
{
public:
  explicit ArrivalBudget(BudgetConfig aConfig)
    : m_config(aConfig)
  {
  }

  /** Sets other limits; what has been sent counts on. */
  void SetConfig(BudgetConfig aConfig) noexcept { m_config = aConfig; }

  /** Sets how many daemons share the slack. */
  void SetDaemons(std::size_t aDaemons) noexcept { m_daemons = aDaemons; }

  /** Counts a caller's request. */
  void OnRequest(TimePoint aNow) { m_requests.push_back(aNow); }

  /** Takes one repeat; false when none is left in this window. */
  [[nodiscard]] bool TryTake(TimePoint aNow);

  /** Counts a repeat that could not be avoided. */
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
