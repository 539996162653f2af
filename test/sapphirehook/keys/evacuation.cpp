#include "sapphirehook/keys/range_manager.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <memory>

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

bool
IsInZone(const std::string& aEndpoint)
{
  return std::stoul(aEndpoint.substr(1)) < kInZone;
}

/** A leader whose commands and appends take as long as on a real host. */
class Leader
{
public:
  Leader() { Restart(At(Millis(0)), 1); }

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
    m_calls.clear();
    m_storedAt = TimePoint::max();
  }

  void SetEvacuation(std::optional<TimePoint> aBy) { m_evacuateBy = aBy; }

  void Run(TimePoint aNow)
  {
    std::erase_if(m_calls, [&](const Call& aCall) {
      if (aNow >= aCall.m_endsAt) {
        if (aCall.m_isGrant) {
          m_manager->OnGrantEnd(aNow, aCall.m_id, { CommandOutcome::Done, "" });
        } else {
          m_manager->OnReleaseEnd(
            aNow, aCall.m_id, { CommandOutcome::Done, "h" });
        }
      }
      return aNow >= aCall.m_endsAt;
    });
    if (aNow >= m_storedAt) {
      m_storedAt = TimePoint::max();
      m_manager->OnStored(aNow);
    }
    if (m_storedAt == TimePoint::max() && m_manager->HasToStore()) {
      for (auto& block : m_manager->BeginStore()) {
        m_stored[block.m_block] = block.m_assignments;
      }
      m_storedAt = aNow + Millis(70);
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
      m_calls.push_back({ aNow + Millis(20), grant.m_id, true });
    }
    for (const auto& release : actions.m_releases) {
      m_calls.push_back({ aNow + Millis(250), release.m_id, false });
    }
  }

  [[nodiscard]] std::size_t LeftInZone() const
  {
    const auto routes = m_manager->Routes();
    return static_cast<std::size_t>(
      std::count_if(routes.begin(), routes.end(), [](const RangeRoute& aRoute) {
        return !aRoute.m_endpoint.empty() && IsInZone(aRoute.m_endpoint);
      }));
  }

  [[nodiscard]] std::size_t WithoutHolder() const
  {
    const auto routes = m_manager->Routes();
    return static_cast<std::size_t>(
      std::count_if(routes.begin(), routes.end(), [](const RangeRoute& aRoute) {
        return !aRoute.m_ready;
      }));
  }

  [[nodiscard]] const RangeManager& Manager() const { return *m_manager; }
  [[nodiscard]] std::size_t Handovers() const { return m_handovers; }

private:
  struct Call
  {
    TimePoint m_endsAt{};
    std::uint64_t m_id = 0;
    bool m_isGrant = false;
  };

  [[nodiscard]] std::vector<RangeManagerEndpoint> Endpoints() const
  {
    std::vector<RangeManagerEndpoint> endpoints;
    for (std::size_t i = 0; i < kEndpoints; ++i) {
      RangeManagerEndpoint endpoint;
      endpoint.m_incarnation = { "e" + std::to_string(i), 1 };
      endpoint.m_evacuateBy = i < kInZone ? m_evacuateBy : std::nullopt;
      endpoint.m_usable = !endpoint.m_evacuateBy;
      endpoints.push_back(endpoint);
    }
    return endpoints;
  }

  std::unique_ptr<RangeManager> m_manager;
  std::map<unsigned, std::vector<RangeAssignment>> m_stored;
  std::deque<Call> m_calls;
  TimePoint m_storedAt = TimePoint::max();
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
  Millis now{ 0 };
  for (; now < Millis(12'000); now += kStep) {
    leader.Run(At(now));
  }
  REQUIRE(leader.WithoutHolder() == 0);
  const auto before = leader.LeftInZone();
  REQUIRE(before > kInZone);
  const Millis end = now + Millis(4000);
  leader.SetEvacuation(At(end));
  std::size_t mostWithout = 0;
  std::size_t toMove = 0;
  Millis emptyAt{ 0 };
  const auto run = [&](Millis aUntil) {
    for (; now < aUntil; now += kStep) {
      leader.Run(At(now));
      toMove = std::max(toMove, leader.Manager().RangesToEvacuate());
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
    CHECK(leader.Handovers() >= toMove);
    CHECK(leader.Manager().RangesToEvacuate() == 0);
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
    leader.SetEvacuation(std::nullopt);
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
