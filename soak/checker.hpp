#ifndef SAPPHIREHOOK_SOAK_CHECKER_HPP
#define SAPPHIREHOOK_SOAK_CHECKER_HPP

#include "soak/callers.hpp"
#include "soak/history.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace sapphirehook::soak {

/** One run of an endpoint. */
struct EndpointRun
{
  std::string m_name;
  std::string m_service;
  std::vector<HistoryEvent> m_events;
  /** End of the process; the maximum time while the process runs. */
  TimePoint m_endedAt = TimePoint::max();
};

/** The time in which a fault was active. */
struct FaultInterval
{
  std::string m_faultName;
  TimePoint m_from{};
  TimePoint m_to{};
  /** The fault is planned work: a stop by signal, or a change of settings. */
  bool m_planned = false;
};

/** A planned stop of a gateway. */
struct PlannedStop
{
  std::size_t m_gateway = 0;
  TimePoint m_at{};
  TimePoint m_endedAt{};
};

/** A configuration that the store has accepted. */
struct ConfigChange
{
  TimePoint m_acceptedAt{};
  bool m_hasProbe = false;
};

/** Everything that was recorded in a run. */
struct RunObservations
{
  std::vector<EndpointRun> m_endpoints;
  std::vector<CallerRecord> m_requests;
  std::vector<FaultInterval> m_faultIntervals;
  std::vector<PlannedStop> m_stops;
  std::vector<ConfigChange> m_configs;
  /** Times at which frozen gateways resumed. */
  std::vector<TimePoint> m_resumeTimes;
  /** End of all faults, and end of the traffic. */
  TimePoint m_faultsEndedAt{};
  TimePoint m_endedAt{};
};

/** A promise that was broken. */
struct Violation
{
  std::string_view m_promise;
  std::string m_detail;
};

/** Checks the promises against the records of endpoints and callers. */
[[nodiscard]] std::vector<Violation>
CheckPromises(const RunObservations& aObservations);

} // namespace sapphirehook::soak

#endif
