#include "sapphirehook/keys/range_planner.hpp"

#include "support/generate.hpp"

#include <catch2/catch.hpp>

using namespace sapphirehook;

namespace {

constexpr TimePoint
At(int aMillis)
{
  return TimePoint(Millis(aMillis));
}

/** Requests per second that an endpoint of normal speed can serve. */
constexpr double kCapacity = 60.0;

std::vector<PlannerEndpoint>
Endpoints(int aCount)
{
  std::vector<PlannerEndpoint> endpoints;
  for (int i = 0; i < aCount; ++i) {
    endpoints.push_back({ "e" + std::to_string(i), kCapacity });
  }
  return endpoints;
}

/** Returns ranges of equal size, assigned to the endpoints round-robin. */
std::vector<RangeManager::Held>
EvenRanges(int aRanges, int aEndpoints)
{
  std::vector<RangeManager::Held> ranges;
  const std::uint32_t size = kKeyCount / static_cast<std::uint32_t>(aRanges);
  for (int i = 0; i < aRanges; ++i) {
    const auto first = static_cast<std::uint32_t>(i) * size;
    ranges.push_back(
      { { static_cast<Key>(first), static_cast<Key>(first + size - 1) },
        "e" + std::to_string(i % aEndpoints),
        false });
  }
  return ranges;
}

/** Returns the ranges after the moves. */
std::vector<RangeManager::Held>
ApplyMoves(const std::vector<RangeManager::Held>& aRanges,
           const std::vector<PlannedMove>& aMoves)
{
  RangeMap map;
  for (const auto& range : aRanges) {
    map.Assign({ range.m_range, range.m_endpoint, true });
  }
  for (const auto& move : aMoves) {
    map.Assign({ move.m_range, move.m_to, true });
  }
  std::vector<RangeManager::Held> applied;
  for (unsigned block = 0; block < kBlocks; ++block) {
    for (const auto& route : map.Block(block)) {
      applied.push_back({ route.m_range, route.m_endpoint, false });
    }
  }
  return applied;
}

double
HighestShare(const RangePlanner& aPlanner,
             const std::vector<RangeManager::Held>& aRanges)
{
  std::map<std::string, double> rates;
  for (const auto& range : aRanges) {
    rates[range.m_endpoint] += aPlanner.Rate(range.m_range);
  }
  double highest = 0.0;
  for (const auto& [endpoint, rate] : rates) {
    highest = std::max(highest, rate / kCapacity);
  }
  return highest;
}

} // namespace

TEST_CASE("a hot range of adjacent keys is spread within two seconds",
          "[keys][crest]")
{
  // 500 requests per second, 40% of them on 60 adjacent keys.
  std::mt19937 random(5);
  RangePlanner planner(PlannerConfig{});
  const auto endpoints = Endpoints(15);
  auto ranges = EvenRanges(96, 15);
  int now = 0;
  const auto run = [&](int aMillis) {
    for (int passed = 0; passed < aMillis; passed += 200) {
      now += 200;
      std::vector<KeyCount> counts;
      for (int i = 0; i < 100; ++i) {
        const bool hot = support::Draw(random, 10) < 4;
        const auto key = hot ? 20'000 + support::Draw(random, 60)
                             : support::Draw(random, kKeyCount);
        counts.push_back({ static_cast<Key>(key), 1 });
      }
      planner.Add(counts);
      planner.Advance(At(now));
      ranges = ApplyMoves(ranges, planner.Plan(ranges, endpoints));
    }
  };
  run(1000);
  CHECK(HighestShare(planner, ranges) < 1.0);
  run(1000);
  CHECK(HighestShare(planner, ranges) < 0.9);
}

TEST_CASE("a single hot key does not move repeatedly", "[keys][crest]")
{
  // One key gets more requests than any endpoint can serve.
  RangePlanner planner(PlannerConfig{});
  const auto endpoints = Endpoints(15);
  auto ranges = EvenRanges(96, 15);
  int movesOfKey = 0;
  for (int round = 1; round <= 30; ++round) {
    planner.Add({ { 777, 25 } });
    planner.Advance(At(round * 200));
    const auto moves = planner.Plan(ranges, endpoints);
    for (const auto& move : moves) {
      movesOfKey += move.m_range.Contains(777) ? 1 : 0;
    }
    ranges = ApplyMoves(ranges, moves);
  }
  CHECK(movesOfKey <= 1);
}

TEST_CASE("an endpoint without a range gets its share of keys", "[keys]")
{
  RangePlanner planner(PlannerConfig{});
  planner.Advance(At(200));
  auto ranges = EvenRanges(96, 15);
  ranges = ApplyMoves(ranges, planner.Plan(ranges, Endpoints(16)));
  std::uint32_t keys = 0;
  for (const auto& range : ranges) {
    keys += range.m_endpoint == "e15" ? range.m_range.Size() : 0;
  }
  CHECK(keys > kKeyCount / 16 / 3);
}

TEST_CASE(
  "with very many ranges, whole ranges move to a new endpoint and off an "
  "overloaded one, and otherwise none",
  "[keys]")
{
  constexpr int kRanges = 1600;
  constexpr int kEndpoints = 40;
  constexpr int kStepMs = 200;
  const auto ranges = EvenRanges(kRanges, kEndpoints);
  // The requests of an endpoint go to its ranges in turn.
  const auto planWith = [&](int aBusyRate, int aAll) {
    RangePlanner planner{ PlannerConfig{} };
    planner.Advance(At(0));
    std::vector<int> turns(kEndpoints, 0);
    for (int now = kStepMs; now <= 8000; now += kStepMs) {
      std::vector<KeyCount> counts;
      for (int endpoint = 0; endpoint < kEndpoints; ++endpoint) {
        const int rate = endpoint == 0 ? aBusyRate : 20;
        for (int i = 0; i < rate * kStepMs / 1000; ++i) {
          const int turn = turns[endpoint]++ % (kRanges / kEndpoints);
          counts.push_back(
            { ranges[turn * kEndpoints + endpoint].m_range.m_first, 1 });
        }
      }
      planner.Add(counts);
      planner.Advance(At(now));
    }
    return planner.Plan(ranges, Endpoints(aAll));
  };
  CHECK(planWith(40, kEndpoints).empty());
  const auto relief = planWith(120, kEndpoints);
  const auto forNew = planWith(20, kEndpoints + 1);
  CHECK_FALSE(relief.empty());
  CHECK_FALSE(forNew.empty());
  for (const auto* moves : { &relief, &forNew }) {
    for (const auto& move : *moves) {
      CHECK(std::any_of(ranges.begin(), ranges.end(), [&](const auto& aOne) {
        return aOne.m_range == move.m_range;
      }));
    }
  }
}

TEST_CASE("the counter is exact while it has free entries, and never too low",
          "[keys]")
{
  std::mt19937 random(2);
  for (const std::size_t counters : { 8U, 64U }) {
    HotKeyCounter counter(counters);
    std::map<Key, std::uint32_t> naive;
    for (int i = 0; i < 400; ++i) {
      const auto key = static_cast<Key>(support::Draw(random, 2) == 0
                                          ? support::Draw(random, 4)
                                          : support::Draw(random, 40));
      counter.Count(key);
      ++naive[key];
    }
    const auto counts = counter.Take();
    CHECK(counts.size() <= counters);
    for (const auto& one : counts) {
      CHECK(one.m_count >= naive[one.m_key]);
      CHECK(one.m_count <= naive[one.m_key] + 400 / counters);
      if (counters >= naive.size()) {
        CHECK(one.m_count == naive[one.m_key]);
      }
    }
  }
}

TEST_CASE("an even load with varying counts moves few ranges", "[keys][crest]")
{
  // 500 requests per second over 15 endpoints that can serve 900.
  std::mt19937 random(11);
  RangePlanner planner(PlannerConfig{});
  const auto endpoints = Endpoints(15);
  auto ranges = EvenRanges(90, 15);
  std::uint32_t moved = 0;
  for (int now = 200; now <= 30'000; now += 200) {
    std::vector<KeyCount> counts;
    for (int i = 0; i < 100; ++i) {
      counts.push_back(
        { static_cast<Key>(support::Draw(random, kKeyCount)), 1 });
    }
    planner.Add(counts);
    planner.Advance(At(now));
    const auto moves = planner.Plan(ranges, endpoints);
    for (const auto& move : moves) {
      moved += now > 4000 ? move.m_range.Size() : 0;
    }
    ranges = ApplyMoves(ranges, moves);
  }
  // At most one key in twenty moves in half a minute once the load is known.
  CHECK(moved < kKeyCount / 20);
}

TEST_CASE("the planner follows a load peak within a second", "[keys][crest]")
{
  std::mt19937 random(12);
  RangePlanner planner(PlannerConfig{});
  const KeyRange quarter{ 0, kKeyCount / 4 - 1 };
  const auto run = [&](int aFrom, int aTo, int aPerTick) {
    for (int now = aFrom + 200; now <= aTo; now += 200) {
      std::vector<KeyCount> counts;
      for (int i = 0; i < aPerTick; ++i) {
        counts.push_back(
          { static_cast<Key>(support::Draw(random, kKeyCount)), 1 });
      }
      planner.Add(counts);
      planner.Advance(At(now));
    }
  };
  run(0, 8000, 40);
  CHECK(planner.Rate(quarter) == Approx(50.0).epsilon(0.15));
  run(8000, 9000, 100);
  CHECK(planner.Rate(quarter) > 100.0);
  run(9000, 11'000, 20);
  CHECK(planner.Rate(quarter) < 35.0);
}
