#include "sapphirehook/placement/cold_start.hpp"

#include "support/generate.hpp"

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <deque>
#include <numeric>
#include <rapidcheck.h>

using namespace sapphirehook;

namespace {

constexpr Millis kStep{ 10 };

TimePoint
At(Millis aTime)
{
  return TimePoint(std::chrono::hours(5) + aTime);
}

std::string
HostName(std::size_t aIndex)
{
  return "host-" + std::to_string(aIndex);
}

/** One host with its own view of the fleet. */
struct Host
{
  explicit Host(std::size_t aIndex)
    : m_hosts(HostName(aIndex))
    , m_cold("endpoint")
  {
  }

  KnownHosts m_hosts;
  ColdStart m_cold;
  /** Requests that wait, at most a few. */
  int m_waiting = 0;
};

std::deque<Host>
Fleet(std::size_t aSize, std::mt19937& aRandom, std::uint64_t aUnknownPercent)
{
  std::deque<Host> fleet;
  for (std::size_t i = 0; i < aSize; ++i) {
    auto& host = fleet.emplace_back(i);
    std::vector<std::string> names;
    for (std::size_t j = 0; j < aSize; ++j) {
      if (support::Draw(aRandom, 100) >= aUnknownPercent) {
        names.push_back(HostName(j));
      }
    }
    host.m_hosts.Add(names);
    host.m_hosts.SetComplete();
  }
  return fleet;
}

/** Sends what the hosts may send. Returns the number of requests sent. */
std::size_t
SendAll(std::deque<Host>& aFleet, TimePoint aNow, ColdLimit aLimit, bool aKeyed)
{
  std::size_t sent = 0;
  for (auto& host : aFleet) {
    while (host.m_waiting > 0 &&
           host.m_cold.MaySend(aNow, aLimit, host.m_hosts, aKeyed)) {
      host.m_cold.OnSent(aNow, aLimit, host.m_hosts, aKeyed);
      --host.m_waiting;
      ++sent;
    }
  }
  return sent;
}

/** Returns the requests per second to an endpoint that is cold for a minute, if
    each host has aPerHost requests per second. */
double
ColdRate(std::size_t aHosts, double aPerHost, bool aKeyed)
{
  std::mt19937 random(5);
  auto fleet = Fleet(aHosts, random, 0);
  const auto limit = MakeColdLimit(4.7, 1.5, 8.0);
  std::size_t sent = 0;
  for (auto& host : fleet) {
    host.m_cold.Update(At(Millis(0)), At(Millis(60'000)), Millis(60'000));
  }
  for (Millis now{ 0 }; now < Millis(60'000); now += kStep) {
    for (auto& host : fleet) {
      const double perStep =
        aPerHost * std::chrono::duration<double>(kStep).count();
      if (static_cast<double>(support::Draw(random, 1'000'000)) <
          perStep * 1e6) {
        host.m_waiting = std::min(host.m_waiting + 1, 3);
      }
    }
    sent += SendAll(fleet, At(now), limit, aKeyed);
  }
  return static_cast<double>(sent) / 60.0;
}

} // namespace

// Guards against a cold endpoint that crashes, since each host alone judged one
// more request harmless.
TEST_CASE("no second exceeds the limit of a cold endpoint, with bursts and "
          "different views of the fleet",
          "[cold]")
{
  CHECK(rc::check("limit", [](unsigned aSeed, bool aKeyed) {
    std::mt19937 random(aSeed);
    const auto size = 1 + support::Draw(random, 120);
    const double rate =
      1.0 + 0.1 * static_cast<double>(support::Draw(random, 200));
    const auto limit = MakeColdLimit(rate, 1.5, 8.0);
    auto fleet = Fleet(size, random, support::Draw(random, 16));
    // All hosts know the endpoint before it turns cold.
    for (auto& host : fleet) {
      host.m_cold.Update(At(Millis(-1000)), At(Millis(-2000)), Millis(8000));
      host.m_cold.Update(At(Millis(0)), At(Millis(8000)), Millis(8000));
    }
    std::deque<std::size_t> lastSecond;
    int burst = 0;
    for (Millis now{ 0 }; now < Millis(8000); now += kStep) {
      // Bursts give every host a request at the same moment.
      if (support::Draw(random, 200) == 0) {
        burst = static_cast<int>(support::Draw(random, 30));
      }
      for (auto& host : fleet) {
        const bool arrives = burst > 0 || support::Draw(random, 50) == 0;
        host.m_waiting = std::min(host.m_waiting + (arrives ? 1 : 0), 3);
      }
      burst = std::max(burst - 1, 0);
      lastSecond.push_back(SendAll(fleet, At(now), limit, aKeyed));
      if (lastSecond.size() > std::size_t{ std::chrono::seconds(1) / kStep }) {
        lastSecond.pop_front();
      }
      RC_ASSERT(std::accumulate(lastSecond.begin(), lastSecond.end(), 0UL) <=
                limit.m_perSecond);
    }
  }));
}

// Guards against a limit that starves cold endpoints in large or small fleets.
TEST_CASE("a cold endpoint gets much of its tolerated rate", "[cold]")
{
  CHECK(ColdRate(68, 10.0, false) > 4.0);
  CHECK(ColdRate(3, 15.0, false) > 4.0);
  CHECK(ColdRate(1, 44.0, false) > 4.0);
  CHECK(ColdRate(68, 10.0, true) > 2.2);
  CHECK(ColdRate(3, 15.0, true) > 3.5);
  CHECK(ColdRate(1, 44.0, true) > 3.5);
  // A host with 0.65 requests a second often has none when it may send one.
  CHECK(ColdRate(68, 0.65, true) > 0.6);
}

// Guards against a host that starts alone and takes the whole limit.
TEST_CASE("a host that does not know the fleet sends nothing to cold endpoints",
          "[cold]")
{
  const auto limit = MakeColdLimit(4.7, 1.5, 8.0);
  KnownHosts hosts("a");
  ColdStart cold("e");
  cold.Update(At(Millis(0)), At(Millis(8000)), Millis(8000));
  CHECK_FALSE(cold.MaySend(At(Millis(5000)), limit, hosts, false));
  CHECK_FALSE(cold.MaySend(At(Millis(5000)), limit, hosts, true));
  CHECK(cold.MaySend(At(Millis(8000)), limit, hosts, false));
  SECTION("a service without a limit is not affected")
  {
    CHECK(cold.MaySend(At(Millis(5000)), {}, hosts, false));
  }
}

// Guards against requests that add to those sent just before the endpoint
// turned cold.
TEST_CASE("an endpoint that turns cold while it runs gets nothing for a second",
          "[cold]")
{
  const auto limit = MakeColdLimit(4.7, 1.5, 8.0);
  KnownHosts hosts("a");
  hosts.SetComplete();
  ColdStart cold("e");
  cold.Update(At(Millis(0)), At(Millis(0)), Millis(8000));
  CHECK(cold.MaySend(At(Millis(10)), limit, hosts, false));
  cold.Update(At(Millis(20)), At(Millis(8000)), Millis(8000));
  CHECK_FALSE(cold.MaySend(At(Millis(1010)), limit, hosts, false));
  CHECK(cold.MaySend(At(Millis(1500)), limit, hosts, false));
}

// Guards against a burst of all hosts at the end of the cold time.
TEST_CASE("after the cold time the rate grows over a ramp", "[cold]")
{
  std::mt19937 random(7);
  auto fleet = Fleet(68, random, 0);
  const auto limit = MakeColdLimit(4.7, 1.5, 8.0);
  for (auto& host : fleet) {
    host.m_cold.Update(At(Millis(0)), At(Millis(4000)), Millis(8000));
  }
  std::array<std::size_t, 13> perSecond{};
  for (Millis now{ 0 }; now < Millis(13'000); now += kStep) {
    for (auto& host : fleet) {
      host.m_waiting = 3;
    }
    perSecond.at(static_cast<std::size_t>(now / Millis(1000))) +=
      SendAll(fleet, At(now), limit, false);
  }
  CHECK(perSecond[4] <= limit.m_perSecond);
  CHECK(perSecond[7] > perSecond[4]);
  CHECK(perSecond[10] > 2 * perSecond[7]);
  CHECK(perSecond[11] < 200);
  CHECK(perSecond[12] > 1000);
  CHECK(fleet[0].m_cold.Capacity(At(Millis(3000)), 4.7, 50.0) == 4.7);
  CHECK(fleet[0].m_cold.Capacity(At(Millis(8000)), 4.7, 50.0) == Approx(27.35));
  CHECK(fleet[0].m_cold.Capacity(At(Millis(12'000)), 4.7, 50.0) == 50.0);
}
