#include "sapphirehook/keys/earlier_grants.hpp"

#include <catch2/catch.hpp>

using namespace sapphirehook;

namespace {

constexpr Millis kGrantLifetime{ 4480 };
const HostId kFirst{ "a", 20 };
const HostId kSecond{ "b", 30 };

constexpr TimePoint
At(int aMillis)
{
  return TimePoint(Millis(aMillis));
}

} // namespace

TEST_CASE("an earlier leader's grants last until its authority and leases end "
          "without a report",
          "[keys]")
{
  EarlierGrants grants(kGrantLifetime);
  CHECK(grants.Expiry() == TimePoint{});
  grants.Add(kFirst, 1, At(20'000));
  grants.OnHeartbeat(At(2000), kSecond, 2, false);
  CHECK(grants.Expiry() == At(20'000));
  // A heartbeat from before its claim says nothing about that term.
  grants.OnHeartbeat(At(2100), kFirst, 0, false);
  CHECK(grants.Expiry() == At(20'000));
  // The earlier leader may still lead.
  grants.OnHeartbeat(At(2200), kFirst, 1, true);
  CHECK(grants.Expiry() == At(20'000));
}

TEST_CASE("reports of an earlier leader's end count at any time", "[keys]")
{
  EarlierGrants grants(kGrantLifetime);
  grants.Add(kFirst, 1, At(20'000));
  SECTION("another process on its host")
  {
    grants.OnHeartbeat(At(3000), { "a", 21 }, 0, false);
    CHECK(grants.Expiry() == At(3000) + kGrantLifetime);
    grants.OnHeartbeat(At(9000), { "a", 22 }, 0, false);
    CHECK(grants.Expiry() == At(3000) + kGrantLifetime);
  }
  SECTION("its heartbeat without leadership")
  {
    grants.OnHeartbeat(At(2500), kFirst, 1, true);
    grants.OnHeartbeat(At(3000), kFirst, 2, false);
    CHECK(grants.Expiry() == At(3000) + kGrantLifetime);
    grants.OnHeartbeat(At(6000), kFirst, 3, false);
    CHECK(grants.Expiry() == At(3000) + kGrantLifetime);
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

TEST_CASE("reports received before a leader is known count too", "[keys]")
{
  EarlierGrants grants(kGrantLifetime);
  grants.OnHeartbeat(At(1000), { "a", 21 }, 0, false);
  grants.OnExpiryReported(2, At(5000));
  grants.Add(kFirst, 1, At(20'000));
  grants.Add(kSecond, 2, At(20'000));
  CHECK(grants.Expiry() == At(1000) + kGrantLifetime);
}

// Guards against a wait that never ended while leaders changed, because each
// leader restarted it (soak seeds 415 and 515).
TEST_CASE("the remaining wait does not grow when another leader reads it",
          "[keys]")
{
  EarlierGrants second(kGrantLifetime);
  second.Add(kFirst, 1, At(20'000));
  const auto stored = second.RemainingLeaders(At(8000));
  REQUIRE(stored.size() == 1);
  CHECK(stored[0] == EarlierLeader{ kFirst, 1, 12'000 });

  // The third leader has received a heartbeat of a new process on the first
  // leader's host. The fourth leader reads the stored list twice.
  EarlierGrants third(kGrantLifetime);
  third.OnHeartbeat(At(7000), { "a", 21 }, 0, false);
  third.AddStored(At(9000), stored);
  CHECK(third.Expiry() == At(7000) + kGrantLifetime);
  EarlierGrants fourth(kGrantLifetime);
  fourth.AddStored(At(9000), stored);
  fourth.AddStored(At(12'000), stored);
  CHECK(fourth.Expiry() == At(21'000));
}
