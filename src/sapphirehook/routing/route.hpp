#ifndef SAPPHIREHOOK_ROUTING_ROUTE_HPP
#define SAPPHIREHOOK_ROUTING_ROUTE_HPP

#include "sapphirehook/core/time.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace sapphirehook {

/** Whether a request may be sent again. */
enum class RequestKind : unsigned char
{
  /** The request may run more than once. */
  Idempotent,
  /** The request runs at most once. */
  NeverRepeat,
  /** Like NeverRepeat, with a large body. */
  Upload,
};
inline constexpr std::size_t kRequestKinds = 3;

/** A service that receives a share of a route's requests. */
struct RouteTarget
{
  std::string m_service;
  /** Share of the requests, relative to the other targets. */
  unsigned m_weight = 1;
};

/** Targets and rules for the requests of one host and path prefix. */
struct Route
{
  std::string m_name;
  std::string m_host;
  /** Path prefix, which begins and ends with a slash. */
  std::string m_prefix;
  RequestKind m_kind = RequestKind::NeverRepeat;
  /** Maximum time until a caller is answered. */
  Millis m_timeout{};
  /** Latency objective: answers within this time count in full. */
  Millis m_objective{};
  /** Priority of the requests; 0 is the highest. */
  unsigned m_priority = 0;
  /** Maximum number of endpoints to which one request is sent. */
  unsigned m_maxAttempts = 1;
  std::vector<RouteTarget> m_targets;
};

/** A set of endpoints that do the same work. */
struct ServiceSpec
{
  std::string m_name;
  std::string m_healthPath;
  /** Maximum number of connections that one endpoint accepts from all daemons
      together. */
  std::size_t m_maxConnections = 0;
  /** Whether each endpoint only runs requests for keys that it owns. */
  bool m_keyed = false;
  /** Time for which requests for a key are slow at a new owner that received no
      handover from the previous one. */
  Millis m_keyWarmUp{};
};

/** Size limits and timeouts of caller connections. */
struct CallerLimits
{
  std::size_t m_headBytes = 16'384;       // common limit of HTTP servers, bytes
  std::uint64_t m_bodyBytes = 67'108'864; // 64 MiB, until routes are read
  Millis m_headTimeout{ 3000 };           // until routes are read
  Millis m_idleTimeout{ 15'000 };         // until routes are read
};

/** One version of the operators' configuration. */
struct RoutingConfig
{
  std::uint64_t m_version = 0;
  std::vector<Route> m_routes;
  std::map<std::string, ServiceSpec> m_services;
  CallerLimits m_limits;
};

} // namespace sapphirehook

#endif
