#ifndef SAPPHIREHOOK_PLACEMENT_SLOT_RESERVE_HPP
#define SAPPHIREHOOK_PLACEMENT_SLOT_RESERVE_HPP

#include <cstddef>

namespace sapphirehook {

/** Limit of the slots of an endpoint that less urgent requests may occupy, so
    that urgent ones do not queue behind them. */
struct SlotReserve
{
  /** Whether the request is of a limited kind. */
  bool m_isLimited = false;
  /** Expected share of limited requests among those that run at an endpoint.
      Reports of other daemons do not tell the kinds of their requests. */
  double m_limitedShare = 1.0;

  /** Returns whether an endpoint with aRunning requests may have one more. A
      third of its slots is reserved, and limited requests never queue at an
      endpoint. */
  [[nodiscard]] constexpr bool Allows(std::size_t aRunning,
                                      std::size_t aSlots) const noexcept
  {
    constexpr std::size_t kReservedPart = 3;
    const std::size_t unreserved = aSlots - aSlots / kReservedPart;
    return !m_isLimited || (aRunning < aSlots &&
                            static_cast<double>(aRunning) * m_limitedShare <
                              static_cast<double>(unreserved));
  }
};

} // namespace sapphirehook

#endif
