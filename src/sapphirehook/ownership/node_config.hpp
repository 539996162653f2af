#ifndef SAPPHIREHOOK_OWNERSHIP_NODE_CONFIG_HPP
#define SAPPHIREHOOK_OWNERSHIP_NODE_CONFIG_HPP

#include "sapphirehook/core/ids.hpp"
#include "sapphirehook/core/time.hpp"

#include <string>
#include <vector>

namespace sapphirehook {

/** Durations of the ownership protocol. */
struct TimingConfig
{
  Millis m_heartbeatEvery{ 150 };
  /** Length of a standby's promise. */
  Millis m_authorityLease{ 750 };
  /** Silence after which a dispatcher or standby is given up. */
  Millis m_suspectAfter{ 400 };
  Millis m_endpointLease{ 600 };
  Millis m_renewEvery{ 200 };
  /** Silence after which an endpoint is given up. */
  Millis m_endpointSuspectAfter{ 350 };
  /** How long an endpoint answers before it takes part in layouts. */
  Millis m_endpointUpAfter{ 300 };
  unsigned m_driftPpm = 1000;
  /** Wait before a group without a dispatcher is claimed. */
  Millis m_bootstrapDelay{ 600 };
  /** Extra wait of each further daemon in the order of preference. */
  Millis m_claimStagger{ 250 };
  /** Wait before a group is claimed whose three daemons are all gone. */
  Millis m_guardGrace{ 3000 };
  /** How long a group stays as it is before it moves to a better daemon. */
  Millis m_rebalanceAfter{ 5000 };
  /** Without the log and all daemons for this long, callers are refused. */
  Millis m_staleAfter{ 10'000 };
  Millis m_snapshotEvery{ 60'000 };
};

/** Settings of one daemon's part in ownership. */
struct NodeConfig
{
  HostId m_self;
  std::string m_region;
  std::string m_zone;
  std::string m_peerAddress;
  /** Daemons to ask while the log cannot be read. */
  std::vector<std::string> m_seeds;
  TimingConfig m_timing;
};

} // namespace sapphirehook

#endif
