#ifndef SAPPHIREHOOK_CORE_ARRIVAL_CLOCK_HPP
#define SAPPHIREHOOK_CORE_ARRIVAL_CLOCK_HPP

#include "sapphirehook/core/time.hpp"

namespace sapphirehook {

/** Estimates when data that has just been read arrived. After the process was
    frozen, it reads data that arrived during the pause; a timeout that counts
    from the arrival does not grow by the pause. */
class ArrivalClock
{
public:
  /** A gap of more than aPauseThreshold between two ticks counts as a pause of
      the process. */
  ArrivalClock(TimePoint aNow, Millis aPauseThreshold) noexcept
    : m_pauseThreshold(aPauseThreshold)
    , m_lastTickAt(aNow)
  {
  }

  /** Records a tick of the event loop, and a pause if the tick is late. */
  void OnTick(TimePoint aNow) noexcept
  {
    if (aNow - m_lastTickAt > m_pauseThreshold) {
      m_pauseStart = m_lastTickAt;
      m_pauseEnd = aNow;
    }
    m_lastTickAt = aNow;
  }

  /** Returns the earliest time at which data that is read now can have
      arrived. */
  [[nodiscard]] TimePoint EarliestArrival(TimePoint aNow) const noexcept
  {
    if (aNow - m_lastTickAt > m_pauseThreshold) {
      return m_lastTickAt;
    }
    return aNow < m_pauseEnd + kCatchUpDuration ? m_pauseStart : aNow;
  }

private:
  /** Time after a pause in which data that is read may date from the pause:
      queued connections are accepted first and read some ticks later. */
  static constexpr Millis kCatchUpDuration{ 500 };

  Millis m_pauseThreshold;
  TimePoint m_lastTickAt;
  /** The last pause of the process. */
  TimePoint m_pauseStart{};
  TimePoint m_pauseEnd{};
};

} // namespace sapphirehook

#endif
