#include "sapphirehook/core/arrival_clock.hpp"

#include <catch2/catch.hpp>

using namespace sapphirehook;

namespace {

constexpr TimePoint
At(int aMillis)
{
  return TimePoint(Millis(aMillis));
}

} // namespace

TEST_CASE("what a frozen process reads came while it was frozen", "[core]")
{
  ArrivalClock clock(At(0), Millis(100));
  for (int now = 20; now <= 1000; now += 20) {
    clock.OnTick(At(now));
  }
  CHECK(clock.EarliestArrival(At(1010)) == At(1010));
  // Frozen from 1,000 to 5,500 ms: read before the first tick, and after it.
  CHECK(clock.EarliestArrival(At(5500)) == At(1000));
  clock.OnTick(At(5501));
  CHECK(clock.EarliestArrival(At(5540)) == At(1000));
  for (int now = 5520; now <= 6100; now += 20) {
    clock.OnTick(At(now));
  }
  CHECK(clock.EarliestArrival(At(6105)) == At(6105));
}
