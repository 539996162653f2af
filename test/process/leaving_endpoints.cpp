#include "process/gateway_fixture.hpp"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace sapphirehook;
using namespace sapphirehook::test;

namespace {

/** Time after which a leaving endpoint receives no more requests (drain_ms of
    the gateways' settings). */
constexpr Millis kDrain{ 2000 };
/** Larger than a small fleet, so that only the leader reads the store. */
constexpr std::size_t kLargeFleet = 18;

/** Returns a configuration with one route to a service without keys. It also
    has a keyed service, so that a leader is elected. */
RoutingConfig
PlainConfig(unsigned aVersion)
{
  RoutingConfig config;
  config.m_version = aVersion;
  Route route;
  route.m_name = "plain";
  route.m_host = "127.0.0.1"; // the Host header that HttpClient sends
  route.m_prefix = "/plain/";
  route.m_kind = RequestKind::Idempotent;
  route.m_timeout = Millis(1000);
  route.m_objective = Millis(400);
  route.m_maxAttempts = 2;
  route.m_targets.push_back({ "plain", 1 });
  config.m_routes.push_back(std::move(route));
  config.m_services["plain"].m_keyed = false;
  config.m_services["keyed"].m_keyed = true;
  config.m_services["keyed"].m_healthPath = soak::kHealthPath;
  return config;
}

std::vector<std::size_t>
AllBut(std::size_t aGateways, const std::set<std::size_t>& aExcluded)
{
  std::vector<std::size_t> all;
  for (std::size_t i = 0; i < aGateways; ++i) {
    if (!aExcluded.contains(i)) {
      all.push_back(i);
    }
  }
  return all;
}

} // namespace

TEST_CASE("a leaving endpoint receives no more requests although the leader is "
          "cut off from the store",
          "[process]")
{
  GatewayFixture fixture(kLargeFleet);
  fixture.PutConfig(PlainConfig(1));
  ScriptedEndpoint leaving(fixture, "e0", "plain");
  ScriptedEndpoint staying(fixture, "e1", "plain");
  leaving.Announce();
  staying.Announce();
  fixture.RunFor(Millis(6000)); // a leader is elected and relays records
  const auto leader = fixture.Leader();
  const SteadyCaller callers(
    fixture, AllBut(kLargeFleet, { leader }), "/plain/x", Millis(10));
  fixture.RunFor(Millis(500));
  REQUIRE(leaving.m_arrivals.size() > 5);

  // The leader starts its next reads shortly before it is cut off.
  fixture.PutConfig(PlainConfig(2));
  staying.m_record.m_warmUpLeft = Millis(1);
  staying.Announce();
  fixture.RunFor(Millis(600));
  fixture.CutFromStore(leader);
  leaving.Announce(true);
  const TimePoint announcedAt = BootClock::now();
  fixture.RunFor(kDrain + Millis(1500));
  CHECK(std::count_if(
          leaving.m_arrivals.begin(),
          leaving.m_arrivals.end(),
          [&](TimePoint aAt) { return aAt > announcedAt + kDrain; }) == 0);
  CHECK(staying.m_arrivals.back() > announcedAt + kDrain);
}
