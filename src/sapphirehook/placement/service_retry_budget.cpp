#include "sapphirehook/placement/service_retry_budget.hpp"

namespace sapphirehook {

namespace {

/** Fractions of the ratio and of the slack that a daemon uses. The rest covers
    requests that are counted in another window, and restarted daemons, which
    begin with their whole share of the slack. */
constexpr double kUsedRatioShare = 0.9;
constexpr double kUsedSlackShare = 0.8;

void
DropBefore(std::deque<TimePoint>& aTimes, TimePoint aBegin)
{
  while (!aTimes.empty() && aTimes.front() < aBegin) {
    aTimes.pop_front();
  }
}

} // namespace

void
ServiceRetryBudget::Forget(TimePoint aNow)
{
  DropBefore(m_requests, aNow - m_config.m_window);
  DropBefore(m_repeats, aNow - m_config.m_window);
}

bool
ServiceRetryBudget::TryTake(TimePoint aNow)
{
  Forget(aNow);
  const double allowed =
    kUsedRatioShare * m_config.m_ratio *
      static_cast<double>(m_requests.size()) +
    kUsedSlackShare * m_config.m_slack / static_cast<double>(m_daemons);
  if (static_cast<double>(m_repeats.size()) + 1.0 > allowed) {
    return false;
  }
  m_repeats.push_back(aNow);
  return true;
}

} // namespace sapphirehook
