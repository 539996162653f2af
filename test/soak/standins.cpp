#include "soak/arrival_clock.hpp"
#include "support/loopback.hpp"

#include <catch2/catch.hpp>
#include <set>

using namespace sapphirehook;
using sapphirehook::soak::ArrivalClock;

namespace {

constexpr TimePoint
At(int aMillis)
{
  return TimePoint(Millis(aMillis));
}

} // namespace

TEST_CASE("what a frozen stand-in reads came while it was frozen", "[soak]")
{
  ArrivalClock clock(At(0));
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

TEST_CASE("no port of the loopback is given twice", "[soak]")
{
  std::set<std::uint16_t> ports;
  constexpr std::size_t kPorts = 1000;
  for (std::size_t i = 0; i < kPorts; ++i) {
    ports.insert(support::FreeAddress().sin_port);
  }
  CHECK(ports.size() == kPorts);
}
