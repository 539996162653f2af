#ifndef SAPPHIREHOOK_CORE_ARRIVAL_CLOCK_HPP
#define SAPPHIREHOOK_CORE_ARRIVAL_CLOCK_HPP

#include "sapphirehook/core/time.hpp"

namespace sapphirehook {

/** Tells when something that has just been read arrived. A process that was
    frozen reads later what came meanwhile; a time that counts from the arrival
    must not be longer for that. */
class ArrivalClock
{
public:
  /** A tick that comes aPaused after the one before tells that the process did
      not run. */
  ArrivalClock(TimePoint aNow, Millis aPaused) noexcept
    : m_paused(aPaused)
    , m_tickedAt(aNow)
  {
  }

  /** To be called at every tick; a late one tells of a pause. */
  void OnTick(TimePoint aNow) noexcept
  {
    if (aNow - m_tickedAt > m_paused) {
      m_pausedFrom = m_tickedAt;
      m_pausedTo = aNow;
    }
    m_tickedAt = aNow;
  }

  /** Returns the earliest time at which what is read now may have come. */
  [[nodiscard]] TimePoint EarliestArrival(TimePoint aNow) const noexcept
  {
    if (aNow - m_tickedAt > m_paused) {
      return m_tickedAt;
    }
    return aNow < m_pausedTo + kCatchesUpFor ? m_pausedFrom : aNow;
  }

private:
  /** Connections that waited are accepted first and read some ticks later. */
  static constexpr Millis kCatchesUpFor{ 500 };

  Millis m_paused;
  TimePoint m_tickedAt;
  /** The last time in which the process did not run. */
  TimePoint m_pausedFrom{};
  TimePoint m_pausedTo{};
};

} // namespace sapphirehook

#endif
