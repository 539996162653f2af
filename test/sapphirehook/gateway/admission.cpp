#include "engine_fixture.hpp"

#include <algorithm>

using namespace sapphirehook;
using namespace sapphirehook::engine_fixture;

namespace {

const KindKey kLookup{ { 0, Millis(400) }, RequestKind::Idempotent };
const KindKey kDownload{ { 2, Millis(2000) }, RequestKind::Download };

/** Sets two routes of different urgency to the service "plain". */
void
SetRoutes(Fixture& aFixture)
{
  RoutingConfig config;
  for (const auto& [prefix, kind] :
       { std::pair("/lookup/", kLookup), std::pair("/download/", kDownload) }) {
    Route route;
    route.m_name = prefix;
    route.m_host = "h";
    route.m_prefix = prefix;
    route.m_kind = kind.m_type;
    route.m_priority = kind.m_urgency.m_priority;
    route.m_objective = kind.m_urgency.m_objective;
    route.m_timeout = Millis(2000);
    route.m_targets = { { "plain", 1 } };
    config.m_routes.push_back(route);
  }
  config.m_services["plain"].m_name = "plain";
  aFixture.m_engine.SetRoutes(std::make_shared<const RouteTable>(config));
}

/** Reports requests of a peer at both endpoints, which have 6 slots each. */
void
SetPeerUse(Fixture& aFixture, std::uint32_t aRunning)
{
  std::vector<EndpointUse> uses;
  for (const char* name : { "one", "two" }) {
    EndpointUse use;
    use.m_endpoint = static_cast<std::uint32_t>(StableHash(name));
    use.m_running = aRunning;
    uses.push_back(use);
  }
  aFixture.m_engine.OnPeerUse(BootClock::now(), "peer", uses);
}

std::string
Request(const std::string& aPath, const std::string& aId)
{
  return Concat("GET ",
                aPath,
                "x HTTP/1.1\r\nHost: h\r\nX-Sapphirehook-Attempt-Id: ",
                aId,
                "\r\n\r\n");
}

} // namespace

// Guards against lookups that wait behind downloads for a free slot.
TEST_CASE("a queued lookup is sent before the downloads queued in front of it",
          "[gateway][admission]")
{
  Fixture fixture;
  SetRoutes(fixture);
  fixture.List("plain", false);
  SetPeerUse(fixture, 8);
  fixture.Send(Request("/download/", "a") + Request("/download/", "b") +
               Request("/lookup/", "c"));
  fixture.Until([] { return false; }, Millis(20));
  CHECK(fixture.Arrived() == 0);
  SetPeerUse(fixture, 0);
  fixture.m_engine.ProcessQueues();
  REQUIRE(fixture.Until([&] { return fixture.Arrived() == 3; }));
  CHECK(fixture.m_one.m_arrived == std::vector<std::string>{ "c", "a", "b" });
}

// Guards against a share that stays low after the host whose demand caused it
// has failed.
TEST_CASE("the excess of a kind is refused until the demand of a lost peer "
          "expires",
          "[gateway][admission]")
{
  Fixture fixture;
  SetRoutes(fixture);
  fixture.List("plain");
  fixture.m_engine.SetDaemons(2);
  KindUse use;
  use.m_kind = HashOf("plain", kDownload);
  use.m_arrivals = 10'000;
  use.m_workMicros = 100'000;
  fixture.m_engine.Admission().OnPeerUse(BootClock::now(), "peer", { use });
  int refused = 0;
  for (int i = 0; i < 10; ++i) {
    const auto answer = fixture.Ask("/download/x", std::to_string(i));
    if (Fixture::HasStatus(answer, 503)) {
      ++refused;
      CHECK(answer.find("Retry-After: 0.") != std::string::npos);
      CHECK(answer.find("over the share") != std::string::npos);
    }
  }
  CHECK(refused >= 7);
  CHECK(Fixture::HasStatus(fixture.Ask("/lookup/x", "l"), 200));
  std::string metrics;
  fixture.m_engine.Admission().AppendSamples(metrics, KindName);
  CHECK(metrics.find(Concat("reason=\"over the share\"} ", refused, "\n")) !=
        std::string::npos);
  fixture.Until([] { return false; }, Millis(800));
  for (int i = 0; i < 10; ++i) {
    CHECK(Fixture::HasStatus(fixture.Ask("/download/x", "later"), 200));
  }
}
