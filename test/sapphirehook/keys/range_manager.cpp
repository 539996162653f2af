#include "sapphirehook/keys/range_manager_impl.hpp"

#include "sapphirehook/core/text.hpp"
#include "support/generate.hpp"

#include <array>
#include <catch2/catch.hpp>
#include <deque>

using namespace sapphirehook;

namespace {

constexpr std::size_t kCells = 64;
constexpr std::uint32_t kCellKeys = kKeyCount / kCells;
constexpr Millis kAuthority{ 3000 };

constexpr TimePoint
At(Millis aTime)
{
  return TimePoint(aTime);
}

/** An endpoint that follows the protocol for grants and releases: it rejects a
    fence below the highest it has received, a lease starts when the command
    arrives, and the clock may be 2% slow. */
struct FakeEndpoint
{
  struct Cell
  {
    Fence m_highestFence = 0;
    TimePoint m_leaseExpiry{};
  };

  EndpointIncarnation m_incarnation;
  double m_slowness = 1.0;
  std::array<Cell, kCells> m_cells;
};

struct SentCommand
{
  int m_leaderTerm = 0;
  bool m_isGrant = false;
  std::uint64_t m_id = 0;
  std::string m_endpoint;
  std::int64_t m_incarnation = 0;
  GrantCommand m_grant;
  TimePoint m_arrivesAt{};
  TimePoint m_appliesAt{};
  bool m_answered = true;
};

/** Simulates successive leaders, four endpoints that crash and restart, lost,
    delayed or late commands, and ranges that move at random. A replaced leader
    continues until its authority ends. The key space is divided into cells of
    equal size. Reports a violation when a cell has two holders, or when its
    fence does not increase from one holder to the next. */
template<typename Rules>
class Simulation
{
public:
  explicit Simulation(unsigned aSeed)
    : m_random(aSeed)
  {
    for (int i = 0; i < 4; ++i) {
      FakeEndpoint endpoint;
      endpoint.m_incarnation = { "e" + std::to_string(i), 1 };
      endpoint.m_slowness = 1.0 + 0.02 * static_cast<double>(Draw(2));
      m_endpoints.push_back(endpoint);
      m_listed.push_back(endpoint.m_incarnation);
    }
    BeginTerm(TimePoint{});
  }

  /** Runs up to the given time and returns the first violation, if any. */
  std::string Run(Millis aTime)
  {
    while (m_now < At(aTime) && m_violation.empty()) {
      m_now += Millis(5 + static_cast<int>(Draw(25)));
      Step();
    }
    return m_violation;
  }

  [[nodiscard]] unsigned Moves() const { return m_moves; }
  [[nodiscard]] unsigned HeldCellSteps() const { return m_heldCellSteps; }

private:
  using Manager = BasicRangeManager<Rules>;

  std::uint64_t Draw(std::uint64_t aLimit)
  {
    return support::Draw(m_random, aLimit);
  }

  void BeginTerm(TimePoint aPreviousGrantsExpiry)
  {
    ++m_term;
    auto manager =
      std::make_unique<Manager>(RangeManagerTimes{},
                                (static_cast<Fence>(m_term) << 20U) + 1,
                                aPreviousGrantsExpiry);
    for (const auto& [block, assignments] : m_stored) {
      for (const auto& assignment : assignments) {
        manager->Load(assignment, m_now + Millis(1500));
      }
    }
    manager->CoverAll(16);
    m_previous = std::move(m_manager);
    m_previousUntil = m_now + kAuthority;
    m_manager = std::move(manager);
    m_storing = false;
    m_connections[1] = std::exchange(m_connections[0], {});
  }

  FakeEndpoint& Endpoint(const std::string& aName)
  {
    return m_endpoints.at(static_cast<std::size_t>(aName.back() - '0'));
  }

  std::vector<RangeManagerEndpoint> View()
  {
    std::vector<RangeManagerEndpoint> view;
    for (const auto& incarnation : m_listed) {
      view.push_back({ incarnation, true, Draw(30) == 0, false, 1.0 });
    }
    return view;
  }

  /** Sends a command over the leader's connection to the endpoint. If the
      endpoint restarted since the last command, reports a new connection to the
      manager and answers that the command was not sent. */
  void Send(int aLeader, Manager& aManager, SentCommand aCommand)
  {
    auto& incarnation =
      m_connections.at(static_cast<std::size_t>(aLeader))[aCommand.m_endpoint];
    const auto actual = Endpoint(aCommand.m_endpoint).m_incarnation.m_startedAt;
    if (incarnation != actual || m_reconnected.contains(aCommand.m_endpoint)) {
      const bool known = incarnation != 0;
      incarnation = actual;
      if (known) {
        m_reconnected.insert(aCommand.m_endpoint);
        aManager.OnNewConnection(m_now, aCommand.m_endpoint);
        Answer(aManager, aCommand, { CommandOutcome::NotSent, "" });
        return;
      }
    }
    aCommand.m_leaderTerm = aLeader;
    aCommand.m_incarnation = actual;
    aCommand.m_arrivesAt = m_now + Millis(1 + static_cast<int>(Draw(20)));
    aCommand.m_appliesAt = aCommand.m_arrivesAt;
    if (Draw(5) == 0) {
      aCommand.m_answered = false;
      aCommand.m_appliesAt += Millis(static_cast<int>(Draw(6000)));
    }
    m_commands.push_back(aCommand);
  }

  void Answer(Manager& aManager,
              const SentCommand& aCommand,
              const CommandResult& aAnswer)
  {
    if (aCommand.m_isGrant) {
      aManager.OnGrantEnd(m_now, aCommand.m_id, aAnswer);
    } else {
      aManager.OnReleaseEnd(m_now, aCommand.m_id, aAnswer);
    }
  }

  Manager* LeaderOf(const SentCommand& aCommand)
  {
    return aCommand.m_leaderTerm == m_term       ? m_manager.get()
           : aCommand.m_leaderTerm + 1 == m_term ? m_previous.get()
                                                 : nullptr;
  }

  void TickLeader(int aTerm, Manager& aManager)
  {
    const int connectionSet = aTerm == m_term ? 0 : 1;
    const bool fullTick = Draw(3) == 0;
    if (fullTick) {
      aManager.SetEndpoints(View());
    }
    const auto actions =
      fullTick ? aManager.Tick(m_now) : aManager.TickChanged(m_now);
    m_reconnected.clear();
    for (const auto& grant : actions.m_grants) {
      SentCommand command{
        aTerm, true, grant.m_id, grant.m_endpoint, 0, grant.m_command,
        {},    {},   true
      };
      SendFor(connectionSet, aTerm, aManager, command);
    }
    for (const auto& release : actions.m_releases) {
      GrantCommand content;
      content.m_range = release.m_command.m_range;
      content.m_fence = release.m_command.m_fence;
      SentCommand command{ aTerm, false,   release.m_id, release.m_endpoint,
                           0,     content, {},           {},
                           true };
      SendFor(connectionSet, aTerm, aManager, command);
    }
  }

  void SendFor(int aConnectionSet,
               int aTerm,
               Manager& aManager,
               const SentCommand& aCommand)
  {
    const auto before = m_commands.size();
    Send(aConnectionSet, aManager, aCommand);
    if (m_commands.size() > before) {
      m_commands.back().m_leaderTerm = aTerm;
    }
  }

  void Step()
  {
    Deliver();
    // The store confirms the newest leader's term at every step.
    m_manager->SetConfirmedAt(m_now - Millis(50));
    TickLeader(m_term, *m_manager);
    if (m_previous && m_now < m_previousUntil) {
      TickLeader(m_term - 1, *m_previous);
    }
    Store();
    InjectFaults();
    Check();
  }

  void Deliver()
  {
    std::deque<SentCommand> due;
    std::erase_if(m_commands, [&](const SentCommand& aCommand) {
      const bool isDue = aCommand.m_appliesAt <= m_now;
      if (isDue) {
        due.push_back(aCommand);
      }
      return isDue;
    });
    for (const auto& command : due) {
      auto answer = Apply(command);
      auto* manager = LeaderOf(command);
      if (command.m_answered && manager != nullptr) {
        Answer(*manager, command, answer);
      }
    }
    // The leader's calls time out after 300 ms.
    for (auto& command : m_commands) {
      auto* manager = LeaderOf(command);
      if (!command.m_answered && manager != nullptr &&
          m_now >= command.m_arrivesAt + Millis(300)) {
        Answer(*manager, command, { CommandOutcome::NoAnswer, "" });
        command.m_leaderTerm = 0;
      }
    }
    for (const auto& command : due) {
      auto* manager = LeaderOf(command);
      if (!command.m_answered && manager != nullptr) {
        Answer(*manager, command, { CommandOutcome::NoAnswer, "" });
      }
    }
  }

  CommandResult Apply(const SentCommand& aCommand)
  {
    auto& endpoint = Endpoint(aCommand.m_endpoint);
    if (endpoint.m_incarnation.m_startedAt != aCommand.m_incarnation) {
      return { CommandOutcome::NoAnswer, "" };
    }
    const auto& range = aCommand.m_grant.m_range;
    const std::size_t first = range.m_first / kCellKeys;
    const std::size_t last = range.m_last / kCellKeys;
    const Fence fence = aCommand.m_grant.m_fence;
    if (aCommand.m_isGrant) {
      for (auto cell = first; cell <= last; ++cell) {
        if (endpoint.m_cells.at(cell).m_highestFence > fence) {
          return { CommandOutcome::Fenced, "" };
        }
      }
    }
    for (auto cell = first; cell <= last; ++cell) {
      auto& one = endpoint.m_cells.at(cell);
      if (!aCommand.m_isGrant) {
        // A release ends leases up to its fence and does not raise the highest
        // fence.
        one.m_leaseExpiry =
          one.m_highestFence <= fence ? TimePoint{} : one.m_leaseExpiry;
        continue;
      }
      const auto leaseDuration =
        std::chrono::duration_cast<std::chrono::nanoseconds>(
          aCommand.m_grant.m_leaseDuration * endpoint.m_slowness);
      one.m_highestFence = fence;
      one.m_leaseExpiry =
        std::max(one.m_leaseExpiry, aCommand.m_arrivesAt + leaseDuration);
      CheckFence(cell, endpoint.m_incarnation, fence);
    }
    return { CommandOutcome::Done, "handover" };
  }

  void CheckFence(std::size_t aCell,
                  const EndpointIncarnation& aIncarnation,
                  Fence aFence)
  {
    auto& fences = m_fences.at(aCell);
    for (const auto& [incarnation, fence] : fences) {
      const auto& endpoint = Endpoint(aIncarnation.m_name);
      const bool holds = endpoint.m_cells.at(aCell).m_leaseExpiry > m_now;
      if (incarnation != aIncarnation && fence >= aFence && holds) {
        m_violation = Concat("fence ",
                             aFence >> 20U,
                             ".",
                             aFence & 0xFFFFFU,
                             " of ",
                             aIncarnation.m_name,
                             "#",
                             aIncarnation.m_startedAt,
                             " is not above ",
                             fence >> 20U,
                             ".",
                             fence & 0xFFFFFU,
                             " of ",
                             incarnation.m_name,
                             "#",
                             incarnation.m_startedAt,
                             " for cell ",
                             aCell,
                             " at ",
                             SinceBoot(m_now).count());
      }
    }
    auto& own = fences[aIncarnation];
    own = std::max(own, aFence);
  }

  void Store()
  {
    if (m_storing && m_now >= m_storeEnds) {
      m_storing = false;
      m_manager->OnStored(m_now);
      ++m_moves;
    }
    if (!m_storing && m_manager->HasToStore()) {
      for (auto& block : m_manager->BeginStore()) {
        m_stored[block.m_block] = block.m_assignments;
      }
      m_storing = true;
      m_storeEnds = m_now + Millis(4 + static_cast<int>(Draw(60)));
    }
  }

  void InjectFaults()
  {
    if (Draw(40) == 0) {
      const auto first = static_cast<std::uint32_t>(Draw(kCells)) * kCellKeys;
      const auto cells = 1 + static_cast<std::uint32_t>(Draw(6));
      const auto last = std::min(first + cells * kCellKeys, kKeyCount) - 1;
      m_manager->Move(m_now,
                      { static_cast<Key>(first), static_cast<Key>(last) },
                      "e" + std::to_string(Draw(4)));
    }
    if (Draw(300) == 0) {
      auto& endpoint = m_endpoints.at(Draw(4));
      ++endpoint.m_incarnation.m_startedAt;
      endpoint.m_cells = {};
    }
    // The list of endpoints is updated with a delay.
    if (Draw(60) == 0) {
      const auto which = Draw(4);
      m_listed.at(which) = m_endpoints.at(which).m_incarnation;
    }
    if (Draw(500) == 0) {
      BeginTerm(m_now + kAuthority + RangeManagerTimes{}.m_commandTimeout +
                WithDrift(RangeManagerTimes{}.m_leaseDuration,
                          RangeManagerTimes{}.m_driftPpm));
    }
  }

  void Check()
  {
    for (std::size_t cell = 0; cell < kCells; ++cell) {
      int holders = 0;
      for (const auto& endpoint : m_endpoints) {
        holders += endpoint.m_cells.at(cell).m_leaseExpiry > m_now ? 1 : 0;
      }
      m_heldCellSteps += holders > 0 ? 1 : 0;
      if (holders > 1) {
        m_violation = "two holders of cell " + std::to_string(cell);
      }
    }
  }

  std::mt19937 m_random;
  TimePoint m_now = At(Millis(1));
  int m_term = 0;
  std::unique_ptr<Manager> m_manager;
  std::unique_ptr<Manager> m_previous;
  TimePoint m_previousUntil{};
  std::vector<FakeEndpoint> m_endpoints;
  std::vector<EndpointIncarnation> m_listed;
  std::deque<SentCommand> m_commands;
  std::map<unsigned, std::vector<RangeAssignment>> m_stored;
  std::array<std::map<std::string, std::int64_t>, 2> m_connections;
  /** Endpoints to which a leader reconnected while it sent the commands of one
      tick. */
  std::set<std::string> m_reconnected;
  std::array<std::map<EndpointIncarnation, Fence>, kCells> m_fences;
  bool m_storing = false;
  TimePoint m_storeEnds{};
  std::string m_violation;
  unsigned m_moves = 0;
  unsigned m_heldCellSteps = 0;
};

struct NoWaitForLeaseExpiry : RangeManagerRules
{
  static constexpr bool kWaitForLeaseExpiry = false;
};

struct NoFenceBeforeRelease : RangeManagerRules
{
  static constexpr bool kFenceBeforeRelease = false;
};

struct ReleaseDuringRenewal : RangeManagerRules
{
  static constexpr bool kReleaseAfterRenewal = false;
};

struct OldFenceAfterReconnect : RangeManagerRules
{
  static constexpr bool kNewFenceAfterReconnect = false;
};

struct NoConfirmationAfterReconnect : RangeManagerRules
{
  static constexpr bool kConfirmAfterReconnect = false;
};

struct IgnoreOwnerRestart : RangeManagerRules
{
  static constexpr bool kTrackOwnerRestart = false;
};

struct MergeDuringGrant : RangeManagerRules
{
  static constexpr bool kMergeIdleOnly = false;
};

/** Returns the first violation found with the seeds from 1 to `aSeeds`. */
template<typename Rules>
std::string
FirstViolation(unsigned aSeeds)
{
  for (unsigned seed = 1; seed <= aSeeds; ++seed) {
    const auto violation = Simulation<Rules>(seed).Run(Millis(120'000));
    if (!violation.empty()) {
      return violation + ", seed " + std::to_string(seed);
    }
  }
  return {};
}

/** Runs a manager whose endpoints and store answer every call at once. */
void
Settle(RangeManager& aManager,
       TimePoint aNow,
       std::map<unsigned, std::vector<RangeAssignment>>& aStored)
{
  for (int round = 0; round < 8; ++round) {
    const auto actions = aManager.Tick(aNow);
    for (const auto& grant : actions.m_grants) {
      aManager.OnGrantEnd(aNow, grant.m_id, { CommandOutcome::Done, "" });
    }
    for (const auto& release : actions.m_releases) {
      aManager.OnReleaseEnd(aNow, release.m_id, { CommandOutcome::Done, "h" });
    }
    if (aManager.HasToStore()) {
      for (auto& block : aManager.BeginStore()) {
        aStored[block.m_block] = block.m_assignments;
      }
      aManager.OnStored(aNow);
    }
  }
}

std::vector<RangeManagerEndpoint>
Endpoints(int aCount)
{
  std::vector<RangeManagerEndpoint> endpoints;
  for (int i = 0; i < aCount; ++i) {
    endpoints.push_back(
      { { "e" + std::to_string(i), 1 }, true, false, false, 1.0 });
  }
  return endpoints;
}

} // namespace

TEST_CASE("an endpoint has ended only if a list read after the refusal shows "
          "it in service",
          "[keys]")
{
  const TimePoint refused = TimePoint{} + Millis(1000);
  const TimePoint before = refused - Millis(1);
  CHECK(HasEnded({ refused, false, false, refused }));
  // A draining endpoint closes its listener while it still serves requests. A
  // list read before the refusal may not show that it is draining.
  CHECK_FALSE(HasEnded({ refused, false, false, before }));
  CHECK_FALSE(HasEnded({ refused, true, false, refused }));
  CHECK_FALSE(HasEnded({ refused, false, true, refused }));
  CHECK_FALSE(HasEnded({ std::nullopt, false, false, refused }));
}

TEST_CASE("no key has two holders despite lost or late commands and restarts",
          "[keys][search]")
{
  CHECK(FirstViolation<RangeManagerRules>(60) == "");
  Simulation<RangeManagerRules> simulation(7);
  CHECK(simulation.Run(Millis(120'000)).empty());
  CHECK(simulation.Moves() > 20);
  CHECK(simulation.HeldCellSteps() > 10'000);
}

TEST_CASE("without any one safety rule of moves a violation is found",
          "[keys][search][mutant]")
{
  CHECK(FirstViolation<NoWaitForLeaseExpiry>(60) != "");
  CHECK(FirstViolation<NoFenceBeforeRelease>(200) != "");
  CHECK(FirstViolation<ReleaseDuringRenewal>(200) != "");
  CHECK(FirstViolation<OldFenceAfterReconnect>(60) != "");
  CHECK(FirstViolation<NoConfirmationAfterReconnect>(60) != "");
  CHECK(FirstViolation<IgnoreOwnerRestart>(60) != "");
  CHECK(FirstViolation<MergeDuringGrant>(200) != "");
}

TEST_CASE("the stored assignments name each range's holder after any moves",
          "[keys]")
{
  std::mt19937 random(3);
  RangeManager manager(RangeManagerTimes{}, 1, TimePoint{});
  manager.SetEndpoints(Endpoints(15));
  // The bounds of 90 equal ranges do not match those of the stored blocks.
  manager.CoverAll(90);
  std::map<unsigned, std::vector<RangeAssignment>> stored;
  TimePoint now = At(Millis(1));
  Settle(manager, now, stored);
  for (int round = 0; round < 60; ++round) {
    const auto first = support::Draw(random, kKeyCount - 900);
    manager.Move(now,
                 { static_cast<Key>(first),
                   static_cast<Key>(first + support::Draw(random, 900)) },
                 "e" + std::to_string(support::Draw(random, 15)));
    Settle(manager, now, stored);
  }
  RangeMap actual;
  for (const auto& route : manager.Routes()) {
    actual.Assign(route);
  }
  std::vector<int> covered(kKeyCount, 0);
  for (const auto& [block, assignments] : stored) {
    for (const auto& assignment : assignments) {
      for (std::uint32_t key = assignment.m_range.m_first;
           key <= assignment.m_range.m_last;
           ++key) {
        ++covered[key];
        const auto* route = actual.Find(static_cast<Key>(key));
        REQUIRE(route != nullptr);
        REQUIRE(route->m_endpoint == assignment.m_owner.m_name);
      }
    }
  }
  CHECK(std::all_of(
    covered.begin(), covered.end(), [](int aCount) { return aCount == 1; }));
}

TEST_CASE(
  "a range of an unresponsive endpoint moves only after its lease expires",
  "[keys]")
{
  RangeManagerTimes times;
  RangeManager manager(times, 1, TimePoint{});
  auto endpoints = Endpoints(2);
  manager.SetEndpoints(endpoints);
  manager.CoverAll(16);
  std::map<unsigned, std::vector<RangeAssignment>> stored;
  const TimePoint begin = At(Millis(1));
  Settle(manager, begin, stored);
  endpoints[0].m_unresponsive = true;
  manager.SetEndpoints(endpoints);
  const auto holderOf = [&](Key aKey) {
    RangeMap map;
    for (const auto& route : manager.Routes()) {
      map.Assign(route);
    }
    return map.Find(aKey)->m_ready ? map.Find(aKey)->m_endpoint : std::string();
  };
  const Key key = 0;
  REQUIRE(holderOf(key) == "e0");
  const auto run = [&](TimePoint aNow) {
    for (int round = 0; round < 6; ++round) {
      const auto actions = manager.Tick(aNow);
      for (const auto& grant : actions.m_grants) {
        const bool answers = grant.m_endpoint == "e1";
        manager.OnGrantEnd(
          aNow,
          grant.m_id,
          { answers ? CommandOutcome::Done : CommandOutcome::NoAnswer, "" });
      }
      for (const auto& release : actions.m_releases) {
        manager.OnReleaseEnd(
          aNow, release.m_id, { CommandOutcome::NoAnswer, "" });
      }
      if (manager.HasToStore()) {
        static_cast<void>(manager.BeginStore());
        manager.OnStored(aNow);
      }
    }
  };
  run(begin + Millis(500));
  CHECK(holderOf(key).empty());
  run(begin + times.m_leaseDuration);
  CHECK(holderOf(key).empty());
  run(begin + WithDrift(times.m_leaseDuration, times.m_driftPpm) + Millis(1));
  CHECK(holderOf(key) == "e1");
}

TEST_CASE("a dead endpoint's ranges move without waiting for the lease",
          "[keys]")
{
  RangeManager manager(RangeManagerTimes{}, 1, TimePoint{});
  auto endpoints = Endpoints(2);
  manager.SetEndpoints(endpoints);
  manager.CoverAll(16);
  std::map<unsigned, std::vector<RangeAssignment>> stored;
  const TimePoint now = At(Millis(1));
  Settle(manager, now, stored);
  endpoints[0].m_dead = true;
  manager.SetEndpoints(endpoints);
  Settle(manager, now, stored);
  for (const auto& route : manager.Routes()) {
    CHECK(route.m_endpoint == "e1");
    CHECK(route.m_ready);
  }
}

TEST_CASE("a new incarnation of an endpoint gets its keys with a higher fence",
          "[keys]")
{
  RangeManager manager(RangeManagerTimes{}, 1, TimePoint{});
  auto endpoints = Endpoints(1);
  manager.SetEndpoints(endpoints);
  manager.CoverAll(16);
  std::map<unsigned, std::vector<RangeAssignment>> stored;
  const TimePoint now = At(Millis(1));
  Settle(manager, now, stored);
  const auto before = stored.at(0).front().m_fence;
  endpoints[0].m_incarnation.m_startedAt = 2;
  manager.SetEndpoints(endpoints);
  Settle(manager, now, stored);
  endpoints[0].m_usable = true;
  const auto later = manager.Tick(now + RangeManagerTimes{}.m_renewEvery);
  REQUIRE_FALSE(later.m_grants.empty());
  CHECK(later.m_grants.front().m_command.m_fence > before);
}

TEST_CASE("adjacent ranges of one endpoint are renewed by one command",
          "[keys]")
{
  RangeManager manager(RangeManagerTimes{}, 1, TimePoint{});
  manager.SetEndpoints(Endpoints(1));
  manager.CoverAll(64);
  std::map<unsigned, std::vector<RangeAssignment>> stored;
  const TimePoint now = At(Millis(1));
  Settle(manager, now, stored);
  // Ranges are merged only within a stored block.
  CHECK(manager.Ranges().size() == kKeyCount / kBlockKeys);
  const auto renewals = manager.Tick(now + RangeManagerTimes{}.m_renewEvery);
  REQUIRE(renewals.m_grants.size() == kKeyCount / kBlockKeys);
  std::uint32_t keys = 0;
  for (const auto& grant : renewals.m_grants) {
    keys += grant.m_command.m_range.Size();
  }
  CHECK(keys == kKeyCount);
}

TEST_CASE("a leader grants many ranges in rounds of limited size", "[keys]")
{
  RangeManagerTimes times;
  RangeManager manager(times, 1, TimePoint{});
  manager.SetEndpoints(Endpoints(7));
  manager.CoverAll(500);
  std::map<unsigned, std::vector<RangeAssignment>> stored;
  const TimePoint now = At(Millis(1));
  static_cast<void>(manager.Tick(now));
  static_cast<void>(manager.BeginStore());
  manager.OnStored(now);
  const auto ranges = manager.Ranges().size();
  std::set<Key> granted;
  std::size_t rounds = 0;
  do {
    const auto actions = manager.Tick(now);
    CHECK(actions.m_grants.size() <= times.m_grantsPerRound);
    for (const auto& grant : actions.m_grants) {
      CHECK(granted.insert(grant.m_command.m_range.m_first).second);
    }
    ++rounds;
  } while (manager.HasMoreGrants());
  CHECK(granted.size() == ranges);
  CHECK(rounds ==
        (ranges + times.m_grantsPerRound - 1) / times.m_grantsPerRound);
}

TEST_CASE("the keys of a dead endpoint are spread over several endpoints",
          "[keys]")
{
  RangeManager manager(RangeManagerTimes{}, 1, TimePoint{});
  auto endpoints = Endpoints(8);
  manager.SetEndpoints(endpoints);
  manager.CoverAll(8);
  std::map<unsigned, std::vector<RangeAssignment>> stored;
  const TimePoint now = At(Millis(1));
  Settle(manager, now, stored);
  std::map<std::string, std::uint32_t> before;
  for (const auto& range : manager.Ranges()) {
    before[range.m_endpoint] += range.m_range.Size();
  }
  endpoints[3].m_dead = true;
  manager.SetEndpoints(endpoints);
  Settle(manager, now, stored);
  std::size_t gained = 0;
  for (const auto& range : manager.Ranges()) {
    before[range.m_endpoint] -= range.m_range.Size();
  }
  for (const auto& [name, lost] : before) {
    gained += name != "e3" && lost != 0 ? 1 : 0;
  }
  CHECK(gained >= 4);
}

TEST_CASE(
  "keys granted by an earlier leader count as held until the given time",
  "[keys]")
{
  RangeManager manager(RangeManagerTimes{}, 100, TimePoint{});
  manager.SetEndpoints(Endpoints(2));
  const TimePoint now = At(Millis(1));
  manager.Load({ { 0, 4095 }, { "e1", 1 }, 7 }, now + Millis(1500));
  const auto isReady = [&] { return manager.Routes().front().m_ready; };
  // None of this leader's grants is sent.
  const auto run = [&](TimePoint aNow) {
    for (const auto& grant : manager.Tick(aNow).m_grants) {
      manager.OnGrantEnd(aNow, grant.m_id, { CommandOutcome::NotSent, "" });
    }
  };
  run(now);
  CHECK(isReady());
  run(now + Millis(1499));
  CHECK(isReady());
  run(now + Millis(1500));
  CHECK_FALSE(isReady());
}

TEST_CASE(
  "keys of a lost holder move once earlier leaders' grants have expired",
  "[keys]")
{
  constexpr TimePoint kStart{ std::chrono::seconds(100) };
  RangeManager manager(RangeManagerTimes{}, 1, kStart + Millis(19'500));
  manager.Load({ { 0, kKeyCount - 1 }, { "gone", 1 }, 1 }, kStart);
  manager.SetConfirmedAt(kStart);
  manager.SetEndpoints({ { { "other", 1 }, true, false, false, 1.0 } });
  const auto tick = [&](Millis aAfter) {
    const TimePoint now = kStart + aAfter;
    const auto actions = manager.Tick(now);
    // No endpoint can be reached.
    for (const auto& grant : actions.m_grants) {
      manager.OnGrantEnd(now, grant.m_id, { CommandOutcome::NotSent, "" });
    }
    for (const auto& release : actions.m_releases) {
      manager.OnReleaseEnd(now, release.m_id, { CommandOutcome::NotSent, "" });
    }
    return manager.HasToStore();
  };
  tick(Millis(0));
  CHECK_FALSE(tick(Millis(5000)));
  SECTION("without a report of their end, after their authority")
  {
    CHECK_FALSE(tick(Millis(19'400)));
    CHECK(tick(Millis(19'500)));
  }
  SECTION("after a report of their end")
  {
    manager.SetPreviousGrantsExpiry(kStart + Millis(5000),
                                    kStart + Millis(6000));
    CHECK_FALSE(tick(Millis(5900)));
    // A grant by this leader may have lasted until then.
    CHECK(tick(Millis(9100)));
  }
}
