#ifndef SAPPHIREHOOK_GATEWAY_SETTINGS_HPP
#define SAPPHIREHOOK_GATEWAY_SETTINGS_HPP

#include "sapphirehook/core/address.hpp"
#include "sapphirehook/core/time.hpp"
#include "sapphirehook/placement/service_retry_budget.hpp"

#include <absl/status/statusor.h>
#include <string>
#include <vector>

namespace sapphirehook {

/** Settings of a gateway, read from its YAML file. */
struct GatewaySettings
{
  std::string m_host;
  std::string m_zone;
  /** Listening address for callers. */
  Address m_callers;
  /** Listening address for the balancer's readiness checks. */
  Address m_ready;
  /** Local address for the datagrams of other daemons. */
  Address m_peers;
  /** Address to which other daemons send; by default the same as m_peers. */
  Address m_advertisedPeers;
  /** Listening address for the metrics. */
  Address m_metrics;
  Address m_store;
  /** Share of a core that the host gives this process. The daemon with the
      largest share is the preferred leader. */
  double m_processorShare = 0.0;
  /** Bandwidth of the host's link, in megabits per second. */
  double m_linkMbps = 0.0;
  /** A reload of the settings applies this at once. */
  BudgetConfig m_retryBudget;
  /** Whether all daemons start for the first time, at about the same moment. */
  bool m_firstStart = false;
  /** Whether the settings say that they have run before. */
  bool m_fleetHasRun = false;
  /** Interval at which endpoints write their entries to the store. */
  Millis m_endpointHeartbeat{};
  /** Time from the end of an endpoint until its address may be assigned to
      another endpoint. */
  Millis m_addressReuse{ 2000 };
  /** Longest lease duration that endpoints accept. */
  Millis m_maxLeaseDuration{};
  /** Time from the first stop signal until the process is killed. A reload of
      the settings applies this at once. */
  Millis m_stopGrace{};
  /** Time after which a leaving endpoint gets no more work. */
  Millis m_drain{};
  /** A cold endpoint gets at most its tolerated rate times the first number,
      plus the second, in one second from all daemons. */
  double m_warmUpOverrun = 1.0;
  double m_warmUpSlack = 0.0;
  /** Time after which the endpoints of an evacuated zone get no more work.
      Zones can be evacuated in any deployment; this is the default. */
  Millis m_evacuation{ 5000 };
  /** Memory of the host for this process, in megabytes; 0 if unknown. */
  double m_memoryMb = 0.0;
};

/** Parses the settings. Returns InvalidArgument with the name of the first
    setting that is missing or invalid. */
[[nodiscard]] absl::StatusOr<GatewaySettings>
ParseGatewaySettings(const std::string& aText);

/** Returns the names of the settings that differ and that only a restart
    applies. */
[[nodiscard]] std::vector<std::string>
ChangedForRestart(const GatewaySettings& aOld, const GatewaySettings& aNew);

} // namespace sapphirehook

#endif
