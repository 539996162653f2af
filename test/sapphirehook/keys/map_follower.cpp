#include "sapphirehook/keys/map_follower.hpp"

#include <catch2/catch.hpp>

using namespace sapphirehook;

namespace {

std::vector<BlockDigest>
DigestsOf(const RangeMap& aMap)
{
  std::vector<BlockDigest> digests;
  for (unsigned block = 0; block < kBlocks; ++block) {
    digests.push_back(aMap.Digest(block));
  }
  return digests;
}

} // namespace

TEST_CASE("a follower requests only the blocks that differ", "[keys]")
{
  const TimePoint now = TimePoint{} + Millis(1000);
  RangeMap leader;
  leader.Assign({ { 0, kKeyCount - 1 }, "a", true });
  RangeMap own = leader;
  MapFollower follower;
  follower.OnDigests(DigestsOf(leader), own);
  CHECK(follower.TakeDue(now).empty());
  leader.Assign({ { 8192, 8200 }, "b", true });
  follower.OnDigests(DigestsOf(leader), own);
  CHECK(follower.TakeDue(now) == std::vector<unsigned>{ 2 });
  own.Assign({ { 8192, 8200 }, "b", true });
  follower.OnDigests(DigestsOf(leader), own);
  CHECK(follower.TakeDue(now + Millis(5000)).empty());
}

TEST_CASE("a follower requests a block once after a misdirected key", "[keys]")
{
  const TimePoint now = TimePoint{} + Millis(1000);
  MapFollower follower;
  follower.OnMisdirected(4096 * 3 + 7);
  CHECK(follower.TakeDue(now) == std::vector<unsigned>{ 3 });
  CHECK(follower.TakeDue(now + Millis(5000)).empty());
}

TEST_CASE("a follower without answers requests with growing delays", "[keys]")
{
  // Guards against an overload: all daemons of a fleet requested whole maps
  // every 60 ms, the answers filled the leader's link, its heartbeats were
  // lost, and another daemon claimed.
  TimePoint now = TimePoint{} + Millis(1000);
  RangeMap leader;
  leader.Assign({ { 0, kKeyCount - 1 }, "a", true });
  const RangeMap own;
  MapFollower follower;
  follower.OnDigests(DigestsOf(leader), own);
  unsigned asked = 0;
  for (int i = 0; i < 1000; ++i, now += Millis(10)) {
    asked += follower.TakeDue(now).empty() ? 0 : 1;
  }
  CHECK(asked <= 25);
  // After an answer, the follower requests the remaining blocks at once.
  follower.OnRoutes();
  unsigned soon = 0;
  for (int i = 0; i < 60; ++i, now += Millis(10)) {
    soon += follower.TakeDue(now).empty() ? 0 : 1;
  }
  CHECK(soon >= 2);
}
