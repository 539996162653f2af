#ifndef SAPPHIREHOOK_ROUTING_ROUTE_HPP
#define SAPPHIREHOOK_ROUTING_ROUTE_HPP

#include "sapphirehook/core/time.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
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
  /** Like Idempotent, with a large answer. */
  Download,
};
inline constexpr std::size_t kRequestKinds = 4;

/** Returns whether requests of a kind may run more than once. */
[[nodiscard]] constexpr bool
IsIdempotent(RequestKind aKind) noexcept
{
  return aKind == RequestKind::Idempotent || aKind == RequestKind::Download;
}

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
  /** Whether this version of the program can apply the route. Requests for any
      other route are refused as temporary: neither the routes with shorter
      prefixes nor an older form of the route may take its place. */
  bool m_isUsable = true;
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
  /** Time for which an endpoint is cold after its start. */
  Millis m_warmUp{};
  /** Requests a second that a cold endpoint tolerates; 0 if there is no
      limit. */
  double m_warmUpRate = 0.0;
};

/** Size limits and timeouts of caller connections. */
struct CallerLimits
{
  std::size_t m_headBytes = 16'384;       // common limit of HTTP servers, bytes
  std::uint64_t m_bodyBytes = 67'108'864; // 64 MiB, until routes are read
  Millis m_headTimeout{ 3000 };           // until routes are read
  Millis m_idleTimeout{ 15'000 };         // until routes are read
};

/** A part of a configuration that this version of the program does not
    understand. */
struct ConfigIssue
{
  std::string m_resourceKind;
  std::string m_name;
  /** What is wrong, with the name of the field. */
  std::string m_reason;
  /** Whether the whole resource is left out. Otherwise a default applies to the
      field. */
  bool m_isLeftOut = false;
};

/** One version of the operators' configuration. */
struct RoutingConfig
{
  std::uint64_t m_version = 0;
  std::vector<Route> m_routes;
  std::map<std::string, ServiceSpec> m_services;
  CallerLimits m_limits;
  /** Parts that could not be applied as written. */
  std::vector<ConfigIssue> m_issues;
  /** Hosts with a route whose prefix could not be parsed: any path of the host
      that has no other route may belong to it. */
  std::set<std::string> m_hostsWithUnknownPrefix;
  /** Whether there is a route whose host could not be parsed. */
  bool m_hasRouteWithUnknownHost = false;
};

} // namespace sapphirehook

#endif
