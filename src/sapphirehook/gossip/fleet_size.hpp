#ifndef SAPPHIREHOOK_GOSSIP_FLEET_SIZE_HPP
#define SAPPHIREHOOK_GOSSIP_FLEET_SIZE_HPP

#include "sapphirehook/core/time.hpp"

#include <algorithm>
#include <cstddef>
#include <optional>

namespace sapphirehook {

/** Up to this many daemons each one tells all others of itself; beyond, all
    tell the leader, which keeps the number of messages linear. */
inline constexpr std::size_t kSmallFleet = 16;

/** A new leader has heard every daemon after this time; in a large fleet each
    speaks to it several times in that. */
inline constexpr Millis kHearAllFollowers{ 1000 };

/** How many daemons there are. Everybody hears everybody in a small fleet; in a
    large one the leader counts and tells. A daemon that has just begun to lead
    has not heard the others yet, and goes by the count before. */
class FleetSize
{
public:
  /** The leader has told its count. */
  void OnTold(std::size_t aDaemons) noexcept { m_daemons = aDaemons; }

  /** So many are registered; it counts until a leader is heard of. */
  void OnRegistered(std::size_t aDaemons) noexcept
  {
    m_daemons = std::max(m_daemons, aDaemons);
  }

  /** This daemon hears so many, itself included. aLedSince is empty unless it
      leads. */
  void OnHeard(TimePoint aNow,
               std::size_t aDaemons,
               std::optional<TimePoint> aLedSince) noexcept
  {
    if (!aLedSince) {
      m_daemons = IsLarge() ? m_daemons : aDaemons;
    } else if (aNow < *aLedSince + kHearAllFollowers) {
      m_daemons = std::max(m_daemons, aDaemons);
    } else {
      m_daemons = aDaemons;
    }
  }

  [[nodiscard]] std::size_t Daemons() const noexcept { return m_daemons; }

  [[nodiscard]] bool IsLarge() const noexcept
  {
    return m_daemons > kSmallFleet;
  }

private:
  std::size_t m_daemons = 1;
};

} // namespace sapphirehook

#endif
