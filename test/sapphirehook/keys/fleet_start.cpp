#include "support/start_replay.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

using namespace sapphirehook;
using support::FleetStart;
using support::StartReplay;

namespace {

/** A start of 449 endpoints that become known within a time, in a random order
    and pace. */
FleetStart
LargeStart(Millis aWithin, unsigned aSeed)
{
  FleetStart start;
  std::mt19937 random(aSeed);
  for (std::size_t i = 0; i < start.m_endpoints; ++i) {
    start.m_knownAt.emplace_back(100 + random() % aWithin.count());
  }
  return start;
}

/** Initial ranges are of equal size up to the blocks in which they are stored,
    and the slowest endpoint has half of the mean speed. */
constexpr double kMaxBusiest = 2.5;

} // namespace

TEST_CASE(
  "after a start, the keys of a large fleet lie on all endpoints, in any "
  "order and pace in which they become known",
  "[keys][start]")
{
  rc::prop("no endpoint is without keys or holds much more than its part", [] {
    auto start = LargeStart(Millis(*rc::gen::inRange(1, 4000)),
                            *rc::gen::arbitrary<unsigned>());
    start.m_endpoints = *rc::gen::inRange<std::size_t>(2, 450);
    std::int64_t claim = 200;
    start.m_claims.clear();
    for (auto left = *rc::gen::inRange(1, 4); left > 0; --left) {
      start.m_claims.emplace_back(claim);
      claim += *rc::gen::inRange(300, 1500);
    }
    StartReplay replay(start, 1);
    // Two seconds after the last endpoint and the last leader. Replacing
    // leaders grant all ranges again, which takes part of that time.
    replay.RunUntil(Millis(std::max<std::int64_t>(4100, claim) + 2000));
    const auto spread = replay.Spread();
    RC_LOG() << "busiest " << spread.m_busiest << " without "
             << spread.m_without << " unserved " << spread.m_unserved;
    RC_ASSERT(spread.m_without == 0U);
    RC_ASSERT(spread.m_unserved == 0.0);
    RC_ASSERT(spread.m_busiest <= kMaxBusiest);
    RC_ASSERT(spread.m_ranges <= 1'500U);
  });
}

TEST_CASE(
  "endpoints that become known within two seconds get their keys without "
  "a move",
  "[keys][start]")
{
  for (const unsigned seed : { 1U, 2U, 3U, 4U, 5U }) {
    StartReplay replay(LargeStart(Millis(1500), seed), seed);
    replay.RunUntil(Millis(5000));
    const auto spread = replay.Spread();
    CHECK(spread.m_moved < 0.02);
    CHECK(spread.m_unserved == 0.0);
    CHECK(spread.m_without == 0);
  }
}

TEST_CASE("under traffic the keys of a large fleet even out by speed, and few "
          "move",
          "[keys][start]")
{
  auto start = LargeStart(Millis(1500), 1);
  start.m_requestsPerSecond = 3000.0;
  start.m_trafficAt = Millis(10'000);
  start.m_claims = { Millis(500), Millis(800), Millis(2000) };
  StartReplay replay(start, 1);
  replay.RunUntil(Millis(30'000));
  const auto spread = replay.Spread();
  CHECK(spread.m_busiest < 2.0);
  CHECK(spread.m_without == 0);
  CHECK(spread.m_unserved < 0.02);
  CHECK(spread.m_moved < 0.3);
}

TEST_CASE(
  "keys are assigned for the first time once the endpoints have stopped "
  "becoming known, or after two seconds",
  "[keys][start]")
{
  const TimePoint start = TimePoint{} + std::chrono::seconds(5);
  ArrivalWindow window;
  CHECK_FALSE(window.HasSettled(start, 0));
  CHECK_FALSE(window.HasSettled(start + Millis(1000), 10));
  CHECK_FALSE(window.HasSettled(start + Millis(1300), 20));
  CHECK_FALSE(window.HasSettled(start + Millis(1600), 20));
  CHECK(window.HasSettled(start + Millis(1700), 20));
  ArrivalWindow endless;
  std::size_t known = 0;
  bool settled = false;
  for (Millis passed(0); passed < Millis(2000); passed += Millis(100)) {
    settled = endless.HasSettled(start + passed, ++known);
    CHECK_FALSE(settled);
  }
  CHECK(endless.HasSettled(start + Millis(2000), ++known));
}

TEST_CASE("each endpoint gets the same number of initial ranges",
          "[keys][start]")
{
  CHECK(InitialRanges(0) == 6);
  CHECK(InitialRanges(15) == 90);
  CHECK(InitialRanges(244) == 488);
  CHECK(InitialRanges(449) == 449);
  CHECK(InitialRanges(2000) == 2000);
}
