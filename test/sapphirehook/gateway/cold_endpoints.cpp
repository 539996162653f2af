#include "sapphirehook/gateway/engine_fixture.hpp"

using namespace sapphirehook;
using engine_fixture::Fixture;

namespace {

constexpr double kTolerated = 4.7;
/** Largest number of requests in a second without overrun and slack. */
constexpr std::size_t kLimit = 4;

void
LimitColdEndpoints(Fixture& aFixture)
{
  auto config = aFixture.m_engine.Routes()->Config();
  for (auto& [name, service] : config.m_services) {
    service.m_warmUpRate = kTolerated;
    service.m_warmUp = Millis(5000);
  }
  aFixture.m_engine.SetRoutes(std::make_shared<const RouteTable>(config));
}

void
ListCold(Fixture& aFixture, const std::string& aService)
{
  auto record = aFixture.m_one.Record(aService);
  record.m_warmUpLeft = Millis(5000);
  aFixture.m_directory.OnRecord(BootClock::now(), record);
  aFixture.m_engine.SetEndpoints(BootClock::now(), aFixture.m_directory);
}

} // namespace

// Guards against a cold endpoint that gets all requests as the only one.
TEST_CASE("a cold endpoint gets no more than its limit", "[gateway][cold]")
{
  Fixture fixture;
  LimitColdEndpoints(fixture);
  const bool keyed = GENERATE(false, true);
  const std::string service = keyed ? "keyed" : "plain";
  ListCold(fixture, service);
  fixture.m_engine.SetRange("keyed", { { 0, 65535 }, "one", true });
  int asked = 0;
  const auto ask = [&] {
    const TimePoint end = BootClock::now() + Millis(1000);
    for (asked = 0; BootClock::now() < end; ++asked) {
      fixture.Ask(keyed ? "/keyed/x" : "/safe/x",
                  std::to_string(asked),
                  keyed ? "X-Sapphirehook-Shard-Key: 77\r\n" : "",
                  Millis(300));
      fixture.m_engine.ProcessQueues();
    }
  };
  ask();
  CHECK(fixture.Arrived() == 0); // the size of the fleet is not known
  fixture.m_engine.AddHosts({}, true);
  ask();
  CHECK(fixture.Arrived() <= kLimit);
  CHECK(fixture.m_engine.CapacityOf("one") == kTolerated);
  CHECK(fixture.m_engine.ColdEndpoints(BootClock::now()) == 1);
  CHECK((fixture.m_engine.Metrics().m_coldHeldBack > 0) == keyed);
  // A request that a cold holder cannot admit in time does not wait for it.
  CHECK((asked > 20) == keyed);
}

// Guards against keys without service while they wait for their move, and
// against requests to an evacuated zone after the time limit.
TEST_CASE(
  "an evacuated endpoint gets requests for its keys until its time ends",
  "[gateway][evacuation]")
{
  Fixture fixture;
  const TimePoint now = BootClock::now();
  SECTION("with keys")
  {
    fixture.List("keyed", false);
    fixture.m_engine.SetRange("keyed", { { 0, 65535 }, "one", true });
    const auto ask = [&](const std::string& aId) {
      return fixture.Ask("/keyed/x", aId, "X-Sapphirehook-Shard-Key: 77\r\n");
    };
    fixture.m_directory.BeginEvacuation("z", now - Millis(3900));
    fixture.m_engine.SetEndpoints(now, fixture.m_directory);
    CHECK(Fixture::HasStatus(ask("a"), 200));
    CHECK(fixture.m_engine.RangesInZone("z") > 0);
    fixture.Until([] { return false; }, Millis(310));
    CHECK(Fixture::HasStatus(ask("b"), 503));
    CHECK(fixture.Arrived() == 1);
  }
  SECTION("without keys")
  {
    fixture.List("plain");
    fixture.m_directory.BeginEvacuation("z", now);
    fixture.m_engine.SetEndpoints(now, fixture.m_directory);
    CHECK(Fixture::HasStatus(fixture.Ask("/safe/x", "a"), 503));
    CHECK(fixture.Arrived() == 0);
    fixture.m_directory.EndEvacuation(now, "z");
    fixture.m_engine.SetEndpoints(now, fixture.m_directory);
    CHECK(Fixture::HasStatus(fixture.Ask("/safe/x", "b"), 200));
  }
}
