#include "sapphirehook/discovery/endpoint_liveness.hpp"

#include <catch2/catch.hpp>

using namespace sapphirehook;

namespace {

constexpr TimePoint
At(Millis aTime)
{
  return TimePoint(aTime);
}

sockaddr_in
AddressWithPort(in_port_t aPort)
{
  sockaddr_in address{};
  address.sin_port = aPort;
  return address;
}

const EndpointIncarnation kEndpoint{ "e", 1 };
const sockaddr_in kAddress = AddressWithPort(1);
constexpr LivenessTimes kTimes{ Millis(2000), Millis(3000), 20'000 };

struct Fixture
{
  Fixture()
  {
    EndpointRecord record;
    record.m_incarnation = kEndpoint;
    record.m_address = kAddress;
    m_directory.OnRecord(At(Millis(1)), record);
  }

  [[nodiscard]] bool LeadsTo(Millis aConnectedAt) const
  {
    return m_liveness.LeadsTo(kEndpoint, kAddress, At(aConnectedAt));
  }

  /** Confirms the list every half second between two times. */
  void Confirm(Millis aFrom, Millis aTo)
  {
    for (Millis at = aFrom; at <= aTo; at += Millis(500)) {
      m_liveness.OnComplete(At(at));
    }
  }

  EndpointDirectory m_directory{ Millis(0) };
  EndpointLiveness m_liveness{ m_directory, kTimes };
};

} // namespace

TEST_CASE("a connection leads to an endpoint that ran shortly before it",
          "[discovery]")
{
  Fixture fixture;
  CHECK_FALSE(fixture.LeadsTo(Millis(10'000)));
  fixture.m_liveness.OnAlive("e", kAddress, At(Millis(9000)));
  // The clock may run 2% slow.
  CHECK(fixture.LeadsTo(Millis(10'960)));
  CHECK_FALSE(fixture.LeadsTo(Millis(10'961)));
  CHECK_FALSE(fixture.m_liveness.LeadsTo(
    kEndpoint, AddressWithPort(2), At(Millis(9000))));
  fixture.m_liveness.OnAlive("e", AddressWithPort(2), At(Millis(9500)));
  CHECK_FALSE(fixture.LeadsTo(Millis(9000)));
}

TEST_CASE("an entry that the store still lists proves that its endpoint ran",
          "[discovery]")
{
  Fixture fixture;
  fixture.Confirm(Millis(1000), Millis(3500));
  CHECK_FALSE(fixture.LeadsTo(Millis(2900)));
  // Available for the time in which entries lapse: alive at 3 s.
  fixture.Confirm(Millis(4000), Millis(6000));
  CHECK(fixture.LeadsTo(Millis(4960)));
  CHECK_FALSE(fixture.LeadsTo(Millis(4961)));
  SECTION("not one that is removed")
  {
    fixture.m_directory.OnRemoved(At(Millis(6100)), "e", std::nullopt);
    CHECK_FALSE(fixture.LeadsTo(Millis(4000)));
  }
  SECTION("not one of another incarnation")
  {
    CHECK_FALSE(
      fixture.m_liveness.LeadsTo({ "e", 2 }, kAddress, At(Millis(4000))));
  }
  // Guards against entries that outlive their endpoints while the store does
  // not count heartbeats.
  SECTION("not while the store has been unavailable")
  {
    fixture.m_liveness.OnStoreUnavailable(At(Millis(6200)));
    fixture.Confirm(Millis(6500), Millis(9000));
    CHECK_FALSE(fixture.LeadsTo(Millis(5500)));
    fixture.Confirm(Millis(9500), Millis(9500));
    CHECK(fixture.LeadsTo(Millis(5500)));
  }
  SECTION("not after a gap between two confirmations")
  {
    fixture.Confirm(Millis(8000), Millis(10'500));
    CHECK_FALSE(fixture.LeadsTo(Millis(5500)));
    fixture.Confirm(Millis(11'000), Millis(11'000));
    CHECK(fixture.LeadsTo(Millis(9900)));
  }
}

TEST_CASE("observations of unlisted endpoints are forgotten", "[discovery]")
{
  Fixture fixture;
  fixture.m_liveness.OnAlive("gone", kAddress, At(Millis(9000)));
  const EndpointIncarnation gone{ "gone", 1 };
  fixture.m_liveness.Forget(At(Millis(10'000)));
  CHECK(fixture.m_liveness.LeadsTo(gone, kAddress, At(Millis(9500))));
  fixture.m_liveness.Forget(At(Millis(11'000)));
  CHECK_FALSE(fixture.m_liveness.LeadsTo(gone, kAddress, At(Millis(9500))));
}
