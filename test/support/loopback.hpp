#ifndef SAPPHIREHOOK_TEST_SUPPORT_LOOPBACK_HPP
#define SAPPHIREHOOK_TEST_SUPPORT_LOOPBACK_HPP

#include "sapphirehook/core/time.hpp"
#include "sapphirehook/net/event_loop.hpp"

#include <cstdint>
#include <functional>
#include <netinet/in.h>

namespace sapphirehook::support {

/** Returns a loopback address. With port 0 the system chooses the port. */
[[nodiscard]] sockaddr_in
Loopback(std::uint16_t aPort);

/** Returns a loopback address with a port that is free for both TCP and UDP. */
[[nodiscard]] sockaddr_in
FreeAddress();

/** Handles events until a condition holds. Returns false if it does not hold
    within aFor. */
[[nodiscard]] bool
RunUntil(EventLoop& aLoop,
         const std::function<bool()>& aCondition,
         Millis aFor = Millis(3000));

/** Handles events for aFor. */
void
RunFor(EventLoop& aLoop, Millis aFor);

} // namespace sapphirehook::support

#endif
