#ifndef SAPPHIREHOOK_ROUTING_ROUTE_HPP
#define SAPPHIREHOOK_ROUTING_ROUTE_HPP

#include "sapphirehook/core/time.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace sapphirehook {

/** What may be repeated of a request. */
enum class RequestKind : unsigned char
{
  /** It may run more than once. */
  Idempotent,
  /** It runs once at most. */
  NeverRepeat,
  /** As NeverRepeat, with a large body. */
  Upload,
};
inline constexpr std::size_t kRequestKinds = 3;

/** A service that gets a share of a route's requests. */
struct RouteTarget
{
  std::string m_service;
  /** Share of the requests, relative to the other targets. */
  unsigned m_weight = 1;
};

/** Where the requests of one host and path prefix go, and how. */
struct Route
{
  std::string m_name;
  std::string m_host;
  /** Begins and ends with a slash. */
  std::string m_prefix;
  RequestKind m_kind = RequestKind::NeverRepeat;
  /** The longest time that a caller is kept waiting. */
  Millis m_timeout{};
  /** Answers within this time count in full. */
  Millis m_objective{};
  /** Rank among requests; 0 is the highest. */
  unsigned m_priority = 0;
  /** Endpoints to which one request may be sent. */
  unsigned m_maxAttempts = 1;
  std::vector<RouteTarget> m_targets;
};

/** A set of endpoints that do the same work. */
struct ServiceSpec
{
  std::string m_name;
  std::string m_healthPath;
  /** Connections that one endpoint accepts from all daemons together. */
  std::size_t m_maxConnections = 0;
  /** Each endpoint runs only requests of keys that it holds. */
  bool m_keyed = false;
  /** How long keys are slow that arrive without their last holder's
      handover. */
  Millis m_keyWarmUp{};
};

/** What a caller may send, and how long it may take. */
struct CallerLimits
{
  std::size_t m_headBytes = 16'384;       // common limit of HTTP servers, bytes
  std::uint64_t m_bodyBytes = 67'108'864; // 64 MiB, until routes are known
  Millis m_headTimeout{ 3000 };           // until routes are known
  Millis m_idleTimeout{ 15'000 };         // until routes are known
};

/** One version of everything that operators configure. */
struct RoutingConfig
{
  std::uint64_t m_version = 0;
  std::vector<Route> m_routes;
  std::map<std::string, ServiceSpec> m_services;
  CallerLimits m_limits;
};

} // namespace sapphirehook

#endif
