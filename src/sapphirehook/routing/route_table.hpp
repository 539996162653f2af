#ifndef SAPPHIREHOOK_ROUTING_ROUTE_TABLE_HPP
#define SAPPHIREHOOK_ROUTING_ROUTE_TABLE_HPP

#include "sapphirehook/routing/route.hpp"

#include <string>
#include <string_view>
#include <unordered_map>

namespace sapphirehook {

/** One version of the configuration, indexed for look-ups. Requests keep the
    table under which they were admitted. */
class RouteTable
{
public:
  explicit RouteTable(RoutingConfig aConfig);

  /** Returns the route of the longest prefix that begins the path, among
      those of the host; null when there is none. The port of the host and the
      query of the target do not count. */
  [[nodiscard]] const Route* Find(std::string_view aHost,
                                  std::string_view aTarget) const;

  /** Returns a service, or null when it is not configured. */
  [[nodiscard]] const ServiceSpec* Service(const std::string& aName) const;

  [[nodiscard]] const RoutingConfig& Config() const noexcept
  {
    return m_config;
  }

private:
  RoutingConfig m_config;
  /** Route by host and prefix, joined. */
  std::unordered_map<std::string, const Route*> m_byPrefix;
};

/** Deals out a route's requests so that each target gets its weight's share of
    any run of requests (smooth weighted round robin). */
class WeightedTurn
{
public:
  /** Returns the index of the target whose turn it is. */
  [[nodiscard]] std::size_t Next(const std::vector<RouteTarget>& aTargets);

private:
  std::vector<long long> m_credits;
};

} // namespace sapphirehook

#endif
