#include "process/gateway_bed.hpp"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace sapphirehook;
using namespace sapphirehook::test;

namespace {

/** Time after which a leaving endpoint gets no more work (drain_ms of the
    gateways' settings). */
constexpr Millis kDrain{ 2000 };
/** More than a small fleet, in which the leader alone reads. */
constexpr std::size_t kLargeFleet = 18;

/** One route to a service without keys, and a keyed service so that a daemon
    leads. */
RoutingConfig
PlainConfig(unsigned aVersion)
{
  RoutingConfig config;
  config.m_version = aVersion;
  Route route;
  route.m_name = "plain";
  route.m_host = "127.0.0.1"; // as the client of small calls says
  route.m_prefix = "/plain/";
  route.m_kind = RequestKind::Idempotent;
  route.m_timeout = Millis(1000);
  route.m_objective = Millis(400);
  route.m_maxAttempts = 2;
  route.m_targets.push_back({ "plain", 1 });
  config.m_routes.push_back(std::move(route));
  config.m_services["plain"].m_keyed = false;
  config.m_services["keyed"].m_keyed = true;
  return config;
}

std::vector<std::size_t>
AllBut(std::size_t aGateways, const std::set<std::size_t>& aBut)
{
  std::vector<std::size_t> all;
  for (std::size_t i = 0; i < aGateways; ++i) {
    if (!aBut.contains(i)) {
      all.push_back(i);
    }
  }
  return all;
}

} // namespace

TEST_CASE("a leaving endpoint gets no more work though the leader has lost the "
          "store",
          "[process]")
{
  GatewayBed bed(kLargeFleet);
  bed.PutConfig(PlainConfig(1));
  ScriptedEndpoint leaving(bed, "e0", "plain");
  ScriptedEndpoint staying(bed, "e1", "plain");
  leaving.Announce();
  staying.Announce();
  bed.RunFor(Millis(6000)); // a leader is found, and passes records on
  const auto leader = bed.Leader();
  const SteadyCaller callers(
    bed, AllBut(kLargeFleet, { leader }), "/plain/x", Millis(10));
  bed.RunFor(Millis(500));
  REQUIRE(leaving.m_arrivals.size() > 5);

  // The leader's next reads have begun shortly before it is cut off.
  bed.PutConfig(PlainConfig(2));
  staying.m_record.m_warmUpLeft = Millis(1);
  staying.Announce();
  bed.RunFor(Millis(600));
  bed.CutFromStore(leader);
  leaving.Announce(true);
  const TimePoint announcedAt = BootClock::now();
  bed.RunFor(kDrain + Millis(1500));
  CHECK(std::count_if(
          leaving.m_arrivals.begin(),
          leaving.m_arrivals.end(),
          [&](TimePoint aAt) { return aAt > announcedAt + kDrain; }) == 0);
  CHECK(staying.m_arrivals.back() > announcedAt + kDrain);
}
