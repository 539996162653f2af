#include "sapphirehook/gossip/fleet_size.hpp"

#include <catch2/catch.hpp>

using namespace sapphirehook;

namespace {

constexpr TimePoint kStart{ std::chrono::seconds(10) };

} // namespace

TEST_CASE("a new leader keeps the previous count until it has received the "
          "heartbeats of all daemons",
          "[gossip]")
{
  FleetSize size;
  size.OnLeaderCount(61);
  size.OnAliveCount(kStart, 5, kStart);
  CHECK(size.Daemons() == 61);
  CHECK(size.IsLarge());
  size.OnAliveCount(kStart + kFollowerDiscoveryTime, 40, kStart);
  CHECK(size.Daemons() == 40);
}

TEST_CASE(
  "a follower counts the daemons of a small fleet and takes the leader's "
  "count in a large one",
  "[gossip]")
{
  FleetSize size;
  size.OnAliveCount(kStart, 8, std::nullopt);
  CHECK(size.Daemons() == 8);
  CHECK_FALSE(size.IsLarge());
  size.OnAliveCount(kStart, 17, std::nullopt);
  size.OnAliveCount(kStart, 3, std::nullopt);
  CHECK(size.Daemons() == 17);
  size.OnLeaderCount(12);
  size.OnAliveCount(kStart, 11, std::nullopt);
  CHECK(size.Daemons() == 11);
}
