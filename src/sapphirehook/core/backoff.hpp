#ifndef SAPPHIREHOOK_CORE_BACKOFF_HPP
#define SAPPHIREHOOK_CORE_BACKOFF_HPP

#include "sapphirehook/core/time.hpp"

#include <algorithm>
#include <random>

namespace sapphirehook {

/** Waits between tries: they double up to a limit, and each is drawn from the
    upper half of its span, so that many daemons do not try at once. */
class Backoff
{
public:
  Backoff(Millis aFirst, Millis aLongest, unsigned aSeed)
    : m_first(aFirst)
    , m_longest(aLongest)
    , m_next(aFirst)
    , m_random(aSeed)
  {
  }

  /** Returns the wait before the next try. */
  [[nodiscard]] Millis Next()
  {
    std::uniform_int_distribution<long long> draw(m_next.count() / 2,
                                                  m_next.count());
    const Millis wait(draw(m_random));
    m_next = std::min(m_next * 2, m_longest);
    return wait;
  }

  /** Changes the first wait, from the next success on, and the limit. */
  void SetLimits(Millis aFirst, Millis aLongest) noexcept
  {
    m_next = m_next == m_first ? aFirst : m_next;
    m_first = aFirst;
    m_longest = aLongest;
  }

  /** Starts over after a success. */
  void Reset() noexcept { m_next = m_first; }

private:
  Millis m_first;
  Millis m_longest;
  Millis m_next;
  std::minstd_rand m_random;
};

} // namespace sapphirehook

#endif
