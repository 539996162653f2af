#ifndef SAPPHIREHOOK_GOSSIP_FLEET_SIZE_HPP
#define SAPPHIREHOOK_GOSSIP_FLEET_SIZE_HPP

#include "sapphirehook/core/time.hpp"

#include <algorithm>
#include <cstddef>
#include <optional>

namespace sapphirehook {

/** Largest fleet in which each daemon sends its heartbeats to all others. In a
    larger fleet the daemons send them to the leader only, so that the number of
    messages grows linearly with the fleet. */
inline constexpr std::size_t kMaxSmallFleetSize = 16;

/** Time after which a new leader has received a heartbeat from every daemon. In
    a large fleet each daemon sends it several heartbeats in this time. */
inline constexpr Millis kFollowerDiscoveryTime{ 1000 };

/** Tracks the number of daemons. In a small fleet each daemon counts the peers
    whose heartbeats it receives. In a large fleet the leader counts them and
    reports the number to the others. A new leader has not received all
    heartbeats yet and keeps the previous number as a lower bound. */
class FleetSize
{
public:
  /** Takes the number of daemons that the leader reports. */
  void OnLeaderCount(std::size_t aDaemons) noexcept { m_daemons = aDaemons; }

  /** Takes the number of registered daemons, which applies until a leader
      reports a number. */
  void OnRegisteredCount(std::size_t aDaemons) noexcept
  {
    m_daemons = std::max(m_daemons, aDaemons);
  }

  /** Takes the number of daemons whose heartbeats this daemon receives, itself
      included. aLeaderSince is empty unless this daemon is the leader. */
  void OnAliveCount(TimePoint aNow,
                    std::size_t aDaemons,
                    std::optional<TimePoint> aLeaderSince) noexcept
  {
    if (!aLeaderSince) {
      m_daemons = IsLarge() ? m_daemons : aDaemons;
    } else if (aNow < *aLeaderSince + kFollowerDiscoveryTime) {
      m_daemons = std::max(m_daemons, aDaemons);
    } else {
      m_daemons = aDaemons;
    }
  }

  [[nodiscard]] std::size_t Daemons() const noexcept { return m_daemons; }

  [[nodiscard]] bool IsLarge() const noexcept
  {
    return m_daemons > kMaxSmallFleetSize;
  }

private:
  std::size_t m_daemons = 1;
};

} // namespace sapphirehook

#endif
