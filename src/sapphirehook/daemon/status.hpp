#ifndef SAPPHIREHOOK_DAEMON_STATUS_HPP
#define SAPPHIREHOOK_DAEMON_STATUS_HPP

#include "sapphirehook/daemon/request_router.hpp"

#include <string>

namespace sapphirehook {

/** Statistics of a daemon's threads, for the status. */
struct DaemonStats
{
  HostId m_self;
  bool m_stopping = false;
  std::uint64_t m_peerBytes = 0;
  std::uint64_t m_peerMessages = 0;
  std::uint64_t m_leaseBytes = 0;
  std::uint64_t m_logBytes = 0;
  std::uint64_t m_appends = 0;
  std::uint64_t m_ringRefusals = 0;
};

/** Returns a daemon's status as JSON. */
[[nodiscard]] std::string
RenderStatus(TimePoint aNow,
             const Coordinator& aCoordinator,
             const RequestRouter& aRouter,
             const DaemonStats& aStats);

/** Returns the routing decision for a key as JSON. */
[[nodiscard]] std::string
RenderRoute(TimePoint aNow,
            const Coordinator& aCoordinator,
            const std::string& aService,
            const std::string& aKey);

/** Returns the outcomes of the newest tickets as JSON. */
[[nodiscard]] std::string
RenderTickets(const Coordinator& aCoordinator);

} // namespace sapphirehook

#endif
