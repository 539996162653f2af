#ifndef SAPPHIREHOOK_GATEWAY_INTERNAL_ENTRY_LAPSE_HPP
#define SAPPHIREHOOK_GATEWAY_INTERNAL_ENTRY_LAPSE_HPP

#include "sapphirehook/core/time.hpp"

namespace sapphirehook::internal {

/** Missed heartbeats of an endpoint after which the store removes its entry. */
inline constexpr int kHeartbeatsUntilLapsed = 3;
/** Additional time for the check of the store that removes the entry and for
    the removal to arrive. */
inline constexpr Millis kLapseMargin{ 500 };

/** Returns the time after an endpoint's last heartbeat by which a daemon has
    read the removal of its entry. The store counts missed heartbeats from its
    own last restore. */
[[nodiscard]] constexpr Millis
EntryLapse(Millis aHeartbeat) noexcept
{
  return kHeartbeatsUntilLapsed * aHeartbeat + kLapseMargin;
}

} // namespace sapphirehook::internal

#endif
