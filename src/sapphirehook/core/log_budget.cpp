#include "sapphirehook/core/log_budget.hpp"

namespace sapphirehook {

namespace {

/** Maximum number of lines per second: State lines, lines of all other
    priorities, and the Routine lines among the latter. */
constexpr unsigned kMaxStateLines = 50;
constexpr unsigned kMaxOtherLines = 350;
constexpr unsigned kMaxRoutineLines = 20;

} // namespace

bool
LogBudget::BeginSecond(Millis aNow) noexcept
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
LogBudget::TryTake(LogPriority aPriority) noexcept
{
  if (aPriority == LogPriority::State) {
    return ++m_stateLines <= kMaxStateLines;
  }
  if (aPriority == LogPriority::Routine &&
      ++m_routineLines > kMaxRoutineLines) {
    return false;
  }
  return ++m_otherLines <= kMaxOtherLines;
}

} // namespace sapphirehook
