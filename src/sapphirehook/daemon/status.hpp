#ifndef SAPPHIREHOOK_DAEMON_STATUS_HPP
#define SAPPHIREHOOK_DAEMON_STATUS_HPP

#include "sapphirehook/daemon/request_router.hpp"

#include <string>

namespace sapphirehook {

/** Figures of a daemon's own threads that the status shows. */
struct StatusFigures
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

/** Returns the JSON of a daemon's status. */
[[nodiscard]] std::string
RenderStatus(TimePoint aNow,
             const Coordinator& aCoordinator,
             const RequestRouter& aRouter,
             const StatusFigures& aFigures);

/** Returns the JSON of the way of one key. */
[[nodiscard]] std::string
RenderRoute(TimePoint aNow,
            const Coordinator& aCoordinator,
            const std::string& aService,
            const std::string& aKey);

/** Returns the JSON of the outcomes of the newest tickets. */
[[nodiscard]] std::string
RenderTickets(const Coordinator& aCoordinator);

} // namespace sapphirehook

#endif
