#include "sapphirehook/placement/download_limit.hpp"
#include "sapphirehook/placement/endpoint_load.hpp"
#include "sapphirehook/placement/kind_work.hpp"

#include <catch2/catch.hpp>

using namespace sapphirehook;

namespace {

constexpr TimePoint
At(int aMillis)
{
  return TimePoint(Millis(aMillis));
}

constexpr KindKey kLookup{ { 0, Millis(400) }, RequestKind::Idempotent };
constexpr KindKey kReport{ { 2, Millis(2000) }, RequestKind::Idempotent };

} // namespace

TEST_CASE("an endpoint's stated load takes precedence while it is newer than "
          "the peers' reports",
          "[placement][reported]")
{
  EndpointLoad load(6);
  load.OnPeer(At(1000), "p", { 1, 0 });
  load.OnSent(At(1000));
  load.OnSent(At(1010));
  // The answered request is not among the five; the other own one is.
  load.OnReported(At(1100), 5, std::nullopt);
  load.OnEnd(At(1100), AttemptEnd::Answered, Millis(100), 1.0);
  CHECK(load.Running(At(1100)) == 5);
  load.OnSent(At(1150)); // own requests are known exactly
  CHECK(load.Running(At(1200)) == 6);
  CHECK_FALSE(load.HasFreeSlot(At(1200)));
  CHECK(load.Running(At(1450)) == 3);
  // The totals that daemons exchange are not affected.
  CHECK(load.AllUse(At(1200)).m_running == 3);
}

TEST_CASE("an endpoint's pace scales the expected time only while it is fresh",
          "[placement][reported]")
{
  EndpointLoad load(6);
  load.OnReported(At(1000), 0, 300);
  CHECK(load.ExpectedFinish(At(1100), Millis(100), 1.0) == Millis(300));
  CHECK(load.ExpectedFinish(At(1400), Millis(100), 1.0) == Millis(100));
}

TEST_CASE("an endpoint that does not answer counts as full and not as slow",
          "[placement][unresponsive]")
{
  EndpointLoad load(6);
  for (int i = 0; i < 10; ++i) {
    const double slowdown = load.OnSent(At(1000));
    load.OnEnd(At(1100), AttemptEnd::Answered, Millis(100), slowdown);
  }
  const double slowdown = load.OnSent(At(2000));
  load.OnEnd(At(3000), AttemptEnd::Unresponsive, Millis(1000), slowdown);
  CHECK(load.ServiceTime() == Millis(100));
  CHECK_FALSE(load.HasCapacity(At(3200)));
  CHECK(load.HasCapacity(At(3300)));
  CHECK_FALSE(load.IsEjected(At(3000)));
}

TEST_CASE("a mix of kinds does not make an endpoint look slow",
          "[placement][speed]")
{
  // One endpoint gets lookups of 50 ms, the other reports of 150 ms. Both have
  // the same speed.
  KindWork work;
  EndpointLoad lookups(6);
  EndpointLoad reports(6);
  int now = 1000;
  const auto run = [&](EndpointLoad& aLoad, const KindKey& aKind, int aMs) {
    const double slowdown = aLoad.OnSent(At(now), work.Relative(aKind));
    aLoad.OnEnd(At(now + aMs), AttemptEnd::Answered, Millis(aMs), slowdown);
    work.OnAnswer(aKind, Millis(aMs));
    now += 200;
  };
  for (int i = 0; i < 800; ++i) {
    run(lookups, kLookup, 50);
    run(reports, kReport, 150);
  }
  CHECK(work.Relative(kReport) == Approx(1.5).epsilon(0.02));
  CHECK(work.Relative(kLookup) == Approx(0.5).epsilon(0.02));
  const auto ratio = static_cast<double>(reports.ServiceTime().count()) /
                     static_cast<double>(lookups.ServiceTime().count());
  CHECK(ratio == Approx(1.0).epsilon(0.05));
  // Reports are expected to take three times as long as lookups.
  const auto expected = [&](const KindKey& aKind) {
    return lookups.ExpectedFinish(
      At(now), Millis(100), 1.0, work.Relative(aKind));
  };
  CHECK(expected(kReport) > 2.8 * expected(kLookup));
}

TEST_CASE("the work of a kind with few answers is the service's mean",
          "[placement][speed]")
{
  KindWork work;
  CHECK(work.Relative(kLookup) == 1.0);
  for (int i = 0; i < 100; ++i) {
    work.OnAnswer(kLookup, Millis(50));
  }
  work.OnAnswer(kReport, Millis(700));
  CHECK(work.Relative(kReport) == 1.0);
}

TEST_CASE("downloads in progress are limited by the host's link",
          "[placement][download]")
{
  DownloadLimit limit(10.0);
  // 1.25 MB/s for 2 s carry 27 answers of 90 KB.
  CHECK(limit.Limit("r", Millis(2000)) == 27);
  for (int i = 0; i < 200; ++i) {
    limit.OnAnswer("r", 250'000);
  }
  CHECK(limit.Limit("r", Millis(2000)) == 10);
  CHECK(limit.Limit("r", Millis(20)) == 2);
  for (int i = 0; i < 10; ++i) {
    CHECK(limit.HasCapacity("r", Millis(2000)));
    limit.OnBegin();
  }
  CHECK_FALSE(limit.HasCapacity("r", Millis(2000)));
  limit.OnEnd();
  CHECK(limit.HasCapacity("r", Millis(2000)));
  CHECK(DownloadLimit(0.0).HasCapacity("r", Millis(1)));
}
