#include "process/gateway_fixture.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <string_view>

using namespace sapphirehook;
using namespace sapphirehook::test;

namespace {

/** Time limit of an evacuation in the gateways' settings. */
constexpr Millis kEvacuation{ 5000 };

/** Returns a configuration with one route to a service without keys, and a
    keyed service. */
RoutingConfig
Config()
{
  RoutingConfig config;
  config.m_version = 1;
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

} // namespace

// Guards against requests to an evacuated zone, also by a gateway that starts
// during the evacuation, and against ranges that stay there.
TEST_CASE("an evacuated zone gets no requests and its ranges move",
          "[process][evacuation]")
{
  GatewayFixture fixture(3);
  fixture.PutConfig(Config());
  ScriptedEndpoint plainLeaving(fixture, "p0", "plain");
  ScriptedEndpoint plainStaying(fixture, "p1", "plain");
  ScriptedEndpoint keyedLeaving(fixture, "k0", "keyed");
  ScriptedEndpoint keyedStaying(fixture, "k1", "keyed");
  // The gateways prefer the endpoints of their own zone, which is evacuated.
  for (auto* staying : { &plainStaying, &keyedStaying }) {
    staying->m_record.m_zone = "other";
  }
  for (auto* endpoint :
       { &plainLeaving, &plainStaying, &keyedLeaving, &keyedStaying }) {
    endpoint->Announce();
  }
  fixture.RunFor(Millis(6000)); // a leader is elected and grants all ranges
  const auto leader = fixture.Leader();
  const SteadyCaller callers(fixture, { 0, 1, 2 }, "/plain/x", Millis(10));
  fixture.RunFor(Millis(500));
  REQUIRE(plainLeaving.m_arrivals.size() > 5);

  const auto& protocol = fixture.Protocol();
  const auto key = protocol.m_evacuationPrefix + "z";
  fixture.PutRecord(protocol.m_configTopic, key, "{}");
  const TimePoint begunAt = BootClock::now();
  const auto logs = [&](std::size_t aGateway, std::string_view aText) {
    return fixture.Log(aGateway).find(aText) != std::string::npos;
  };
  CHECK(fixture.RunUntil([&] { return logs(leader, "evacuation-complete"); },
                         kEvacuation));
  for (std::size_t i = 0; i < fixture.Gateways(); ++i) {
    // A gateway that knows when the evacuation began serves keys meanwhile.
    CHECK(logs(i, "evacuation-begins"));
    CHECK_FALSE(logs(i, "\"may_be_old\":1"));
  }
  fixture.Restart((leader + 1) % fixture.Gateways());
  fixture.RunFor(Millis(3000));
  const auto after = [&](const ScriptedEndpoint& aEndpoint, Millis aTime) {
    return std::count_if(aEndpoint.m_arrivals.begin(),
                         aEndpoint.m_arrivals.end(),
                         [&](TimePoint aAt) { return aAt > begunAt + aTime; });
  };
  CHECK(after(plainLeaving, Millis(1000)) == 0);
  CHECK(after(plainStaying, Millis(1000)) > 50);

  const auto served = plainLeaving.m_arrivals.size();
  fixture.PutRecord(protocol.m_configTopic, key, "");
  CHECK(fixture.RunUntil(
    [&] { return plainLeaving.m_arrivals.size() > served + 5; }, Millis(3000)));
  CHECK(fixture.RunUntil([&] { return logs(leader, "evacuation-ends"); },
                         Millis(3000)));
}
