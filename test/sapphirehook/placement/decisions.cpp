#include "sapphirehook/placement/retry_policy.hpp"
#include "sapphirehook/placement/service_retry_budget.hpp"

#include "support/generate.hpp"

#include <catch2/catch.hpp>
#include <vector>

using namespace sapphirehook;

namespace {

constexpr TimePoint
At(int aMillis)
{
  return TimePoint(Millis(aMillis));
}

AttemptState
State(RequestKind aKind)
{
  AttemptState state;
  state.m_kind = aKind;
  state.m_sends = 1;
  state.m_maxSends = 2;
  state.m_timeLeft = Millis(500);
  return state;
}

} // namespace

TEST_CASE("a request that may have run is repeated only if idempotent",
          "[placement]")
{
  for (const auto kind : { RequestKind::Idempotent,
                           RequestKind::NeverRepeat,
                           RequestKind::Upload }) {
    for (const auto end : { AttemptEnd::Failed,
                            AttemptEnd::NotRun,
                            AttemptEnd::Misdirected,
                            AttemptEnd::NotSent,
                            AttemptEnd::Lost }) {
      for (const bool mayHaveRun : { false, true }) {
        for (const unsigned sends : { 1U, 2U }) {
          auto state = State(kind);
          state.m_mayHaveRun =
            mayHaveRun || end == AttemptEnd::Lost || end == AttemptEnd::Failed;
          state.m_sends = sends;
          const auto step = AfterAttempt(state, end);
          const bool again =
            step == NextStep::SendAgain || step == NextStep::SendAgainOnBudget;
          if (state.m_mayHaveRun && kind != RequestKind::Idempotent) {
            CHECK_FALSE(again);
          }
          if (state.m_mayHaveRun) {
            CHECK(step != NextStep::RefuseNotRun);
          }
          if (sends >= state.m_maxSends && end != AttemptEnd::NotSent) {
            CHECK_FALSE(again);
          }
        }
      }
    }
  }
}

TEST_CASE("a request is not sent again after its answer has begun",
          "[placement]")
{
  auto state = State(RequestKind::Idempotent);
  state.m_answering = true;
  CHECK(AfterAttempt(state, AttemptEnd::Lost) == NextStep::PassOn);
}

TEST_CASE("a request without its body is not sent again", "[placement]")
{
  auto state = State(RequestKind::Upload);
  state.m_hasBody = false;
  CHECK(AfterAttempt(state, AttemptEnd::NotRun) == NextStep::RefuseNotRun);
}

TEST_CASE("repeats of all daemons stay within the budget in any window",
          "[placement]")
{
  constexpr int kDaemons = 8;
  std::mt19937 random(9);
  BudgetConfig config;
  config.m_slack = 56.0;
  std::vector<ServiceRetryBudget> budgets(kDaemons, ServiceRetryBudget(config));
  for (auto& budget : budgets) {
    budget.SetDaemons(kDaemons);
  }
  std::vector<int> requests;
  std::vector<int> repeats;
  for (int now = 0; now < 40'000; now += 5) {
    // A load peak during which every request fails and is to be repeated.
    const bool isPeak = now > 10'000 && now < 20'000;
    if (support::Draw(random, isPeak ? 2 : 10) == 0) {
      auto& budget = budgets.at(support::Draw(random, kDaemons));
      budget.OnRequest(At(now));
      requests.push_back(now);
      while (isPeak && budget.TryTake(At(now))) {
        repeats.push_back(now);
      }
    }
  }
  const auto within = [](const std::vector<int>& aTimes, int aBegin) {
    return static_cast<double>(
      std::count_if(aTimes.begin(), aTimes.end(), [&](int aTime) {
        return aTime >= aBegin && aTime < aBegin + 10'000;
      }));
  };
  CHECK(repeats.size() > 50);
  for (int begin = 0; begin < 30'000; begin += 50) {
    const double before = within(requests, begin - 5000);
    const double highest = std::max(
      { within(requests, begin), within(requests, begin - 10'000), before });
    REQUIRE(within(repeats, begin) <=
            config.m_ratio * highest + config.m_slack);
  }
}

TEST_CASE(
  "the service time of an endpoint is estimated also while requests queue",
  "[placement][crest]")
{
  std::mt19937 random(1);
  EndpointLoad load(6);
  int now = 0;
  // The endpoint always has twelve requests for its six slots, so that each
  // takes two service times of 100 ms.
  for (int i = 0; i < 12; ++i) {
    static_cast<void>(load.OnSent(At(now)));
  }
  for (int i = 0; i < 200; ++i) {
    now += 16;
    load.OnEnd(At(now), AttemptEnd::Abandoned, Millis(0), 1.0);
    const double turns = load.OnSent(At(now));
    load.OnEnd(At(now), AttemptEnd::Answered, Millis(200), turns);
    static_cast<void>(load.OnSent(At(now)));
  }
  CHECK(load.ServiceTime() > Millis(85));
  CHECK(load.ServiceTime() < Millis(115));
}

TEST_CASE("one fast answer gives no service time estimate", "[placement]")
{
  EndpointLoad load(6);
  const double turns = load.OnSent(At(0));
  load.OnEnd(At(3), AttemptEnd::Answered, Millis(3), turns);
  CHECK(load.ServiceTime() == std::chrono::nanoseconds(0));
}

TEST_CASE("peers' requests count while their reports are recent", "[placement]")
{
  EndpointLoad load(6);
  load.OnPeer(At(0), "p", { 7, 0 });
  CHECK(load.Running(At(100)) == 7);
  CHECK(load.HasCapacity(At(100)));
  load.OnPeer(At(100), "q", { 1, 0 });
  CHECK_FALSE(load.HasCapacity(At(100)));
  CHECK(load.Running(At(5000)) == 0);
}

TEST_CASE("the expected wait grows with the requests waiting at all daemons",
          "[placement][crest]")
{
  EndpointLoad load(6);
  CHECK(load.ExpectedWait(At(0), Millis(60)) == Millis(0));
  load.OnWaitBegins();
  load.OnPeer(At(0), "p", { 8, 0, 5 });
  CHECK(load.ExpectedWait(At(10), Millis(60)) == Millis(60));
  load.OnWaitEnds();
  CHECK(load.ExpectedWait(At(10), Millis(60)) == Millis(50));
  CHECK(load.ExpectedWait(At(5000), Millis(60)) == Millis(0));
}
