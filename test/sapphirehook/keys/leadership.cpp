#include "sapphirehook/keys/leadership.hpp"

#include <catch2/catch.hpp>

using namespace sapphirehook;

namespace {

const HostId kSelf{ "b", 10 };
const HostId kOther{ "a", 20 };

constexpr TimePoint
At(int aMillis)
{
  return TimePoint(Millis(aMillis));
}

Leadership
Follower()
{
  Leadership leadership(LeadershipTimes{}, kSelf, 0.2, At(1000));
  leadership.SetStoreWorks(At(1000), true);
  return leadership;
}

} // namespace

TEST_CASE("a daemon claims once no leader has been heard of for long enough",
          "[keys]")
{
  auto leadership = Follower();
  CHECK_FALSE(leadership.ShouldClaim(At(1500)));
  CHECK(leadership.ShouldClaim(At(1700)));
  leadership.OnBeat(
    At(1650), kOther, 1, true, { true, At(1600), false, {}, 0.2 });
  CHECK_FALSE(leadership.ShouldClaim(At(2300)));
}

TEST_CASE("candidates claim one after the other", "[keys]")
{
  auto leadership = Follower();
  leadership.OnBeat(
    At(1600), kOther, 0, false, { true, At(1600), false, {}, 0.2 });
  CHECK_FALSE(leadership.ShouldClaim(At(1720)));
  CHECK(leadership.ShouldClaim(At(1950)));
  SECTION("one without the store does not count")
  {
    leadership.OnBeat(
      At(1650), kOther, 0, false, { false, {}, false, {}, 0.2 });
    CHECK(leadership.ShouldClaim(At(1720)));
  }
}

TEST_CASE("a leader acts until its last proof is too old", "[keys]")
{
  auto leadership = Follower();
  const LeadershipTimes times;
  leadership.OnClaimed(At(2000), 1);
  CHECK(leadership.HasAuthority(At(2000) + times.m_authority - Millis(1)));
  CHECK_FALSE(leadership.HasAuthority(At(2000) + times.m_authority));
  leadership.OnProof(At(3000));
  CHECK(leadership.HasAuthority(At(2000) + times.m_authority));
  leadership.OnRecord(At(4000), { 2, kOther, 0, 0 });
  CHECK_FALSE(leadership.Leads());
  CHECK_FALSE(leadership.HasAuthority(At(4001)));
}

TEST_CASE("a predecessor's grants end with its authority and its last hold",
          "[keys]")
{
  const LeadershipTimes times;
  const auto hold =
    times.m_orderLasts + WithDrift(times.m_hold, times.m_driftPpm);
  auto leadership = Follower();
  leadership.OnRecord(At(1500), { 1, kOther, 0, 0 });
  SECTION("without any sign of it")
  {
    leadership.OnClaimed(At(2000), 2);
    CHECK(leadership.ForeignGrantsEnd() == At(2000) + times.m_authority + hold);
  }
  SECTION("when another run has started on its host")
  {
    leadership.OnBeat(
      At(1800), { "a", 21 }, 0, false, { true, At(1600), false, {}, 0.2 });
    leadership.OnClaimed(At(2000), 2);
    CHECK(leadership.ForeignGrantsEnd() == At(1800) + hold);
  }
  SECTION("when it stepped down, heard before its record was read")
  {
    auto other = Follower();
    other.OnResigned(At(1400), kOther, 1, Millis(4080));
    other.OnRecord(At(1500), { 1, kOther, 0, 0 });
    other.OnClaimed(At(2000), 2);
    CHECK(other.ForeignGrantsEnd() == At(1400) + Millis(4080));
  }
  SECTION("when the record tells of still earlier grants")
  {
    leadership.OnResigned(At(1600), kOther, 1, Millis(100));
    leadership.OnRecord(At(1500), { 1, kOther, 1, 9000 });
    leadership.OnClaimed(At(2000), 2);
    CHECK(leadership.ForeignGrantsEnd() == At(1500) + Millis(9000));
  }
}

TEST_CASE("a leader without the store makes room only for one that has it",
          "[keys]")
{
  auto leadership = Follower();
  leadership.OnClaimed(At(2000), 1);
  leadership.OnBeat(At(4800), kOther, 1, false, { false, {}, false, {}, 0.2 });
  CHECK_FALSE(leadership.ShouldResign(At(5000)));
  // It believes to reach the store, but has had no answer since long before.
  leadership.OnBeat(
    At(4850), kOther, 1, false, { true, At(1600), false, {}, 0.2 });
  CHECK_FALSE(leadership.ShouldResign(At(5000)));
  leadership.OnBeat(
    At(4900), kOther, 1, false, { true, At(4800), false, {}, 0.2 });
  CHECK_FALSE(leadership.ShouldResign(At(5000)));
  leadership.OnBeat(
    At(6400), kOther, 1, false, { true, At(6300), false, {}, 0.2 });
  CHECK(leadership.ShouldResign(At(6500)));
  leadership.OnProof(At(6500));
  CHECK_FALSE(leadership.ShouldResign(At(6600)));
}

TEST_CASE("after an outage of the store daemons claim in turn", "[keys]")
{
  auto leadership = Follower();
  leadership.SetStoreWorks(At(3000), false);
  CHECK_FALSE(leadership.ShouldClaim(At(8950)));
  leadership.OnBeat(
    At(8900), kOther, 1, false, { true, At(8900), false, {}, 0.2 });
  leadership.SetStoreWorks(At(9000), true);
  CHECK_FALSE(leadership.ShouldClaim(At(9010)));
  CHECK(leadership.ShouldClaim(At(9000) + LeadershipTimes{}.m_stagger));
}

TEST_CASE("a daemon that starts later is told of a resignation", "[keys]")
{
  auto leadership = Follower();
  leadership.OnResignationTold(1, At(5000));
  leadership.OnRecord(At(1500), { 1, kOther, 0, 0 });
  leadership.OnClaimed(At(2000), 2);
  CHECK(leadership.ForeignGrantsEnd() == At(5000));
}
