#ifndef SAPPHIREHOOK_ROUTING_ROUTE_TABLE_HPP
#define SAPPHIREHOOK_ROUTING_ROUTE_TABLE_HPP

#include "sapphirehook/routing/route.hpp"

#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>

namespace sapphirehook {

/** One version of the configuration, indexed for lookups. Requests keep the
    table with which they were admitted. */
class RouteTable
{
public:
  explicit RouteTable(RoutingConfig aConfig);

  /** Returns the host's route with the longest prefix that matches the path, or
      null if there is none. Ignores the port of the host and the query of the
      target. */
  [[nodiscard]] const Route* Find(std::string_view aHost,
                                  std::string_view aTarget) const;

  /** Returns whether a target without a route may belong to a route that could
      not be parsed, so that its absence proves nothing. */
  [[nodiscard]] bool MayHaveUnknownRoute(std::string_view aHost) const;

  /** Returns a service, or null if it is not configured. */
  [[nodiscard]] const ServiceSpec* Service(const std::string& aName) const;

  [[nodiscard]] const RoutingConfig& Config() const noexcept
  {
    return m_config;
  }

private:
  RoutingConfig m_config;
  /** Routes by the concatenation of host and prefix. */
  std::unordered_map<std::string, const Route*> m_byPrefix;
  /** Hosts, in lower case, with a route whose prefix is unknown. */
  std::unordered_set<std::string> m_hostsWithUnknownPrefix;
};

/** Distributes a route's requests to its targets in proportion to their
    weights, evenly within any sequence of requests (smooth weighted round
    robin). */
class WeightedRoundRobin
{
public:
  /** Returns the index of the next target. */
  [[nodiscard]] std::size_t Next(const std::vector<RouteTarget>& aTargets);

private:
  std::vector<long long> m_credits;
};

} // namespace sapphirehook

#endif
