#ifndef SAPPHIREHOOK_CORE_BACKOFF_HPP
#define SAPPHIREHOOK_CORE_BACKOFF_HPP

#include "sapphirehook/core/time.hpp"

#include <algorithm>
#include <random>

namespace sapphirehook {

/** Exponential backoff with jitter. The delay doubles up to a maximum, and each
    delay is drawn from the upper half of its range, so that many daemons do not
    retry at the same time. */
class Backoff
{
public:
  Backoff(Millis aInitialDelay, Millis aMaxDelay, unsigned aSeed)
    : m_initialDelay(aInitialDelay)
    , m_maxDelay(aMaxDelay)
    , m_nextDelay(aInitialDelay)
    , m_random(aSeed)
  {
  }

  /** Returns the delay before the next attempt. */
  [[nodiscard]] Millis Next()
  {
    std::uniform_int_distribution<long long> distribution(
      m_nextDelay.count() / 2, m_nextDelay.count());
    const Millis delay(distribution(m_random));
    m_nextDelay = std::min(m_nextDelay * 2, m_maxDelay);
    return delay;
  }

  /** Sets the initial and the maximum delay. After a failed attempt, the new
      initial delay applies from the next success on. */
  void SetLimits(Millis aInitialDelay, Millis aMaxDelay) noexcept
  {
    m_nextDelay = m_nextDelay == m_initialDelay ? aInitialDelay : m_nextDelay;
    m_initialDelay = aInitialDelay;
    m_maxDelay = aMaxDelay;
  }

  /** Returns to the initial delay after a success. */
  void Reset() noexcept { m_nextDelay = m_initialDelay; }

private:
  Millis m_initialDelay;
  Millis m_maxDelay;
  Millis m_nextDelay;
  std::minstd_rand m_random;
};

} // namespace sapphirehook

#endif
