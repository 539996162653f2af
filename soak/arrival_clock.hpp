#ifndef SAPPHIREHOOK_SOAK_ARRIVAL_CLOCK_HPP
#define SAPPHIREHOOK_SOAK_ARRIVAL_CLOCK_HPP

#include "sapphirehook/core/time.hpp"

namespace sapphirehook::soak {

/** Tells when a call that has just been read arrived. A process that was frozen
    reads later what came meanwhile, and a time that counts from the arrival of
   a call must not be longer for that. */
class ArrivalClock
{
public:
  /** Time between two ticks. */
  static constexpr Millis kTick{ 20 };

  explicit ArrivalClock(TimePoint aNow) noexcept
    : m_tickedAt(aNow)
  {
  }

  /** To be called at every tick; a late one tells of a pause. */
  void OnTick(TimePoint aNow) noexcept
  {
    if (aNow - m_tickedAt > kPaused) {
      m_pausedFrom = m_tickedAt;
      m_pausedTo = aNow;
    }
    m_tickedAt = aNow;
  }

  /** Returns the earliest time at which a call that is read now may have come.
   */
  [[nodiscard]] TimePoint EarliestArrival(TimePoint aNow) const noexcept
  {
    if (aNow - m_tickedAt > kPaused) {
      return m_tickedAt;
    }
    return aNow < m_pausedTo + kCatchesUpFor ? m_pausedFrom : aNow;
  }

private:
  /** A tick this late tells that the process did not run. */
  static constexpr Millis kPaused{ 100 };
  /** Connections that waited are accepted first and read some ticks later. */
  static constexpr Millis kCatchesUpFor{ 500 };

  TimePoint m_tickedAt;
  /** The last time in which the process did not run. */
  TimePoint m_pausedFrom{};
  TimePoint m_pausedTo{};
};

} // namespace sapphirehook::soak

#endif
