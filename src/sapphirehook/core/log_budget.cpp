#include "sapphirehook/core/log_budget.hpp"

namespace sapphirehook {

namespace {

/** Most lines of a second: of state, of all other ranks, and of these the
    routine ones. */
constexpr unsigned kMostState = 50;
constexpr unsigned kMostOthers = 350;
constexpr unsigned kMostRoutine = 20;

} // namespace

bool
LogBudget::Begin(Millis aNow) noexcept
{
  const auto second = std::chrono::duration_cast<std::chrono::seconds>(aNow);
  if (second == m_second) {
    return false;
  }
  m_second = second;
  m_stateLines = 0;
  m_otherLines = 0;
  m_routineLines = 0;
  return true;
}

bool
LogBudget::Take(LogRank aRank) noexcept
{
  if (aRank == LogRank::State) {
    return ++m_stateLines <= kMostState;
  }
  if (aRank == LogRank::Routine && ++m_routineLines > kMostRoutine) {
    return false;
  }
  return ++m_otherLines <= kMostOthers;
}

} // namespace sapphirehook
