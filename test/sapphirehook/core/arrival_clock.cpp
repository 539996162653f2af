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

TEST_CASE("data read after a freeze counts as received when the freeze began",
          "[core]")
{
  ArrivalClock clock(At(0), Millis(100));
  for (int now = 20; now <= 1000; now += 20) {
    clock.OnTick(At(now));
  }
  CHECK(clock.EarliestArrival(At(1010)) == At(1010));
  // The process is frozen from 1,000 to 5,500 ms. It reads once before the
  // first tick after the freeze and once after that tick.
  CHECK(clock.EarliestArrival(At(5500)) == At(1000));
  clock.OnTick(At(5501));
  CHECK(clock.EarliestArrival(At(5540)) == At(1000));
  for (int now = 5520; now <= 6100; now += 20) {
    clock.OnTick(At(now));
  }
  CHECK(clock.EarliestArrival(At(6105)) == At(6105));
}
