#ifndef SAPPHIREHOOK_CORE_LOG_BUDGET_HPP
#define SAPPHIREHOOK_CORE_LOG_BUDGET_HPP

#include "sapphirehook/core/time.hpp"

#include <cstdint>

namespace sapphirehook {

/** Priority of a log line when the number of lines exceeds the limit. */
enum class LogPriority : unsigned char
{
  /** State of the daemon as a whole: configuration, leadership, the store. Has
      a limit of its own, so that many other lines do not displace it. */
  State,
  /** Other state changes, and failed requests. */
  Event,
  /** Successful requests; these are dropped first. */
  Routine,
};

/** Limits the log lines per second by priority. */
class LogBudget
{
public:
  /** Resets the counters if a new second has begun since the last call, and
      returns whether it has. */
  bool BeginSecond(Millis aNow) noexcept;

  /** Counts a line. Returns false if the line exceeds the limit. */
  [[nodiscard]] bool TryTake(LogPriority aPriority) noexcept;

private:
  std::chrono::seconds m_second{};
  unsigned m_stateLines = 0;
  unsigned m_otherLines = 0;
  unsigned m_routineLines = 0;
};

} // namespace sapphirehook

#endif
