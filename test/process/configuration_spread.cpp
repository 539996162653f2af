#include "process/gateway_fixture.hpp"
#include "sapphirehook/core/text.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <csignal>
#include <map>
#include <memory>
#include <random>
#include <set>

using namespace sapphirehook;

namespace {

/** The users' limit (config-apply-ms) on the time between the acknowledgement
    of a change and the moment at which the change is in force. */
constexpr Millis kInForceWithin{ 2000 };
constexpr Millis kStartUp{ 15'000 };
/** Number of routes in a large configuration of about 350 KB. */
constexpr unsigned kManyRoutes = 1500;

std::string
AddedPath(unsigned aVersion)
{
  return Concat("/added", aVersion, "/");
}

/** Returns a large configuration whose last route identifies its version. */
RoutingConfig
LargeConfig(unsigned aVersion)
{
  std::mt19937 random(7);
  RoutingConfig config;
  config.m_version = aVersion;
  const auto add = [&](const std::string& aName, const std::string& aPrefix) {
    Route route;
    route.m_name = aName;
    route.m_host = "127.0.0.1"; // the Host header that HttpClient sends
    route.m_prefix = aPrefix;
    route.m_kind = RequestKind::Idempotent;
    route.m_timeout = Millis(1000);
    route.m_objective = Millis(400);
    route.m_maxAttempts = 2;
    route.m_targets.push_back({ "plain", 1 });
    config.m_routes.push_back(std::move(route));
  };
  for (unsigned i = 0; i < kManyRoutes; ++i) {
    constexpr unsigned kNames = 1'000'000;
    add(Concat("r-", random() % kNames),
        Concat("/p", random() % kNames, "-", i, "/"));
  }
  add("added", AddedPath(aVersion));
  config.m_services["plain"].m_keyed = false;
  config.m_services["keyed"].m_keyed = true; // so that a leader is elected
  config.m_services["keyed"].m_healthPath = soak::kHealthPath;
  return config;
}

/** Polls a gateway with requests for a path until its configuration has a route
    for the path. No endpoint serves the route, so the gateway then refuses the
    request. */
class RouteWatch
{
public:
  RouteWatch(EventLoop& aLoop, sockaddr_in aGateway, std::string aTarget)
    : m_client(aLoop, aGateway)
    , m_target(std::move(aTarget))
    , m_timer(aLoop, [this] { Ask(); })
  {
    m_timer.StartEvery(Millis(20));
  }

  [[nodiscard]] bool IsFound() const noexcept { return m_found; }

private:
  void Ask()
  {
    if (m_client.IsBusy() || m_found) {
      return;
    }
    m_client.Call({ "GET", m_target, "", "" },
                  Millis(500),
                  [this](const CallResult& aResult) {
                    m_found = aResult.m_end == CallEnd::Answered &&
                              aResult.m_answer.m_head.m_status == 503 &&
                              aResult.m_answer.m_body == "no room in time";
                  });
  }

  HttpClient m_client;
  std::string m_target;
  Timer m_timer;
  bool m_found = false;
};

/** Gateways with a large configuration. Tests check whether the gateways have
    the route that a version has added. */
class Fixture : public test::GatewayFixture
{
public:
  explicit Fixture(std::size_t aGateways)
    : GatewayFixture(aGateways)
  {
    Put(1);
    REQUIRE(LateGateways(1, kStartUp, {}).empty());
    // In this time a large fleet elects its leader, which then relays records.
    RunFor(Millis(3000));
    Put(2);
    REQUIRE(LateGateways(2, kInForceWithin, {}).empty());
  }

  void Put(unsigned aVersion) { PutConfig(LargeConfig(aVersion)); }

  /** Returns whether a gateway has the route of a version within a time. */
  bool IsInForceWithin(std::size_t aGateway, unsigned aVersion, Millis aTime)
  {
    std::set<std::size_t> others;
    for (std::size_t i = 0; i < Gateways(); ++i) {
      if (i != aGateway) {
        others.insert(i);
      }
    }
    return LateGateways(aVersion, aTime, others).empty();
  }

  /** Returns the gateways that do not have the route of a version within a
     time. The gateways in aExcluded are not checked. */
  std::set<std::size_t> LateGateways(unsigned aVersion,
                                     Millis aTime,
                                     const std::set<std::size_t>& aExcluded)
  {
    std::map<std::size_t, std::unique_ptr<RouteWatch>> watches;
    for (std::size_t i = 0; i < Gateways(); ++i) {
      if (!aExcluded.contains(i)) {
        watches[i] = std::make_unique<RouteWatch>(
          Loop(), CallersAddress(i), Concat(AddedPath(aVersion), "x"));
      }
    }
    const auto isFound = [](const auto& aOne) {
      return aOne.second->IsFound();
    };
    static_cast<void>(RunUntil(
      [&] { return std::all_of(watches.begin(), watches.end(), isFound); },
      aTime));
    std::set<std::size_t> late;
    for (const auto& one : watches) {
      if (!isFound(one)) {
        late.insert(one.first);
      }
    }
    return late;
  }
};

} // namespace

TEST_CASE(
  "a host that is cut off from the store receives a large configuration "
  "from its peers",
  "[process]")
{
  Fixture fixture(3);
  fixture.CutFromStore(1);
  fixture.RunFor(Millis(200));
  fixture.Put(3);
  CHECK(fixture.IsInForceWithin(1, 3, kInForceWithin));
}

// In a large fleet only the leader reads the store.
TEST_CASE("a change reaches a large fleet whose leader is cut off from the "
          "store",
          "[process]")
{
  constexpr std::size_t kLargeFleet = 18;
  Fixture fixture(kLargeFleet);
  const auto leader = fixture.Leader();
  // The leader starts its next read shortly before it is cut off.
  fixture.Put(3);
  fixture.RunFor(Millis(600));
  fixture.CutFromStore(leader);
  fixture.Put(4);
  CHECK(fixture.LateGateways(4, kInForceWithin, { leader }).empty());
}

TEST_CASE("a change reaches a large fleet whose leader and successors are cut "
          "off from the store",
          "[process]")
{
  constexpr std::size_t kLargeFleet = 18;
  Fixture fixture(kLargeFleet);
  const auto cut = fixture.LeaderAndSuccessors();
  fixture.Put(3);
  fixture.RunFor(Millis(600));
  for (const auto gateway : cut) {
    fixture.CutFromStore(gateway);
  }
  fixture.Put(4);
  CHECK(fixture.LateGateways(4, kInForceWithin, cut).empty());
}

// Each host of a small fleet waits for changes on its own connection to the
// store.
TEST_CASE("a change reaches hosts whose connections to the store have stalled",
          "[process]")
{
  /** Stalled connections count as reset for this long, as the users'
      stability-ms specifies. */
  constexpr Millis kExcusedTime{ 3000 };
  Fixture fixture(4);
  const auto leader = fixture.Leader();
  for (std::size_t i = 0; i < 4; ++i) {
    fixture.StallOpenConnections(i);
  }
  fixture.CutFromStore(leader);
  fixture.RunFor(kExcusedTime);
  fixture.Put(3);
  CHECK(fixture.LateGateways(3, kInForceWithin, { leader }).empty());
}

TEST_CASE("a host that is cut off from the store and missed a version receives "
          "the next one",
          "[process]")
{
  // Larger than a small fleet, so that only the leader reads the store.
  constexpr std::size_t kLargeFleet = 18;
  constexpr std::size_t kLate = 9;
  Fixture fixture(kLargeFleet);
  fixture.CutFromStore(kLate);
  fixture.LoseDatagrams(kLate, 1.0);
  fixture.Put(3);
  fixture.RunFor(Millis(400));
  fixture.LoseDatagrams(kLate, 0.0);
  fixture.Put(4);
  CHECK(fixture.IsInForceWithin(kLate, 4, kInForceWithin));
}

// When a frozen host resumes, it receives callers' requests before it has read
// the configuration changes of the meantime.
TEST_CASE("a host that resumes does not reject requests for a route that was "
          "added while it was frozen",
          "[process]")
{
  Fixture fixture(3);
  const std::size_t frozen = (fixture.Leader() + 1) % 3;
  fixture.Signal(frozen, SIGSTOP);
  fixture.Put(3);
  fixture.RunFor(Millis(2500));
  std::vector<int> statuses;
  HttpClient client(fixture.Loop(), fixture.CallersAddress(frozen));
  const std::function<void()> ask = [&] {
    client.Call({ "GET", Concat(AddedPath(3), "x"), "", "" },
                Millis(4000),
                [&](const CallResult& aResult) {
                  statuses.push_back(aResult.m_answer.m_head.m_status);
                  if (statuses.size() < 20) {
                    fixture.Loop().Defer(ask);
                  }
                });
  };
  ask();
  fixture.RunFor(Millis(100));
  fixture.Signal(frozen, SIGCONT);
  REQUIRE(fixture.RunUntil([&] { return statuses.size() >= 3; }, Millis(6000)));
  CHECK(std::count(statuses.begin(), statuses.end(), 503) ==
        static_cast<std::ptrdiff_t>(statuses.size()));
}
