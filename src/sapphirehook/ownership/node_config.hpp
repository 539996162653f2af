#ifndef SAPPHIREHOOK_OWNERSHIP_NODE_CONFIG_HPP
#define SAPPHIREHOOK_OWNERSHIP_NODE_CONFIG_HPP

#include "sapphirehook/core/ids.hpp"
#include "sapphirehook/core/time.hpp"

#include <string>
#include <vector>

namespace sapphirehook {

/** Timing parameters of the ownership protocol. */
struct TimingConfig
{
  Millis m_heartbeatEvery{ 150 };
  /** Duration of a standby's promise. */
  Millis m_authorityLease{ 750 };
  /** Heartbeat timeout after which a dispatcher or standby is replaced. */
  Millis m_suspectAfter{ 400 };
  Millis m_endpointLease{ 600 };
  Millis m_renewEvery{ 200 };
  /** Time without an answer after which an endpoint is suspected to have
      failed. */
  Millis m_endpointSuspectAfter{ 350 };
  /** How long an endpoint that was down answers without a failure before it is
      reported up and joins layouts. */
  Millis m_endpointUpAfter{ 300 };
  unsigned m_driftPpm = 1000;
  /** Delay before a group that was never claimed is claimed. */
  Millis m_bootstrapDelay{ 600 };
  /** Additional delay per rank in the order of preference. */
  Millis m_claimStagger{ 250 };
  /** Delay before a group is claimed whose dispatcher and two standbys are all
      gone. */
  Millis m_guardGrace{ 3000 };
  /** Time without a change after which a group may move to the preferred
      daemon. */
  Millis m_rebalanceAfter{ 5000 };
  /** Time without contact to the log or any daemon after which callers are
      refused. */
  Millis m_staleAfter{ 10'000 };
  Millis m_snapshotEvery{ 60'000 };
};

/** Ownership settings of one daemon. */
struct NodeConfig
{
  HostId m_self;
  std::string m_region;
  std::string m_zone;
  std::string m_peerAddress;
  /** Addresses of daemons that provide records while the log cannot be read. */
  std::vector<std::string> m_seeds;
  TimingConfig m_timing;
};

} // namespace sapphirehook

#endif
