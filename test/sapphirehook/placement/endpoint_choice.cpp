#include "sapphirehook/placement/endpoint_choice.hpp"

#include "support/fleet_replay.hpp"

#include <catch2/catch.hpp>

using namespace sapphirehook;
using namespace support;

namespace {

constexpr unsigned kSeed = 20261204;

/** Share of requests that a fleet should answer within their objective while
    its endpoints have room; 3 in 100 requests are too long for some endpoints.
 */
constexpr double kServed = 0.93;

/** Certificates of a fleet of 61 daemons at the crest of the wave. */
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

/** Payments of eight daemons at the crest of the wave. */
FleetLoad
SmallFleet()
{
  FleetLoad load;
  load.m_requestsPerSecond = 106 * 1.55;
  load.m_spread = 0.8;
  return load;
}

template<typename Choice>
FleetOutcome
Replay(const FleetLoad& aLoad)
{
  return FleetReplay<Choice>(aLoad, kSeed).Run();
}

} // namespace

TEST_CASE("a large fleet spreads the crest over all endpoints",
          "[placement][crest]")
{
  const auto ours = Replay<DrawnChoice>(LargeFleet());
  const auto naive = Replay<BestChoice>(LargeFleet());
  CHECK(ours.m_inObjective > kServed);
  CHECK(ours.m_unused == 0);
  CHECK(ours.m_refused < 0.01);
  // All daemons that send to what looks best send to the same endpoints.
  CHECK(naive.m_inObjective < 0.8);
}

TEST_CASE("a small fleet uses its fast endpoints, and none gathers all",
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

TEST_CASE("endpoints that turn slow lose their requests before these time out",
          "[placement][crest]")
{
  auto load = SmallFleet();
  load.m_requestsPerSecond = 106;
  load.m_slowAt = std::chrono::seconds(6);
  load.m_slowEndpoints = 3;
  load.m_slowFactor = 12.0;
  const auto ours = Replay<DrawnChoice>(load);
  const auto random = Replay<RandomChoice>(load);
  // Three of eight are slow for two thirds of the time.
  CHECK(random.m_inObjective < 0.8);
  CHECK(ours.m_inObjective > 0.9);
}

TEST_CASE("more endpoints are compared where a daemon sees more of the load",
          "[placement]")
{
  EndpointChooser chooser(1);
  chooser.SetDaemons(8);
  CHECK(chooser.SampleSize(8) == 6);
  chooser.SetDaemons(61);
  CHECK(chooser.SampleSize(16) == 3);
  CHECK(chooser.SampleSize(94) == 6);
}

TEST_CASE("the only endpoint with room is found", "[placement]")
{
  EndpointChooser chooser(3);
  chooser.SetDaemons(61);
  std::vector<int> values(40, 0);
  std::vector<int*> near;
  std::vector<int*> far;
  for (std::size_t i = 0; i < values.size(); ++i) {
    (i < 10 ? near : far).push_back(&values[i]);
  }
  for (auto& able : values) {
    able = 1;
    const auto cost = [](int aAble) -> std::optional<std::chrono::nanoseconds> {
      return aAble != 0 ? std::optional(std::chrono::nanoseconds(1))
                        : std::nullopt;
    };
    CHECK(chooser.Choose<int>(near, far, cost) == &able);
    able = 0;
    CHECK(chooser.Choose<int>(near, far, cost) == nullptr);
  }
}
