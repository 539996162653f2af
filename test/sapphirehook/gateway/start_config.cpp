#include "sapphirehook/gateway/start_config.hpp"

#include <catch2/catch.hpp>

using namespace sapphirehook;

namespace {

constexpr TimePoint
At(int aMillis)
{
  return TimePoint(Millis(aMillis));
}

} // namespace

TEST_CASE("a host that starts after a restore does not use an older "
          "configuration than its peers have",
          "[gateway]")
{
  // Guards against a host that serves the configuration of the copy that the
  // store was restored from, while its peers have a later one in force.
  StartConfig start;
  start.OnPeer(At(100), "a", { 6, true });
  start.OnPeer(At(110), "b", { 5, true });
  CHECK_FALSE(start.MayUse(At(120), 5, At(0), true));
  CHECK(start.LatestOfPeers(At(120)) == 6);
  CHECK(start.MayUse(At(120), 6, At(0), true));
  SECTION("also after the wait for the first peer")
  {
    start.OnPeer(At(900), "a", { 6, true });
    CHECK_FALSE(start.MayUse(At(1000), 5, At(0), true));
  }
  SECTION("until the peers are gone")
  {
    CHECK(start.MayUse(At(1200), 5, At(0), true));
  }
}

TEST_CASE("a host waits for its peers before it uses a configuration",
          "[gateway]")
{
  StartConfig start;
  // It does not know yet whether it has peers.
  CHECK_FALSE(start.MayUse(At(0), 5, std::nullopt, false));
  CHECK(start.MayUse(At(0), 5, At(0), false));
  CHECK_FALSE(start.MayUse(At(500), 5, At(0), true));
  CHECK(start.MayUse(At(600), 5, At(0), true));
  // A peer that also starts has read the same copy, so it confirms nothing.
  start.OnPeer(At(200), "a", { 5, false });
  CHECK_FALSE(start.MayUse(At(210), 5, At(0), true));
  start.OnPeer(At(300), "b", { 5, true });
  CHECK(start.MayUse(At(310), 5, At(0), true));
}
