#include "sapphirehook/routing/route_table.hpp"

#include <algorithm>
#include <utility>

namespace sapphirehook {

namespace {

std::string
LowerCase(std::string_view aText)
{
  std::string lower(aText);
  std::transform(lower.begin(), lower.end(), lower.begin(), [](char aByte) {
    return aByte >= 'A' && aByte <= 'Z' ? static_cast<char>(aByte + ('a' - 'A'))
                                        : aByte;
  });
  return lower;
}

} // namespace

RouteTable::RouteTable(RoutingConfig aConfig)
  : m_config(std::move(aConfig))
{
  m_byPrefix.reserve(m_config.m_routes.size());
  for (const auto& route : m_config.m_routes) {
    m_byPrefix.emplace(LowerCase(route.m_host) + route.m_prefix, &route);
  }
  for (const auto& host : m_config.m_hostsWithUnknownPrefix) {
    m_hostsWithUnknownPrefix.insert(LowerCase(host));
  }
}

const Route*
RouteTable::Find(std::string_view aHost, std::string_view aTarget) const
{
  const std::string_view path = aTarget.substr(0, aTarget.find('?'));
  std::string key = LowerCase(aHost.substr(0, aHost.find(':')));
  const std::size_t hostSize = key.size();
  key += path;
  while (true) {
    const auto slash = key.rfind('/');
    if (slash == std::string::npos || slash < hostSize) {
      return nullptr;
    }
    key.resize(slash + 1);
    const auto found = m_byPrefix.find(key);
    if (found != m_byPrefix.end()) {
      return found->second;
    }
    key.resize(slash);
  }
}

bool
RouteTable::MayHaveUnknownRoute(std::string_view aHost) const
{
  return m_config.m_hasRouteWithUnknownHost ||
         m_hostsWithUnknownPrefix.contains(
           LowerCase(aHost.substr(0, aHost.find(':'))));
}

const ServiceSpec*
RouteTable::Service(const std::string& aName) const
{
  const auto found = m_config.m_services.find(aName);
  return found == m_config.m_services.end() ? nullptr : &found->second;
}

std::size_t
WeightedRoundRobin::Next(const std::vector<RouteTarget>& aTargets)
{
  m_credits.resize(aTargets.size());
  long long total = 0;
  std::size_t best = 0;
  for (std::size_t i = 0; i < aTargets.size(); ++i) {
    total += aTargets[i].m_weight;
    m_credits[i] += aTargets[i].m_weight;
    if (m_credits[i] > m_credits[best]) {
      best = i;
    }
  }
  m_credits[best] -= total;
  return best;
}

} // namespace sapphirehook
