#include "sapphirehook/placement/arrival_budget.hpp"

namespace sapphirehook {

namespace {

/** Parts of the allowances that are used. The rest covers requests that are
    counted in another window, and daemons that start anew with a whole part of
   the slack. */
constexpr double kUsedPart = 0.9;
constexpr double kUsedSlack = 0.8;

void
ForgetBefore(std::deque<TimePoint>& aTimes, TimePoint aBegin)
{
  while (!aTimes.empty() && aTimes.front() < aBegin) {
    aTimes.pop_front();
  }
}

} // namespace

void
ArrivalBudget::Forget(TimePoint aNow)
{
  ForgetBefore(m_requests, aNow - m_config.m_window);
  ForgetBefore(m_repeats, aNow - m_config.m_window);
}

bool
ArrivalBudget::TryTake(TimePoint aNow)
{
  Forget(aNow);
  const double allowed =
    kUsedPart * m_config.m_ratio * static_cast<double>(m_requests.size()) +
    kUsedSlack * m_config.m_slack / static_cast<double>(m_daemons);
  if (static_cast<double>(m_repeats.size()) + 1.0 > allowed) {
    return false;
  }
  m_repeats.push_back(aNow);
  return true;
}

} // namespace sapphirehook
