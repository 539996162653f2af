#ifndef SAPPHIREHOOK_GATEWAY_INTERNAL_FLEET_SIZE_HPP
#define SAPPHIREHOOK_GATEWAY_INTERNAL_FLEET_SIZE_HPP

#include <cstddef>

/** What counts as a large fleet. */
namespace sapphirehook::internal {

/** Up to this many daemons each one tells all others of itself; beyond, all
    tell the leader, which keeps the number of messages linear. */
inline constexpr std::size_t kSmallFleet = 16;

} // namespace sapphirehook::internal

#endif
