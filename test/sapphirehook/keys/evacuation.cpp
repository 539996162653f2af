#include "sapphirehook/keys/range_manager.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <utility>

using namespace sapphirehook;

namespace {

constexpr std::size_t kEndpoints = 15;
constexpr std::size_t kInZone = 5;
constexpr Millis kStep{ 10 };

constexpr TimePoint
At(Millis aTime)
{
  return TimePoint(std::chrono::seconds(100) + aTime);
}

/** A leader whose commands and appends take as long as on a real host. */
struct Leader
{
  /** Begins a term with the stored assignments. */
  void Restart(TimePoint aNow, Fence aFence)
  {
    m_manager = std::make_unique<RangeManager>(
      RangeManagerTimes{}, aFence, aNow + Millis(4000));
    for (const auto& [block, assignments] : m_stored) {
      for (const auto& assignment : assignments) {
        m_manager->Load(assignment, aNow + Millis(1500));
      }
    }
    m_manager->CoverAll(90);
    m_due.clear();
    m_storing = false;
  }

  void Run(TimePoint aNow)
  {
    while (!m_due.empty() && m_due.begin()->first <= aNow) {
      m_due.extract(m_due.begin()).mapped()();
    }
    if (m_manager->HasToStore() && !std::exchange(m_storing, true)) {
      for (auto& block : m_manager->BeginStore()) {
        m_stored[block.m_block] = block.m_assignments;
      }
      m_due.emplace(aNow + Millis(70), [this, aNow] {
        m_storing = false;
        m_manager->OnStored(aNow + Millis(70));
      });
    }
    const bool all = SinceBoot(aNow).count() % 100 == 0;
    if (all) {
      m_manager->SetConfirmedAt(aNow);
      m_manager->SetEndpoints(Endpoints());
    }
    const auto actions =
      all ? m_manager->Tick(aNow) : m_manager->TickChanged(aNow);
    for (const auto& grant : actions.m_grants) {
      m_handovers += grant.m_command.m_handover == "h" ? 1 : 0;
      const TimePoint ends = aNow + Millis(20);
      m_due.emplace(ends, [this, ends, id = grant.m_id] {
        m_manager->OnGrantEnd(ends, id, { CommandOutcome::Done, "" });
      });
    }
    for (const auto& release : actions.m_releases) {
      const TimePoint ends = aNow + Millis(250);
      m_due.emplace(ends, [this, ends, id = release.m_id] {
        m_manager->OnReleaseEnd(ends, id, { CommandOutcome::Done, "h" });
      });
    }
  }

  template<typename Condition>
  [[nodiscard]] std::size_t Count(Condition aCondition) const
  {
    const auto routes = m_manager->Routes();
    return static_cast<std::size_t>(
      std::count_if(routes.begin(), routes.end(), aCondition));
  }
  [[nodiscard]] std::size_t LeftInZone() const
  {
    return Count([](const RangeRoute& aRoute) {
      return !aRoute.m_endpoint.empty() &&
             std::stoul(aRoute.m_endpoint.substr(1)) < kInZone;
    });
  }
  [[nodiscard]] std::size_t WithoutHolder() const
  {
    return Count([](const RangeRoute& aRoute) { return !aRoute.m_ready; });
  }

  [[nodiscard]] std::vector<RangeManagerEndpoint> Endpoints() const
  {
    std::vector<RangeManagerEndpoint> endpoints(kEndpoints);
    for (std::size_t i = 0; i < kEndpoints; ++i) {
      endpoints[i].m_incarnation = { "e" + std::to_string(i), 1 };
      endpoints[i].m_evacuateBy = i < kInZone ? m_evacuateBy : std::nullopt;
      endpoints[i].m_usable = !endpoints[i].m_evacuateBy;
    }
    return endpoints;
  }

  std::unique_ptr<RangeManager> m_manager;
  std::map<unsigned, std::vector<RangeAssignment>> m_stored;
  std::multimap<TimePoint, std::function<void()>> m_due;
  bool m_storing = false;
  std::optional<TimePoint> m_evacuateBy;
  std::size_t m_handovers = 0;
};

} // namespace

// Guards against an evacuation that takes all keys of a zone from their holders
// at once, or that does not end in time.
TEST_CASE("the ranges of an evacuated zone move a few at a time and in time",
          "[keys][evacuation]")
{
  Leader leader;
  leader.Restart(At(Millis(0)), 1);
  Millis now{ 0 };
  for (; now < Millis(12'000); now += kStep) {
    leader.Run(At(now));
  }
  REQUIRE(leader.WithoutHolder() == 0);
  const auto before = leader.LeftInZone();
  REQUIRE(before > kInZone);
  const Millis end = now + Millis(4000);
  leader.m_evacuateBy = At(end);
  std::size_t mostWithout = 0;
  std::size_t toMove = 0;
  Millis emptyAt{ 0 };
  const auto run = [&](Millis aUntil) {
    for (; now < aUntil; now += kStep) {
      leader.Run(At(now));
      toMove = std::max(toMove, leader.m_manager->RangesToEvacuate());
      mostWithout = std::max(mostWithout, leader.WithoutHolder());
      if (leader.LeftInZone() > 0 || leader.WithoutHolder() > 0) {
        emptyAt = now;
      }
    }
  };
  SECTION("by one leader")
  {
    run(end);
    INFO("ranges " << toMove << ", at a time " << mostWithout << ", took "
                   << (emptyAt - end).count() + 4000);
    CHECK(emptyAt < end);
    CHECK(mostWithout <= std::max<std::size_t>(toMove / 3, 6));
    CHECK(leader.m_handovers >= toMove);
    CHECK(leader.m_manager->RangesToEvacuate() == 0);
  }
  SECTION("by two leaders, the second from the middle on")
  {
    run(now + Millis(1500));
    CHECK(leader.LeftInZone() > 0);
    leader.Restart(At(now), 1'000'000);
    run(end);
    CHECK(leader.LeftInZone() == 0);
    CHECK(emptyAt < end);
  }
  SECTION("not further when the zone returns midway")
  {
    run(now + Millis(1500));
    leader.m_evacuateBy.reset();
    run(now + Millis(1500));
    CHECK(leader.WithoutHolder() == 0);
    CHECK(leader.LeftInZone() > 0);
  }
}

// Guards against keys that lose their holder since no endpoint can take them.
TEST_CASE("without another endpoint an evacuated one keeps its leases",
          "[keys][evacuation]")
{
  RangeManager manager(RangeManagerTimes{}, 1, At(Millis(0)));
  manager.Load({ { 0, kKeyCount - 1 }, { "e0", 1 }, 1 }, At(Millis(1500)));
  manager.SetConfirmedAt(At(Millis(0)));
  RangeManagerEndpoint only;
  only.m_incarnation = { "e0", 1 };
  only.m_evacuateBy = At(Millis(4000));
  manager.SetEndpoints({ only });
  std::size_t grants = 0;
  for (Millis now{ 0 }; now < Millis(8000); now += Millis(100)) {
    for (const auto& grant : manager.Tick(At(now)).m_grants) {
      ++grants;
      manager.OnGrantEnd(At(now), grant.m_id, { CommandOutcome::Done, "" });
    }
    const auto routes = manager.Routes();
    CHECK(std::all_of(routes.begin(),
                      routes.end(),
                      [](const RangeRoute& aRoute) { return aRoute.m_ready; }));
  }
  CHECK(grants > 3);
}
