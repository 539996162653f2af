#include "sapphirehook/routing/route_table.hpp"

#include "support/generate.hpp"

#include <catch2/catch.hpp>

using namespace sapphirehook;

namespace {

/** Returns the route with the longest prefix by a scan of all routes. */
const Route*
NaiveFind(const RoutingConfig& aConfig,
          const std::string& aHost,
          const std::string& aPath)
{
  const Route* best = nullptr;
  for (const auto& route : aConfig.m_routes) {
    if (route.m_host == aHost &&
        aPath.compare(0, route.m_prefix.size(), route.m_prefix) == 0 &&
        (best == nullptr || route.m_prefix.size() > best->m_prefix.size())) {
      best = &route;
    }
  }
  return best;
}

} // namespace

TEST_CASE("the route with the longest matching prefix is found", "[routing]")
{
  std::mt19937 random(8);
  const auto path = [&](std::size_t aParts) {
    std::string text = "/";
    for (std::size_t i = 0; i < aParts; ++i) {
      text += static_cast<char>('a' + support::Draw(random, 3));
      text += "/";
    }
    return text;
  };
  RoutingConfig config;
  for (int i = 0; i < 40; ++i) {
    Route route;
    route.m_name = "r" + std::to_string(i);
    route.m_host = "h" + std::to_string(support::Draw(random, 3));
    route.m_prefix = path(support::Draw(random, 4));
    const bool taken = std::any_of(
      config.m_routes.begin(), config.m_routes.end(), [&](const Route& aOther) {
        return aOther.m_host == route.m_host &&
               aOther.m_prefix == route.m_prefix;
      });
    if (!taken) {
      config.m_routes.push_back(route);
    }
  }
  const RouteTable table(config);
  for (int i = 0; i < 500; ++i) {
    const auto host = "h" + std::to_string(support::Draw(random, 4));
    const auto target = path(support::Draw(random, 6)) + "x";
    const auto* naive = NaiveFind(config, host, target);
    const auto* found = table.Find(host + ":80", target + "?q=/a/b/");
    REQUIRE((found == nullptr ? "" : found->m_name) ==
            (naive == nullptr ? "" : naive->m_name));
  }
}

TEST_CASE("each target gets its weight's share of any 100 consecutive requests",
          "[routing]")
{
  const std::vector<RouteTarget> targets{ { "a", 90 }, { "b", 10 } };
  WeightedRoundRobin balancer;
  std::vector<std::size_t> picks;
  for (int i = 0; i < 1000; ++i) {
    picks.push_back(balancer.Next(targets));
  }
  for (std::size_t begin = 0; begin + 100 <= picks.size(); ++begin) {
    const auto first = picks.begin() + static_cast<long>(begin);
    REQUIRE(std::count(first, first + 100, 1U) == 10);
  }
}
