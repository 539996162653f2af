#include "process/gateway_bed.hpp"
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

/** The users' bound from the acknowledgement of a change to its being in force
    (config-apply-ms). */
constexpr Millis kInForceWithin{ 2000 };
constexpr Millis kStartUp{ 15'000 };
/** Routes of a large configuration; about 350 KB. */
constexpr unsigned kManyRoutes = 1500;

std::string
AddedPath(unsigned aVersion)
{
  return Concat("/added", aVersion, "/");
}

/** Returns a large configuration whose last route stands for its version. */
RoutingConfig
LargeConfig(unsigned aVersion)
{
  std::mt19937 random(7);
  RoutingConfig config;
  config.m_version = aVersion;
  const auto add = [&](const std::string& aName, const std::string& aPrefix) {
    Route route;
    route.m_name = aName;
    route.m_host = "127.0.0.1"; // as the client of small calls says
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
  config.m_services["keyed"].m_keyed = true; // so that a daemon leads
  return config;
}

/** Asks a gateway for a path until its configuration has a route for it. No
    endpoint serves the route, so that what is asked is refused then. */
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

/** Gateways with a large configuration, of which a test asks for the route that
    a version has added. */
class Bed : public test::GatewayBed
{
public:
  explicit Bed(std::size_t aGateways)
    : GatewayBed(aGateways)
  {
    Put(1);
    REQUIRE(LateOnes(1, kStartUp, {}).empty());
    // A large fleet finds its leader, which then passes records on.
    RunFor(Millis(3000));
    Put(2);
    REQUIRE(LateOnes(2, kInForceWithin, {}).empty());
  }

  void Put(unsigned aVersion) { PutConfig(LargeConfig(aVersion)); }

  /** Whether a gateway finds the route of a version in time. */
  bool IsInForceWithin(std::size_t aGateway, unsigned aVersion, Millis aTime)
  {
    std::set<std::size_t> others;
    for (std::size_t i = 0; i < Gateways(); ++i) {
      if (i != aGateway) {
        others.insert(i);
      }
    }
    return LateOnes(aVersion, aTime, others).empty();
  }

  /** Returns the gateways that do not find the route of a version in time, but
      for some that are not asked. */
  std::set<std::size_t> LateOnes(unsigned aVersion,
                                 Millis aTime,
                                 const std::set<std::size_t>& aBut)
  {
    std::map<std::size_t, std::unique_ptr<RouteWatch>> watches;
    for (std::size_t i = 0; i < Gateways(); ++i) {
      if (!aBut.contains(i)) {
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

TEST_CASE("a host without the store gets a large configuration from its peers",
          "[process]")
{
  Bed bed(3);
  bed.CutFromStore(1);
  bed.RunFor(Millis(200));
  bed.Put(3);
  CHECK(bed.IsInForceWithin(1, 3, kInForceWithin));
}

// The leader alone reads for a large fleet.
TEST_CASE("a change reaches a large fleet whose leader has lost the store",
          "[process]")
{
  constexpr std::size_t kLargeFleet = 18;
  Bed bed(kLargeFleet);
  const auto leader = bed.Leader();
  // The leader's next read has begun shortly before it is cut off.
  bed.Put(3);
  bed.RunFor(Millis(600));
  bed.CutFromStore(leader);
  bed.Put(4);
  CHECK(bed.LateOnes(4, kInForceWithin, { leader }).empty());
}

TEST_CASE("a change reaches a large fleet whose leader and heirs have lost the "
          "store",
          "[process]")
{
  constexpr std::size_t kLargeFleet = 18;
  Bed bed(kLargeFleet);
  const auto cut = bed.LeaderAndHeirs();
  bed.Put(3);
  bed.RunFor(Millis(600));
  for (const auto gateway : cut) {
    bed.CutFromStore(gateway);
  }
  bed.Put(4);
  CHECK(bed.LateOnes(4, kInForceWithin, cut).empty());
}

// Each host of a small fleet waits for changes on a connection of its own.
TEST_CASE("a change reaches hosts whose connections to the store went silent",
          "[process]")
{
  /** Connections count as reset for this long after they went silent, as the
      users' stability-ms says. */
  constexpr Millis kExcused{ 3000 };
  Bed bed(4);
  const auto leader = bed.Leader();
  for (std::size_t i = 0; i < 4; ++i) {
    bed.SilenceOpenConnections(i);
  }
  bed.CutFromStore(leader);
  bed.RunFor(kExcused);
  bed.Put(3);
  CHECK(bed.LateOnes(3, kInForceWithin, { leader }).empty());
}

TEST_CASE("a host without the store that missed a version gets the next one",
          "[process]")
{
  // More than a small fleet, so that the leader alone reads.
  constexpr std::size_t kLargeFleet = 18;
  constexpr std::size_t kLate = 9;
  Bed bed(kLargeFleet);
  bed.CutFromStore(kLate);
  bed.LoseDatagrams(kLate, 1.0);
  bed.Put(3);
  bed.RunFor(Millis(400));
  bed.LoseDatagrams(kLate, 0.0);
  bed.Put(4);
  CHECK(bed.IsInForceWithin(kLate, 4, kInForceWithin));
}

// A frozen host finds the callers' requests before it has read anything.
TEST_CASE("a host that wakes up does not deny a route that was added meanwhile",
          "[process]")
{
  Bed bed(3);
  const std::size_t frozen = (bed.Leader() + 1) % 3;
  bed.Signal(frozen, SIGSTOP);
  bed.Put(3);
  bed.RunFor(Millis(2500));
  std::vector<int> statuses;
  HttpClient client(bed.Loop(), bed.CallersAddress(frozen));
  const std::function<void()> ask = [&] {
    client.Call({ "GET", Concat(AddedPath(3), "x"), "", "" },
                Millis(4000),
                [&](const CallResult& aResult) {
                  statuses.push_back(aResult.m_answer.m_head.m_status);
                  if (statuses.size() < 20) {
                    bed.Loop().Defer(ask);
                  }
                });
  };
  ask();
  bed.RunFor(Millis(100));
  bed.Signal(frozen, SIGCONT);
  REQUIRE(bed.RunUntil([&] { return statuses.size() >= 3; }, Millis(6000)));
  CHECK(std::count(statuses.begin(), statuses.end(), 503) ==
        static_cast<std::ptrdiff_t>(statuses.size()));
}
