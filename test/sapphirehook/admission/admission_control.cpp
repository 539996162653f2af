#include "sapphirehook/admission/admission_control.hpp"
#include "sapphirehook/admission/service_queue.hpp"
#include "sapphirehook/admission/wait_policy.hpp"

#include <catch2/catch.hpp>
#include <cmath>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

using namespace sapphirehook;

namespace {

constexpr TimePoint
At(int aMillis)
{
  return TimePoint(Millis(10'000 + aMillis));
}

const KindKey kLookup{ { 0, Millis(400) }, RequestKind::Idempotent };
const KindKey kDownload{ { 2, Millis(2000) }, RequestKind::Download };

Route
RouteOf(const KindKey& aKind)
{
  Route route;
  route.m_kind = aKind.m_type;
  route.m_priority = aKind.m_urgency.m_priority;
  route.m_objective = aKind.m_urgency.m_objective;
  route.m_targets = { { "s", 1 } };
  return route;
}

/** Lets requests of a kind arrive evenly for a second. */
void
Arrive(AdmissionControl& aControl,
       const KindKey& aKind,
       int aRequests,
       int aFromMillis = 0)
{
  aControl.OnAnswer("s", aKind, Millis(100));
  for (int i = 0; i < aRequests; ++i) {
    aControl.OnArrival(At(aFromMillis + i * 1000 / aRequests), "s", aKind);
  }
}

/** Returns the items that a walk visits, in order. The result of each visit is
    aStep. */
std::vector<int>
Walk(const ServiceQueue<int>& aQueue, WalkStep aStep)
{
  std::vector<int> visited;
  aQueue.Walk([&](int aItem) {
    visited.push_back(aItem);
    return aStep;
  });
  return visited;
}

} // namespace

// Guards against luck: with a random choice, a host with few requests may
// refuse several in a row.
TEST_CASE("a share is exact over any sequence of requests", "[admission]")
{
  rc::prop("admitted requests", [] {
    const double share = *rc::gen::inRange(0, 1001) / 1000.0;
    ShareCredit credit(*rc::gen::inRange(0, 1000) / 1000.0);
    int admitted = 0;
    for (int i = 1; i <= 200; ++i) {
      admitted += credit.Take(share) ? 1 : 0;
      RC_ASSERT(std::abs(admitted - share * i) <= 1.0 + 1e-6);
    }
  });
}

TEST_CASE("only services with kinds of different urgency are divided",
          "[admission]")
{
  AdmissionControl control(1);
  RoutingConfig config;
  config.m_routes = { RouteOf(kLookup) };
  config.m_routes.push_back(
    RouteOf({ kLookup.m_urgency, RequestKind::Upload }));
  control.SetRoutes(config);
  Arrive(control, kLookup, 500);
  CHECK_FALSE(control.IsDivided("s"));
  CHECK_FALSE(control.IsDue(At(1000), "s"));
  CHECK(control.Report(At(1000), true).empty());
  for (int i = 0; i < 20; ++i) {
    CHECK(control.Admits("s", kLookup));
  }
}

TEST_CASE("daemons divide the capacity by the demand of all of them",
          "[admission]")
{
  AdmissionControl control(1);
  RoutingConfig config;
  config.m_routes = { RouteOf(kLookup), RouteOf(kDownload) };
  control.SetRoutes(config);
  control.SetDaemons(2);
  Arrive(control, kLookup, 100);
  Arrive(control, kDownload, 100);
  const TimePoint now = At(1000);
  const auto shareOf = [&](const KindKey& aKind) {
    return control.FiguresOf("s", aKind).m_share;
  };
  // Capacity 20 slots, of which 17 are divided. Without reports, the other
  // daemon counts as this one: 40 slots are needed, 20 for each kind.
  SECTION("without reports of the others")
  {
    control.Divide(now, "s", { 20.0, 20.0 });
    CHECK(shareOf(kLookup) < 1.0);
    CHECK(shareOf(kDownload) < 0.3);
  }
  SECTION("with reports of an idle peer")
  {
    control.OnPeerUse(now, "peer", {});
    control.Divide(now, "s", { 20.0, 20.0 });
    CHECK(shareOf(kLookup) == 1.0);
    CHECK(shareOf(kDownload) == Approx(0.7).margin(0.05));
    // The report expires.
    Arrive(control, kLookup, 100, 1000);
    Arrive(control, kDownload, 100, 1000);
    control.Divide(now + Millis(1000), "s", { 20.0, 20.0 });
    CHECK(shareOf(kDownload) < 0.7);
  }
  SECTION("with the leader's totals, to which a later burst here is added")
  {
    const auto own = control.Report(now, true);
    control.OnFleetUse(now, own);
    control.Divide(now, "s", { 20.0, 20.0 });
    const double share = shareOf(kDownload);
    CHECK(share == Approx(0.7).margin(0.05));
    for (int i = 0; i < 100; ++i) {
      control.OnArrival(now, "s", kDownload);
    }
    control.Divide(now + Millis(100), "s", { 20.0, 20.0 });
    CHECK(shareOf(kDownload) < share / 1.5);
  }
}

// Guards against a download at the head of the queue that blocks lookups, and
// against callers that come back only to wait behind new ones.
TEST_CASE("a queue serves by urgency, and no request blocks others",
          "[admission]")
{
  ServiceQueue<int> queue;
  queue.Add({ 1, kDownload, At(2000), {} }, 1);
  queue.Add({ 2, kDownload, At(1500), {} }, 2); // came back
  queue.Add({ 3, kLookup, At(400), {} }, 3);
  queue.Add({ 4, kLookup, At(500), "endpoint" }, 4);
  CHECK(Walk(queue, WalkStep::Waits) == std::vector<int>{ 3, 4, 2, 1 });
  // A kind without capacity is asked for once, except for awaited endpoints.
  CHECK(Walk(queue, WalkStep::KindWaits) == std::vector<int>{ 3, 4, 2 });
  CHECK(queue.Ahead({ 5, kDownload, At(1600), {} }) == 3);
  CHECK(queue.Remove(2).m_kind == kDownload);
  CHECK(queue.Remove(2).m_id == 0);
  CHECK(queue.Size() == 3);
}

TEST_CASE("a caller that comes back is recognized by its remaining time",
          "[admission]")
{
  FirstAttemptTimes times;
  const Millis maxLeft(8000);
  CHECK(times.OnRequest(At(0), Millis(2000), maxLeft) == Millis(0));
  CHECK(times.OnRequest(At(100), Millis(1400), maxLeft) == Millis(600));
  // An implausible time is not taken as typical.
  CHECK(times.OnRequest(At(200), Millis(90'000), maxLeft) == Millis(0));
  CHECK(times.OnRequest(At(300), Millis(2000), maxLeft) == Millis(0));
  // The typical time is forgotten when callers change it.
  CHECK(times.OnRequest(At(30'000), Millis(500), maxLeft) == Millis(0));
}

TEST_CASE("a request waits only while its start is useful", "[admission]")
{
  WaitTerms terms{ At(0), At(400), At(3000), Millis(400), Millis(100) };
  CHECK(LatestStart(terms) == At(200)); // half of the objective
  terms.m_work = Millis(300);
  CHECK(LatestStart(terms) == At(100)); // ends with the objective
  terms.m_objectiveAt = At(-500);       // came back late
  CHECK(LatestStart(terms) == At(200));
  terms.m_deadline = At(450);
  CHECK(LatestStart(terms) == At(150));
}

// Guards against callers that all come back at once, and against delays that
// use up the time that a caller has.
TEST_CASE("Retry-After values are spread within a third of the time left",
          "[admission]")
{
  rc::prop("bounds", [] {
    const auto id = *rc::gen::arbitrary<std::string>();
    const Millis left(*rc::gen::inRange(-100, 10'000));
    const Millis earliest(*rc::gen::inRange(0, 5000));
    const auto after = RetryAfter(id, earliest, Millis(600), left);
    RC_ASSERT(after >= Millis(120));
    RC_ASSERT(after <= std::max(Millis(120), left / 3));
  });
  int early = 0;
  for (int i = 0; i < 1000; ++i) {
    const auto after =
      RetryAfter(std::to_string(i), {}, Millis(600), Millis(9000));
    early += after < Millis(420) ? 1 : 0;
  }
  CHECK(early == Approx(500).margin(60));
}

TEST_CASE("less urgent requests leave a third of an endpoint's slots",
          "[admission]")
{
  const SlotReserve onlyLimited{ true, 1.0 };
  CHECK(onlyLimited.Allows(1, 3));
  CHECK_FALSE(onlyLimited.Allows(2, 3));
  // With urgent requests among those that run, a limited one may have the last
  // free slot, but never queues.
  const SlotReserve mixed{ true, 0.5 };
  CHECK(mixed.Allows(2, 3));
  CHECK_FALSE(mixed.Allows(3, 3));
  CHECK(SlotReserve{}.Allows(9, 3));
}
