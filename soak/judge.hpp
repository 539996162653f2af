#ifndef SAPPHIREHOOK_SOAK_JUDGE_HPP
#define SAPPHIREHOOK_SOAK_JUDGE_HPP

#include "soak/callers.hpp"
#include "soak/journal.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace sapphirehook::soak {

/** One run of an endpoint. */
struct EndpointRun
{
  std::string m_name;
  std::string m_service;
  std::vector<Entry> m_entries;
  /** When the process ended; the end of time while it runs. */
  TimePoint m_endedAt = TimePoint::max();
};

/** A time in which something was disturbed. */
struct Disturbance
{
  std::string m_what;
  TimePoint m_from{};
  TimePoint m_to{};
  /** It is planned work: a stop with a signal, or a change of settings. */
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

/** All that was seen of a run. */
struct Evidence
{
  std::vector<EndpointRun> m_endpoints;
  std::vector<CallerRecord> m_requests;
  std::vector<Disturbance> m_disturbances;
  std::vector<PlannedStop> m_stops;
  std::vector<ConfigChange> m_configs;
  /** When frozen gateways went on. */
  std::vector<TimePoint> m_thaws;
  /** The end of all faults, and of the traffic. */
  TimePoint m_calmFrom{};
  TimePoint m_endedAt{};
};

/** A promise that was broken. */
struct Violation
{
  std::string_view m_promise;
  std::string m_detail;
};

/** Checks the promises by what endpoints and callers saw. */
[[nodiscard]] std::vector<Violation>
Judge(const Evidence& aEvidence);

} // namespace sapphirehook::soak

#endif
