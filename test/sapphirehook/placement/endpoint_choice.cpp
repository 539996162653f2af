#include "sapphirehook/placement/endpoint_choice.hpp"

#include "support/subset_choice.hpp"

#include <catch2/catch.hpp>

using namespace sapphirehook;
using namespace support;

namespace {

constexpr unsigned kSeed = 20261204;

/** Expected share of requests answered within their objective while the
    endpoints have free capacity. 3 in 100 requests are too long for some
    endpoints. */
constexpr double kServed = 0.93;

/** The certificates service with a fleet of 61 daemons at the load peak. */
FleetLoad
LargeFleet()
{
  FleetLoad load;
  load.m_daemons = 61;
  load.m_endpoints = 94;
  load.m_requestsPerSecond = 502 * 1.55;
  load.m_work = std::chrono::milliseconds(490);
  load.m_objective = std::chrono::milliseconds(1500);
  load.m_timeout = std::chrono::milliseconds(2500);
  load.m_heartbeatInterval = std::chrono::milliseconds(300);
  load.m_length = std::chrono::seconds(8);
  return load;
}

/** The payments service with a fleet of eight daemons at the load peak. */
FleetLoad
SmallFleet()
{
  FleetLoad load;
  load.m_requestsPerSecond = 106 * 1.55;
  load.m_spread = 0.8;
  return load;
}

/** Lookups on 45 endpoints of three slots with a fleet of 68 daemons. */
FleetLoad
LookupFleet(double aRequestsPerSecond)
{
  FleetLoad load;
  load.m_daemons = 68;
  load.m_endpoints = 45;
  load.m_slots = 3;
  load.m_speeds = { 0.5, 0.7, 0.9, 1.0, 1.1, 1.3, 1.5 };
  load.m_statesLoad = true;
  load.m_requestsPerSecond = aRequestsPerSecond;
  load.m_work = std::chrono::milliseconds(81);
  load.m_objective = std::chrono::milliseconds(400);
  load.m_heartbeatInterval = std::chrono::milliseconds(300);
  load.m_length = std::chrono::seconds(6);
  return load;
}

template<typename Choice>
FleetOutcome
Replay(const FleetLoad& aLoad)
{
  return FleetReplay<Choice>(aLoad, kSeed).Run();
}

} // namespace

TEST_CASE("a large fleet spreads a load peak over all endpoints",
          "[placement][crest]")
{
  const auto ours = Replay<DrawnChoice>(LargeFleet());
  const auto naive = Replay<BestChoice>(LargeFleet());
  CHECK(ours.m_inObjective > kServed);
  CHECK(ours.m_unused == 0);
  CHECK(ours.m_refused < 0.01);
  // Daemons that always choose the cheapest endpoint all choose the same ones.
  CHECK(naive.m_inObjective < 0.8);
}

TEST_CASE("a small fleet prefers fast endpoints without overloading one",
          "[placement][crest]")
{
  const auto ours = Replay<DrawnChoice>(SmallFleet());
  const auto naive = Replay<BestChoice>(SmallFleet());
  const auto random = Replay<RandomChoice>(SmallFleet());
  CHECK(ours.m_inObjective > kServed);
  CHECK(ours.m_inObjective >= naive.m_inObjective);
  CHECK(ours.m_inObjective > random.m_inObjective);
  CHECK(ours.m_mean < naive.m_mean);
}

TEST_CASE("endpoints that become slow get fewer requests before these time out",
          "[placement][crest]")
{
  auto load = SmallFleet();
  load.m_requestsPerSecond = 106;
  load.m_slowAt = std::chrono::seconds(6);
  load.m_slowEndpoints = 3;
  load.m_slowFactor = 12.0;
  const auto ours = Replay<DrawnChoice>(load);
  const auto random = Replay<RandomChoice>(load);
  // Three of eight endpoints are slow for two thirds of the time.
  CHECK(random.m_inObjective < 0.8);
  CHECK(ours.m_inObjective > 0.9);
}

TEST_CASE("daemons of a large fleet use subsets without loss",
          "[placement][subset]")
{
  // If each daemon uses all endpoints, connections time out between two
  // requests, and figures about an endpoint are old.
  for (const double rate : { 300.0, 900.0, 1250.0 }) {
    const auto subset = Replay<SubsetChoice>(LookupFleet(rate));
    const auto all = Replay<DrawnChoice>(LookupFleet(rate));
    CAPTURE(rate, subset.m_inObjective, all.m_inObjective);
    CAPTURE(subset.m_newConnections, all.m_newConnections);
    CHECK(subset.m_inObjective > all.m_inObjective - 0.005);
    CHECK(subset.m_newConnections < 0.7 * all.m_newConnections);
    CHECK(subset.m_aboveSlots < all.m_aboveSlots);
    CHECK(subset.m_unused == 0);
  }
}

TEST_CASE("stated loads reduce the queueing of a fleet",
          "[placement][reported]")
{
  auto load = LookupFleet(900.0);
  const auto stated = Replay<SubsetChoice>(load);
  load.m_statesLoad = false;
  const auto unknown = Replay<SubsetChoice>(load);
  CHECK(stated.m_aboveSlots < unknown.m_aboveSlots);
  CHECK(stated.m_mean < unknown.m_mean);
}

TEST_CASE("a small fleet uses all endpoints", "[placement][subset]")
{
  CHECK(SubsetSize(45, 16) == 45);
  CHECK(SubsetSize(45, 68) == 12);
  CHECK(SubsetSize(300, 20) == 45);
  CHECK(SubsetSize(8, 68) == 8);
}

TEST_CASE(
  "a daemon that sees a larger share of the load compares more endpoints",
  "[placement]")
{
  EndpointChooser chooser(1);
  chooser.SetDaemons(8);
  CHECK(chooser.SampleSize(8) == 6);
  chooser.SetDaemons(61);
  CHECK(chooser.SampleSize(16) == 3);
  CHECK(chooser.SampleSize(94) == 6);
}

TEST_CASE("the only endpoint with free capacity is found", "[placement]")
{
  EndpointChooser chooser(3);
  chooser.SetDaemons(61);
  std::vector<int> values(40, 0);
  std::vector<int*> localZone;
  std::vector<int*> otherZones;
  for (std::size_t i = 0; i < values.size(); ++i) {
    (i < 10 ? localZone : otherZones).push_back(&values[i]);
  }
  for (auto& available : values) {
    available = 1;
    const auto cost =
      [](int aAvailable) -> std::optional<std::chrono::nanoseconds> {
      return aAvailable != 0 ? std::optional(std::chrono::nanoseconds(1))
                             : std::nullopt;
    };
    CHECK(chooser.Choose<int>(localZone, otherZones, cost) == &available);
    available = 0;
    CHECK(chooser.Choose<int>(localZone, otherZones, cost) == nullptr);
  }
}
