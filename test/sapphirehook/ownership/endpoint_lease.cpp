#include "sapphirehook/ownership/endpoint_lease.hpp"

#include "support/generate.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace sapphirehook;

namespace {

constexpr Millis kLease{ 600 };
constexpr Millis kSuspect{ 350 };

/** An endpoint that accepts calls with its boot id and stores the latest expiry
    of its lease. Its clock has an offset from the dispatcher's clock. */
struct FakeEndpoint
{
  Millis m_offset{ 5000 };
  std::string m_boot = "one";
  Millis m_until{};

  [[nodiscard]] Millis Clock(TimePoint aNow) const
  {
    return SinceBoot(aNow) + m_offset;
  }

  LeaseAnswer OnCall(TimePoint aNow, const LeaseCall& aCall)
  {
    const bool accepted = aCall.m_boot == m_boot;
    if (accepted) {
      m_until = std::max(m_until, aCall.m_until);
    }
    return { m_boot, Clock(aNow), accepted, false, {} };
  }

  [[nodiscard]] bool HoldsLease(TimePoint aNow) const
  {
    return Clock(aNow) < m_until;
  }
};

struct NoWait : LeaseRules
{
  static constexpr bool kWaitForLease = false;
};

/** Delivers calls and answers late, out of order, repeatedly or not at all.
    Returns whether the endpoint ever holds a lease after its dispatcher
    considers it expired. */
template<typename Rules>
bool
FindsLeaseAfterEnd(unsigned aSeed)
{
  std::mt19937 random(aSeed);
  TimePoint now{ std::chrono::seconds(100) };
  EndpointLease lease(
    1, { kLease, 0, Millis(200), kSuspect }, now + Millis(100));
  FakeEndpoint endpoint;
  std::vector<LeaseCall> calls;
  std::vector<std::pair<LeaseCall, LeaseAnswer>> answers;
  bool ended = false;
  for (int step = 0; step < 400; ++step) {
    now += Millis(support::Draw(random, 40));
    if (!ended) {
      if (const auto call = lease.NextCall(now)) {
        calls.push_back(*call);
      }
    }
    if (!calls.empty() && support::Draw(random, 3) == 0) {
      const auto place = support::Draw(random, calls.size());
      const auto call = calls[place];
      answers.emplace_back(call, endpoint.OnCall(now, call));
      if (support::Draw(random, 4) != 0) {
        calls.erase(calls.begin() + static_cast<std::ptrdiff_t>(place));
      }
    }
    if (!answers.empty() && support::Draw(random, 3) == 0) {
      lease.OnAnswer(now, answers.back().first, answers.back().second);
      answers.pop_back();
    } else if (!calls.empty() && support::Draw(random, 6) == 0) {
      lease.OnFailure(now, calls.back());
    }
    ended = ended || (lease.IsSuspect(now) && lease.HasExpired<Rules>(now));
    if (ended && endpoint.HoldsLease(now)) {
      return true;
    }
  }
  return false;
}

} // namespace

TEST_CASE("no lease lasts beyond the expiry that the dispatcher assumes",
          "[lease]")
{
  CHECK(rc::check("lease", [](unsigned aSeed) {
    RC_ASSERT_FALSE(FindsLeaseAfterEnd<LeaseRules>(aSeed));
  }));
}

TEST_CASE("without the wait for lease expiry a longer lease is found",
          "[lease]")
{
  bool found = false;
  for (unsigned seed = 0; seed < 200 && !found; ++seed) {
    found = FindsLeaseAfterEnd<NoWait>(seed);
  }
  CHECK(found);
}

TEST_CASE("an endpoint is usable only with an accepted grant", "[lease]")
{
  TimePoint now{ std::chrono::seconds(100) };
  EndpointLease lease(1, { kLease, 0, Millis(200), kSuspect }, now);
  FakeEndpoint endpoint;
  const auto probe = lease.NextCall(now);
  REQUIRE(probe);
  CHECK(probe->m_boot.empty());
  lease.OnAnswer(now, *probe, endpoint.OnCall(now, *probe));
  CHECK(lease.UsableUntil() == TimePoint{});
  const auto grant = lease.NextCall(now);
  REQUIRE(grant);
  CHECK(grant->m_withPartitions);
  lease.OnAnswer(now, *grant, endpoint.OnCall(now, *grant));
  CHECK(lease.UsableUntil() == now + kLease);
  CHECK(lease.HasAcceptedNewest());
  lease.ChangeGrant();
  CHECK_FALSE(lease.HasAcceptedNewest());
  CHECK(lease.UsableUntil() == now + kLease);
  endpoint.m_boot = "two";
  const auto next = lease.NextCall(now);
  REQUIRE(next);
  lease.OnAnswer(now, *next, endpoint.OnCall(now, *next));
  CHECK(lease.UsableUntil() == TimePoint{});
}
