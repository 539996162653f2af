#ifndef SAPPHIREHOOK_TEST_SUPPORT_LOOPBACK_HPP
#define SAPPHIREHOOK_TEST_SUPPORT_LOOPBACK_HPP

#include "sapphirehook/core/time.hpp"
#include "sapphirehook/net/event_loop.hpp"

#include <cstdint>
#include <functional>
#include <netinet/in.h>

namespace sapphirehook::support {

/** Returns an address of the loopback; port 0 lets the system choose. */
[[nodiscard]] sockaddr_in
Loopback(std::uint16_t aPort);

/** Returns a loopback address with a port that is free for connections and for
    datagrams. */
[[nodiscard]] sockaddr_in
FreeAddress();

/** Handles events until a condition holds; returns false when it has not held
    after a time. */
[[nodiscard]] bool
RunUntil(EventLoop& aLoop,
         const std::function<bool()>& aCondition,
         Millis aFor = Millis(3000));

/** Handles events for a time. */
void
RunFor(EventLoop& aLoop, Millis aFor);

} // namespace sapphirehook::support

#endif
