#ifndef SAPPHIREHOOK_CORE_LOG_BUDGET_HPP
#define SAPPHIREHOOK_CORE_LOG_BUDGET_HPP

#include "sapphirehook/core/time.hpp"

#include <cstdint>

namespace sapphirehook {

/** How important a line is when there are more than may be written. */
enum class LogRank : unsigned char
{
  /** What the daemon as a whole goes by: its configuration, its lead, the
     store. Has room of its own, so that no flood of other lines hides it. */
  State,
  /** Other changes of state, and requests that failed. */
  Event,
  /** Requests that went well; the first to be left out. */
  Routine,
};

/** Limits the lines that are written in a second, by their rank. */
class LogBudget
{
public:
  /** Begins the next second when it is due; returns whether it has. */
  bool Begin(Millis aNow) noexcept;

  /** Counts a line in; returns false when it is to be left out. */
  [[nodiscard]] bool Take(LogRank aRank) noexcept;

private:
  std::chrono::seconds m_second{};
  unsigned m_stateLines = 0;
  unsigned m_otherLines = 0;
  unsigned m_routineLines = 0;
};

} // namespace sapphirehook

#endif
