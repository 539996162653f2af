#include "sapphirehook/keys/earlier_grants.hpp"

#include <catch2/catch.hpp>

using namespace sapphirehook;

namespace {

constexpr Millis kHoldEnd{ 4480 };
const HostId kFirst{ "a", 20 };
const HostId kSecond{ "b", 30 };

constexpr TimePoint
At(int aMillis)
{
  return TimePoint(Millis(aMillis));
}

} // namespace

TEST_CASE("an earlier leader's grants last until its authority and hold end, "
          "without a sign",
          "[keys]")
{
  EarlierGrants grants(kHoldEnd);
  CHECK(grants.Expiry() == TimePoint{});
  grants.Add(kFirst, 1, At(20'000));
  grants.OnHeartbeat(At(2000), kSecond, 2, false);
  CHECK(grants.Expiry() == At(20'000));
  // A beat from before its claim tells nothing of it.
  grants.OnHeartbeat(At(2100), kFirst, 0, false);
  CHECK(grants.Expiry() == At(20'000));
  // It may still lead.
  grants.OnHeartbeat(At(2200), kFirst, 1, true);
  CHECK(grants.Expiry() == At(20'000));
}

TEST_CASE("signs of an earlier leader's end count whenever they come", "[keys]")
{
  EarlierGrants grants(kHoldEnd);
  grants.Add(kFirst, 1, At(20'000));
  SECTION("another run on its host")
  {
    grants.OnHeartbeat(At(3000), { "a", 21 }, 0, false);
    CHECK(grants.Expiry() == At(3000) + kHoldEnd);
    grants.OnHeartbeat(At(9000), { "a", 22 }, 0, false);
    CHECK(grants.Expiry() == At(3000) + kHoldEnd);
  }
  SECTION("its word that it does not lead")
  {
    grants.OnHeartbeat(At(2500), kFirst, 1, true);
    grants.OnHeartbeat(At(3000), kFirst, 2, false);
    CHECK(grants.Expiry() == At(3000) + kHoldEnd);
    grants.OnHeartbeat(At(6000), kFirst, 3, false);
    CHECK(grants.Expiry() == At(3000) + kHoldEnd);
  }
  SECTION("its resignation")
  {
    grants.OnExpiryReported(1, At(6500));
    CHECK(grants.Expiry() == At(6500));
  }
  SECTION("not the end of another term")
  {
    grants.OnExpiryReported(2, At(6500));
    CHECK(grants.Expiry() == At(20'000));
  }
}

TEST_CASE("signs that came before a leader is known count too", "[keys]")
{
  EarlierGrants grants(kHoldEnd);
  grants.OnHeartbeat(At(1000), { "a", 21 }, 0, false);
  grants.OnExpiryReported(2, At(5000));
  grants.Add(kFirst, 1, At(20'000));
  grants.Add(kSecond, 2, At(20'000));
  CHECK(grants.Expiry() == At(1000) + kHoldEnd);
}

// A wait that each leader counted anew never ended while leaders changed
// (soak seeds 415 and 515).
TEST_CASE(
  "what is left of the wait does not grow with each leader that reads it",
  "[keys]")
{
  EarlierGrants second(kHoldEnd);
  second.Add(kFirst, 1, At(20'000));
  const auto stored = second.RemainingLeaders(At(8000));
  REQUIRE(stored.size() == 1);
  CHECK(stored[0] == EarlierLeader{ kFirst, 1, 12'000 });

  // The third leader has heard the first one's host start anew; the fourth
  // reads the same again later.
  EarlierGrants third(kHoldEnd);
  third.OnHeartbeat(At(7000), { "a", 21 }, 0, false);
  third.AddStored(At(9000), stored);
  CHECK(third.Expiry() == At(7000) + kHoldEnd);
  EarlierGrants fourth(kHoldEnd);
  fourth.AddStored(At(9000), stored);
  fourth.AddStored(At(12'000), stored);
  CHECK(fourth.Expiry() == At(21'000));
}
