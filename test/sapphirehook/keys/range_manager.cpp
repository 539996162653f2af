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

/** An endpoint that keeps to the rules of grants and releases: a fence lower
    than one it has seen is refused, a hold counts from the arrival of the
    order, and its clock may be 2% slow. */
struct FakeEndpoint
{
  struct Cell
  {
    Fence m_seen = 0;
    TimePoint m_until{};
  };

  EndpointIncarnation m_incarnation;
  double m_slowness = 1.0;
  std::array<Cell, kCells> m_cells;
};

struct Order
{
  int m_leader = 0;
  bool m_isGrant = false;
  std::uint64_t m_id = 0;
  std::string m_endpoint;
  std::int64_t m_incarnation = 0;
  GrantCommand m_grant;
  TimePoint m_arrivesAt{};
  TimePoint m_appliesAt{};
  bool m_answered = true;
};

/** Two leaders in turn, four endpoints that crash and start again, orders that
    are lost, held up or carried out late, and ranges that move at random. Looks
    for a cell with two holders, and for a fence that does not grow from one
    holder to the next. */
template<typename Rules>
class World
{
public:
  explicit World(unsigned aSeed)
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

  /** Runs for a time. Returns what went wrong first, or nothing. */
  std::string Run(Millis aTime)
  {
    while (m_now < At(aTime) && m_fault.empty()) {
      m_now += Millis(5 + static_cast<int>(Draw(25)));
      Step();
    }
    return m_fault;
  }

  [[nodiscard]] unsigned Moves() const { return m_moves; }
  [[nodiscard]] unsigned Held() const { return m_heldSteps; }

private:
  using Keeper = BasicRangeManager<Rules>;

  std::uint64_t Draw(std::uint64_t aLimit)
  {
    return support::Draw(m_random, aLimit);
  }

  void BeginTerm(TimePoint aPreviousGrantsExpiry)
  {
    ++m_term;
    auto keeper =
      std::make_unique<Keeper>(RangeManagerTimes{},
                               (static_cast<Fence>(m_term) << 20U) + 1,
                               aPreviousGrantsExpiry);
    for (const auto& [block, assignments] : m_stored) {
      for (const auto& assignment : assignments) {
        keeper->Load(assignment, m_now + Millis(1500));
      }
    }
    keeper->CoverAll(16);
    m_old = std::move(m_keeper);
    m_oldUntil = m_now + kAuthority;
    m_keeper = std::move(keeper);
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
    for (const auto& life : m_listed) {
      view.push_back({ life, true, Draw(30) == 0, false, 1.0 });
    }
    return view;
  }

  /** Sends over the leader's connection to the endpoint, or tells that it had
      to be opened anew. */
  void Send(int aLeader, Keeper& aKeeper, Order aOrder)
  {
    auto& life =
      m_connections.at(static_cast<std::size_t>(aLeader))[aOrder.m_endpoint];
    const auto actual = Endpoint(aOrder.m_endpoint).m_incarnation.m_startedAt;
    if (life != actual || m_reconnected.contains(aOrder.m_endpoint)) {
      const bool known = life != 0;
      life = actual;
      if (known) {
        m_reconnected.insert(aOrder.m_endpoint);
        aKeeper.OnNewConnection(m_now, aOrder.m_endpoint);
        Answer(aKeeper, aOrder, { CommandOutcome::NotSent, "" });
        return;
      }
    }
    aOrder.m_leader = aLeader;
    aOrder.m_incarnation = actual;
    aOrder.m_arrivesAt = m_now + Millis(1 + static_cast<int>(Draw(20)));
    aOrder.m_appliesAt = aOrder.m_arrivesAt;
    if (Draw(5) == 0) {
      aOrder.m_answered = false;
      aOrder.m_appliesAt += Millis(static_cast<int>(Draw(6000)));
    }
    m_orders.push_back(aOrder);
  }

  void Answer(Keeper& aKeeper,
              const Order& aOrder,
              const CommandResult& aAnswer)
  {
    if (aOrder.m_isGrant) {
      aKeeper.OnGrantEnd(m_now, aOrder.m_id, aAnswer);
    } else {
      aKeeper.OnReleaseEnd(m_now, aOrder.m_id, aAnswer);
    }
  }

  Keeper* LeaderOf(const Order& aOrder)
  {
    return aOrder.m_leader == m_term       ? m_keeper.get()
           : aOrder.m_leader + 1 == m_term ? m_old.get()
                                           : nullptr;
  }

  void TickLeader(int aTerm, Keeper& aKeeper)
  {
    const int slot = aTerm == m_term ? 0 : 1;
    const bool all = Draw(3) == 0;
    if (all) {
      aKeeper.SetEndpoints(View());
    }
    const auto actions = all ? aKeeper.Tick(m_now) : aKeeper.TickChanged(m_now);
    m_reconnected.clear();
    for (const auto& grant : actions.m_grants) {
      Order order{
        aTerm, true, grant.m_id, grant.m_endpoint, 0, grant.m_command,
        {},    {},   true
      };
      SendFor(slot, aTerm, aKeeper, order);
    }
    for (const auto& release : actions.m_releases) {
      GrantCommand content;
      content.m_range = release.m_command.m_range;
      content.m_fence = release.m_command.m_fence;
      Order order{ aTerm, false, release.m_id, release.m_endpoint, 0, content,
                   {},    {},    true };
      SendFor(slot, aTerm, aKeeper, order);
    }
  }

  void SendFor(int aSlot, int aTerm, Keeper& aKeeper, const Order& aOrder)
  {
    const auto before = m_orders.size();
    Send(aSlot, aKeeper, aOrder);
    if (m_orders.size() > before) {
      m_orders.back().m_leader = aTerm;
    }
  }

  void Step()
  {
    Deliver();
    // The store proves the newest leader's term again and again.
    m_keeper->SetConfirmedAt(m_now - Millis(50));
    TickLeader(m_term, *m_keeper);
    if (m_old && m_now < m_oldUntil) {
      TickLeader(m_term - 1, *m_old);
    }
    Store();
    Disturb();
    Check();
  }

  void Deliver()
  {
    std::deque<Order> due;
    std::erase_if(m_orders, [&](const Order& aOrder) {
      const bool isDue = aOrder.m_appliesAt <= m_now;
      if (isDue) {
        due.push_back(aOrder);
      }
      return isDue;
    });
    for (const auto& order : due) {
      auto answer = Apply(order);
      auto* keeper = LeaderOf(order);
      if (order.m_answered && keeper != nullptr) {
        Answer(*keeper, order, answer);
      }
    }
    // What is not answered in time is given up.
    for (auto& order : m_orders) {
      auto* keeper = LeaderOf(order);
      if (!order.m_answered && keeper != nullptr &&
          m_now >= order.m_arrivesAt + Millis(300)) {
        Answer(*keeper, order, { CommandOutcome::NoAnswer, "" });
        order.m_leader = 0;
      }
    }
    for (const auto& order : due) {
      auto* keeper = LeaderOf(order);
      if (!order.m_answered && keeper != nullptr) {
        Answer(*keeper, order, { CommandOutcome::NoAnswer, "" });
      }
    }
  }

  CommandResult Apply(const Order& aOrder)
  {
    auto& endpoint = Endpoint(aOrder.m_endpoint);
    if (endpoint.m_incarnation.m_startedAt != aOrder.m_incarnation) {
      return { CommandOutcome::NoAnswer, "" };
    }
    const auto& range = aOrder.m_grant.m_range;
    const std::size_t first = range.m_first / kCellKeys;
    const std::size_t last = range.m_last / kCellKeys;
    const Fence fence = aOrder.m_grant.m_fence;
    if (aOrder.m_isGrant) {
      for (auto cell = first; cell <= last; ++cell) {
        if (endpoint.m_cells.at(cell).m_seen > fence) {
          return { CommandOutcome::Fenced, "" };
        }
      }
    }
    for (auto cell = first; cell <= last; ++cell) {
      auto& one = endpoint.m_cells.at(cell);
      if (!aOrder.m_isGrant) {
        // Only what it holds; a release teaches it no fence.
        one.m_until = one.m_seen <= fence ? TimePoint{} : one.m_until;
        continue;
      }
      const auto hold = std::chrono::duration_cast<std::chrono::nanoseconds>(
        aOrder.m_grant.m_leaseDuration * endpoint.m_slowness);
      one.m_seen = fence;
      one.m_until = std::max(one.m_until, aOrder.m_arrivesAt + hold);
      NoteFence(cell, endpoint.m_incarnation, fence);
    }
    return { CommandOutcome::Done, "handover" };
  }

  void NoteFence(std::size_t aCell,
                 const EndpointIncarnation& aLife,
                 Fence aFence)
  {
    auto& fences = m_fences.at(aCell);
    for (const auto& [life, fence] : fences) {
      const auto& endpoint = Endpoint(aLife.m_name);
      const bool holds = endpoint.m_cells.at(aCell).m_until > m_now;
      if (life != aLife && fence >= aFence && holds) {
        m_fault = Concat("fence ",
                         aFence >> 20U,
                         ".",
                         aFence & 0xFFFFFU,
                         " of ",
                         aLife.m_name,
                         "#",
                         aLife.m_startedAt,
                         " is not above ",
                         fence >> 20U,
                         ".",
                         fence & 0xFFFFFU,
                         " of ",
                         life.m_name,
                         "#",
                         life.m_startedAt,
                         " for cell ",
                         aCell,
                         " at ",
                         SinceBoot(m_now).count());
      }
    }
    auto& own = fences[aLife];
    own = std::max(own, aFence);
  }

  void Store()
  {
    if (m_storing && m_now >= m_storeEnds) {
      m_storing = false;
      m_keeper->OnStored(m_now);
      ++m_moves;
    }
    if (!m_storing && m_keeper->HasToStore()) {
      for (auto& block : m_keeper->BeginStore()) {
        m_stored[block.m_block] = block.m_assignments;
      }
      m_storing = true;
      m_storeEnds = m_now + Millis(4 + static_cast<int>(Draw(60)));
    }
  }

  void Disturb()
  {
    if (Draw(40) == 0) {
      const auto first = static_cast<std::uint32_t>(Draw(kCells)) * kCellKeys;
      const auto cells = 1 + static_cast<std::uint32_t>(Draw(6));
      const auto last = std::min(first + cells * kCellKeys, kKeyCount) - 1;
      m_keeper->Move(m_now,
                     { static_cast<Key>(first), static_cast<Key>(last) },
                     "e" + std::to_string(Draw(4)));
    }
    if (Draw(300) == 0) {
      auto& endpoint = m_endpoints.at(Draw(4));
      ++endpoint.m_incarnation.m_startedAt;
      endpoint.m_cells = {};
    }
    // The list lags behind.
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
        holders += endpoint.m_cells.at(cell).m_until > m_now ? 1 : 0;
      }
      m_heldSteps += holders > 0 ? 1 : 0;
      if (holders > 1) {
        m_fault = "two holders of cell " + std::to_string(cell);
      }
    }
  }

  std::mt19937 m_random;
  TimePoint m_now = At(Millis(1));
  int m_term = 0;
  std::unique_ptr<Keeper> m_keeper;
  std::unique_ptr<Keeper> m_old;
  TimePoint m_oldUntil{};
  std::vector<FakeEndpoint> m_endpoints;
  std::vector<EndpointIncarnation> m_listed;
  std::deque<Order> m_orders;
  std::map<unsigned, std::vector<RangeAssignment>> m_stored;
  std::array<std::map<std::string, std::int64_t>, 2> m_connections;
  /** Endpoints connected to anew while the orders of one tick are sent. */
  std::set<std::string> m_reconnected;
  std::array<std::map<EndpointIncarnation, Fence>, kCells> m_fences;
  bool m_storing = false;
  TimePoint m_storeEnds{};
  std::string m_fault;
  unsigned m_moves = 0;
  unsigned m_heldSteps = 0;
};

struct NoWaitForHold : RangeManagerRules
{
  static constexpr bool kWaitForLeaseExpiry = false;
};

struct NoFenceBeforeRelease : RangeManagerRules
{
  static constexpr bool kFenceBeforeRelease = false;
};

struct ReleaseBesideGrant : RangeManagerRules
{
  static constexpr bool kReleaseAfterRenewal = false;
};

struct OldFenceOnNewConnection : RangeManagerRules
{
  static constexpr bool kNewFenceAfterReconnect = false;
};

struct StaleGrantToNewLife : RangeManagerRules
{
  static constexpr bool kConfirmAfterReconnect = false;
};

struct EarlierLifeIsGone : RangeManagerRules
{
  static constexpr bool kTrackOwnerRestart = false;
};

struct JoinBesideGrant : RangeManagerRules
{
  static constexpr bool kMergeIdleOnly = false;
};

/** Returns the first fault over a number of seeds. */
template<typename Rules>
std::string
FirstFault(unsigned aSeeds)
{
  for (unsigned seed = 1; seed <= aSeeds; ++seed) {
    const auto fault = World<Rules>(seed).Run(Millis(120'000));
    if (!fault.empty()) {
      return fault + ", seed " + std::to_string(seed);
    }
  }
  return {};
}

/** Plays a keeper whose endpoints answer everything at once. */
void
Settle(RangeManager& aKeeper,
       TimePoint aNow,
       std::map<unsigned, std::vector<RangeAssignment>>& aStored)
{
  for (int round = 0; round < 8; ++round) {
    const auto actions = aKeeper.Tick(aNow);
    for (const auto& grant : actions.m_grants) {
      aKeeper.OnGrantEnd(aNow, grant.m_id, { CommandOutcome::Done, "" });
    }
    for (const auto& release : actions.m_releases) {
      aKeeper.OnReleaseEnd(aNow, release.m_id, { CommandOutcome::Done, "h" });
    }
    if (aKeeper.HasToStore()) {
      for (auto& block : aKeeper.BeginStore()) {
        aStored[block.m_block] = block.m_assignments;
      }
      aKeeper.OnStored(aNow);
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

TEST_CASE("an endpoint has ended only when a later list shows it in service",
          "[keys]")
{
  const TimePoint refused = TimePoint{} + Millis(1000);
  const TimePoint before = refused - Millis(1);
  CHECK(HasEnded({ refused, false, false, refused }));
  // A leaving endpoint stops to listen while it still works, and the list read
  // before does not tell.
  CHECK_FALSE(HasEnded({ refused, false, false, before }));
  CHECK_FALSE(HasEnded({ refused, true, false, refused }));
  CHECK_FALSE(HasEnded({ refused, false, true, refused }));
  CHECK_FALSE(HasEnded({ std::nullopt, false, false, refused }));
}

TEST_CASE("no key has two holders, whatever is lost, late or started anew",
          "[keys][search]")
{
  CHECK(FirstFault<RangeManagerRules>(60) == "");
  World<RangeManagerRules> world(7);
  CHECK(world.Run(Millis(120'000)).empty());
  CHECK(world.Moves() > 20);
  CHECK(world.Held() > 10'000);
}

TEST_CASE("each safety rule of moves is needed", "[keys][search][mutant]")
{
  CHECK(FirstFault<NoWaitForHold>(60) != "");
  CHECK(FirstFault<NoFenceBeforeRelease>(200) != "");
  CHECK(FirstFault<ReleaseBesideGrant>(200) != "");
  CHECK(FirstFault<OldFenceOnNewConnection>(60) != "");
  CHECK(FirstFault<StaleGrantToNewLife>(60) != "");
  CHECK(FirstFault<EarlierLifeIsGone>(60) != "");
  CHECK(FirstFault<JoinBesideGrant>(200) != "");
}

TEST_CASE("what is stored names each range's holder, however ranges are cut",
          "[keys]")
{
  std::mt19937 random(3);
  RangeManager keeper(RangeManagerTimes{}, 1, TimePoint{});
  keeper.SetEndpoints(Endpoints(15));
  // 90 equal ranges do not divide the blocks that are stored as one.
  keeper.CoverAll(90);
  std::map<unsigned, std::vector<RangeAssignment>> stored;
  TimePoint now = At(Millis(1));
  Settle(keeper, now, stored);
  for (int round = 0; round < 60; ++round) {
    const auto first = support::Draw(random, kKeyCount - 900);
    keeper.Move(now,
                { static_cast<Key>(first),
                  static_cast<Key>(first + support::Draw(random, 900)) },
                "e" + std::to_string(support::Draw(random, 15)));
    Settle(keeper, now, stored);
  }
  RangeMap actual;
  for (const auto& route : keeper.Routes()) {
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

TEST_CASE("a range of a silent endpoint moves only after its hold", "[keys]")
{
  RangeManagerTimes times;
  RangeManager keeper(times, 1, TimePoint{});
  auto endpoints = Endpoints(2);
  keeper.SetEndpoints(endpoints);
  keeper.CoverAll(16);
  std::map<unsigned, std::vector<RangeAssignment>> stored;
  const TimePoint begin = At(Millis(1));
  Settle(keeper, begin, stored);
  endpoints[0].m_unresponsive = true;
  keeper.SetEndpoints(endpoints);
  const auto holderOf = [&](Key aKey) {
    RangeMap map;
    for (const auto& route : keeper.Routes()) {
      map.Assign(route);
    }
    return map.Find(aKey)->m_ready ? map.Find(aKey)->m_endpoint : std::string();
  };
  const Key key = 0;
  REQUIRE(holderOf(key) == "e0");
  const auto play = [&](TimePoint aNow) {
    for (int round = 0; round < 6; ++round) {
      const auto actions = keeper.Tick(aNow);
      for (const auto& grant : actions.m_grants) {
        const bool answers = grant.m_endpoint == "e1";
        keeper.OnGrantEnd(
          aNow,
          grant.m_id,
          { answers ? CommandOutcome::Done : CommandOutcome::NoAnswer, "" });
      }
      for (const auto& release : actions.m_releases) {
        keeper.OnReleaseEnd(
          aNow, release.m_id, { CommandOutcome::NoAnswer, "" });
      }
      if (keeper.HasToStore()) {
        static_cast<void>(keeper.BeginStore());
        keeper.OnStored(aNow);
      }
    }
  };
  play(begin + Millis(500));
  CHECK(holderOf(key).empty());
  play(begin + times.m_leaseDuration);
  CHECK(holderOf(key).empty());
  play(begin + WithDrift(times.m_leaseDuration, times.m_driftPpm) + Millis(1));
  CHECK(holderOf(key) == "e1");
}

TEST_CASE("a dead endpoint's ranges move without waiting", "[keys]")
{
  RangeManager keeper(RangeManagerTimes{}, 1, TimePoint{});
  auto endpoints = Endpoints(2);
  keeper.SetEndpoints(endpoints);
  keeper.CoverAll(16);
  std::map<unsigned, std::vector<RangeAssignment>> stored;
  const TimePoint now = At(Millis(1));
  Settle(keeper, now, stored);
  endpoints[0].m_dead = true;
  keeper.SetEndpoints(endpoints);
  Settle(keeper, now, stored);
  for (const auto& route : keeper.Routes()) {
    CHECK(route.m_endpoint == "e1");
    CHECK(route.m_ready);
  }
}

TEST_CASE("a new life of an endpoint gets its keys with a higher fence",
          "[keys]")
{
  RangeManager keeper(RangeManagerTimes{}, 1, TimePoint{});
  auto endpoints = Endpoints(1);
  keeper.SetEndpoints(endpoints);
  keeper.CoverAll(16);
  std::map<unsigned, std::vector<RangeAssignment>> stored;
  const TimePoint now = At(Millis(1));
  Settle(keeper, now, stored);
  const auto before = stored.at(0).front().m_fence;
  endpoints[0].m_incarnation.m_startedAt = 2;
  keeper.SetEndpoints(endpoints);
  Settle(keeper, now, stored);
  endpoints[0].m_usable = true;
  const auto later = keeper.Tick(now + RangeManagerTimes{}.m_renewEvery);
  REQUIRE_FALSE(later.m_grants.empty());
  CHECK(later.m_grants.front().m_command.m_fence > before);
}

TEST_CASE("neighbouring ranges of one endpoint are renewed by one order",
          "[keys]")
{
  RangeManager keeper(RangeManagerTimes{}, 1, TimePoint{});
  keeper.SetEndpoints(Endpoints(1));
  keeper.CoverAll(64);
  std::map<unsigned, std::vector<RangeAssignment>> stored;
  const TimePoint now = At(Millis(1));
  Settle(keeper, now, stored);
  // Joined only within what is stored as one.
  CHECK(keeper.Ranges().size() == kKeyCount / kBlockKeys);
  const auto renewals = keeper.Tick(now + RangeManagerTimes{}.m_renewEvery);
  REQUIRE(renewals.m_grants.size() == kKeyCount / kBlockKeys);
  std::uint32_t keys = 0;
  for (const auto& grant : renewals.m_grants) {
    keys += grant.m_command.m_range.Size();
  }
  CHECK(keys == kKeyCount);
}

TEST_CASE("a leader with many ranges grants them in turn, a round at a time",
          "[keys]")
{
  RangeManagerTimes times;
  RangeManager keeper(times, 1, TimePoint{});
  keeper.SetEndpoints(Endpoints(7));
  keeper.CoverAll(500);
  std::map<unsigned, std::vector<RangeAssignment>> stored;
  const TimePoint now = At(Millis(1));
  static_cast<void>(keeper.Tick(now));
  static_cast<void>(keeper.BeginStore());
  keeper.OnStored(now);
  const auto ranges = keeper.Ranges().size();
  std::set<Key> granted;
  std::size_t rounds = 0;
  do {
    const auto actions = keeper.Tick(now);
    CHECK(actions.m_grants.size() <= times.m_grantsPerRound);
    for (const auto& grant : actions.m_grants) {
      CHECK(granted.insert(grant.m_command.m_range.m_first).second);
    }
    ++rounds;
  } while (keeper.HasMoreGrants());
  CHECK(granted.size() == ranges);
  CHECK(rounds ==
        (ranges + times.m_grantsPerRound - 1) / times.m_grantsPerRound);
}

TEST_CASE("the keys of a lost endpoint go to several others", "[keys]")
{
  RangeManager keeper(RangeManagerTimes{}, 1, TimePoint{});
  auto endpoints = Endpoints(8);
  keeper.SetEndpoints(endpoints);
  keeper.CoverAll(8);
  std::map<unsigned, std::vector<RangeAssignment>> stored;
  const TimePoint now = At(Millis(1));
  Settle(keeper, now, stored);
  std::map<std::string, std::uint32_t> before;
  for (const auto& range : keeper.Ranges()) {
    before[range.m_endpoint] += range.m_range.Size();
  }
  endpoints[3].m_dead = true;
  keeper.SetEndpoints(endpoints);
  Settle(keeper, now, stored);
  std::size_t gained = 0;
  for (const auto& range : keeper.Ranges()) {
    before[range.m_endpoint] -= range.m_range.Size();
  }
  for (const auto& [name, lost] : before) {
    gained += name != "e3" && lost != 0 ? 1 : 0;
  }
  CHECK(gained >= 4);
}

TEST_CASE(
  "keys that an earlier leader granted are taken to be held for a while",
  "[keys]")
{
  RangeManager keeper(RangeManagerTimes{}, 100, TimePoint{});
  keeper.SetEndpoints(Endpoints(2));
  const TimePoint now = At(Millis(1));
  keeper.Load({ { 0, 4095 }, { "e1", 1 }, 7 }, now + Millis(1500));
  const auto isReady = [&] { return keeper.Routes().front().m_ready; };
  // No grant of this leader is answered.
  const auto play = [&](TimePoint aNow) {
    for (const auto& grant : keeper.Tick(aNow).m_grants) {
      keeper.OnGrantEnd(aNow, grant.m_id, { CommandOutcome::NotSent, "" });
    }
  };
  play(now);
  CHECK(isReady());
  play(now + Millis(1499));
  CHECK(isReady());
  play(now + Millis(1500));
  CHECK_FALSE(isReady());
}

TEST_CASE(
  "keys of a lost holder move once earlier leaders' grants have run out",
  "[keys]")
{
  constexpr TimePoint kStart{ std::chrono::seconds(100) };
  RangeManager keeper(RangeManagerTimes{}, 1, kStart + Millis(19'500));
  keeper.Load({ { 0, kKeyCount - 1 }, { "gone", 1 }, 1 }, kStart);
  keeper.SetConfirmedAt(kStart);
  keeper.SetEndpoints({ { { "other", 1 }, true, false, false, 1.0 } });
  const auto tick = [&](Millis aAfter) {
    const TimePoint now = kStart + aAfter;
    const auto actions = keeper.Tick(now);
    // Nobody is there to take an order.
    for (const auto& grant : actions.m_grants) {
      keeper.OnGrantEnd(now, grant.m_id, { CommandOutcome::NotSent, "" });
    }
    for (const auto& release : actions.m_releases) {
      keeper.OnReleaseEnd(now, release.m_id, { CommandOutcome::NotSent, "" });
    }
    return keeper.HasToStore();
  };
  tick(Millis(0));
  CHECK_FALSE(tick(Millis(5000)));
  SECTION("without a sign, after their authority")
  {
    CHECK_FALSE(tick(Millis(19'400)));
    CHECK(tick(Millis(19'500)));
  }
  SECTION("or when a sign of their end has been found")
  {
    keeper.SetPreviousGrantsExpiry(kStart + Millis(5000),
                                   kStart + Millis(6000));
    CHECK_FALSE(tick(Millis(5900)));
    // An own grant to it might have lasted until then.
    CHECK(tick(Millis(9100)));
  }
}
