#ifndef SAPPHIREHOOK_GATEWAY_SETTINGS_HPP
#define SAPPHIREHOOK_GATEWAY_SETTINGS_HPP

#include "sapphirehook/core/address.hpp"
#include "sapphirehook/core/time.hpp"
#include "sapphirehook/placement/service_retry_budget.hpp"

#include <absl/status/statusor.h>
#include <string>
#include <vector>

namespace sapphirehook {

/** Settings of one gateway, from its YAML file. */
struct GatewaySettings
{
  std::string m_host;
  std::string m_zone;
  /** Where callers connect. */
  Address m_callers;
  /** Where the balancer asks whether the daemon takes callers. */
  Address m_ready;
  /** Where other daemons send datagrams. */
  Address m_peers;
  /** Where they send to reach it, when that is another address. */
  Address m_advertisedPeers;
  /** Where metrics are served. */
  Address m_metrics;
  Address m_store;
  /** Part of a core that the host gives this process; the daemon with most
      is the first to lead. */
  double m_processorShare = 0.0;
  /** Speed of the host's link, in megabits a second. */
  double m_linkMbps = 0.0;
  /** Takes effect at once when the settings are read again. */
  BudgetConfig m_retryBudget;
  /** All daemons start for the first time, at about the same moment. */
  bool m_firstStart = false;
  /** How often endpoints write their entries to the store. */
  Millis m_endpointHeartbeat{};
  /** Longest hold that endpoints accept. */
  Millis m_maxHold{};
  /** Time from the first signal to stop until the process is ended. Takes
     effect at once when the settings are read again. */
  Millis m_stopGrace{};
  /** Time within which a leaving endpoint must get no more work. */
  Millis m_drain{};
};

/** Parses settings. Returns InvalidArgument with the name of the setting at
    fault. */
[[nodiscard]] absl::StatusOr<GatewaySettings>
ParseGatewaySettings(const std::string& aText);

/** Returns the names of settings that differ and take effect only when the
    daemon starts. */
[[nodiscard]] std::vector<std::string>
ChangedForRestart(const GatewaySettings& aOld, const GatewaySettings& aNew);

} // namespace sapphirehook

#endif
