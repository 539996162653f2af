#include "ownership_fixture.hpp"

#include <memory>

using namespace sapphirehook;
using namespace sapphirehook::ownership_fixture;

namespace {

/** Restores the store from older copies, and watches that no key has two
    holders. */
class RestoreFixture : public Fixture
{
public:
  RestoreFixture()
    : m_three(m_loop, "three")
    , m_control(m_loop, m_storeAddress)
  {
  }

  /** Returns the time now, to which the store may be restored later. Nothing
      is stored shortly before and after. */
  TimePoint Mark()
  {
    RunWatched(Millis(150));
    const TimePoint now = BootClock::now();
    RunWatched(Millis(150));
    return now;
  }

  /** The store is away for 0.3 s and returns from a copy of the given time. */
  void Restore(TimePoint aCopyAt)
  {
    constexpr Millis kAway{ 300 };
    const auto age =
      std::chrono::duration_cast<Millis>(BootClock::now() + kAway - aCopyAt);
    bool answered = false;
    m_control.Call(soak::RestoreCall(age, kAway),
                   Millis(1000),
                   [&](const CallResult&) { answered = true; });
    REQUIRE(Until([&] { return answered; }));
    RunWatched(kAway);
  }

  /** Has an endpoint leave, so that its keys move to others. */
  static void Drain(Daemon& aDaemon, Endpoint& aEndpoint)
  {
    aEndpoint.m_record.m_draining = true;
    aDaemon.List(aEndpoint);
  }

  /** Handles events until a condition holds, and checks the holders. */
  bool UntilWatched(const std::function<bool()>& aCondition,
                    Millis aFor = Millis(8000))
  {
    return support::RunUntil(
      m_loop,
      [&] {
        CheckHolders();
        return aCondition();
      },
      aFor);
  }

  void RunWatched(Millis aFor)
  {
    static_cast<void>(UntilWatched([] { return false; }, aFor));
  }

  /** Number of checks that have found a key with two holders. */
  unsigned m_violations = 0;
  Endpoint m_three;

private:
  void CheckHolders()
  {
    constexpr Key kStep = 4096;
    for (std::uint32_t key = 0; key < kKeyCount; key += kStep) {
      int holders = 0;
      for (const auto* endpoint : { &m_one, &m_two, &m_three }) {
        holders += endpoint->Holds(static_cast<Key>(key)) ? 1 : 0;
      }
      m_violations += holders > 1 ? 1 : 0;
    }
  }

  HttpClient m_control;
};

} // namespace

// Guards against two holders (review/8): the restored store named the leader of
// the term before, and the present one went on with the assignments and fences
// of its own claim.
TEST_CASE("a leader whose claim a restore took back claims again and keeps its "
          "assignments",
          "[gateway][restore]")
{
  RestoreFixture fixture;
  Daemon earlier(fixture.m_loop, fixture.m_protocol, fixture.m_storeAddress, 1);
  fixture.GrantAllToOne(earlier);
  const TimePoint copyAt = fixture.Mark();
  Daemon daemon(fixture.m_loop, fixture.m_protocol, fixture.m_storeAddress, 2);
  daemon.List(fixture.m_one);
  REQUIRE(fixture.UntilWatched([&] { return daemon.m_ownership.Leads(); }));
  daemon.List(fixture.m_two);
  RestoreFixture::Drain(daemon, fixture.m_one);
  REQUIRE(fixture.UntilWatched([&] { return daemon.IsAt(0, "two"); }));
  fixture.Restore(copyAt);
  // Further keys can move within 2 s of the store's return.
  daemon.List(fixture.m_three);
  RestoreFixture::Drain(daemon, fixture.m_two);
  CHECK(fixture.UntilWatched([&] { return daemon.IsAt(0, "three"); },
                             Millis(2000)));
  fixture.RunWatched(Millis(500));
  CHECK(daemon.m_ownership.Leads());
  CHECK(fixture.m_three.Holds(0));
  CHECK(fixture.m_violations == 0);
}

// Guards against two holders (review/7): the assignments that a restore took
// back were never stored again, and the next leader granted the keys to their
// former holders.
TEST_CASE("the successor of a leader that lived through a restore knows the "
          "present holders",
          "[gateway][restore]")
{
  RestoreFixture fixture;
  Daemon leader(fixture.m_loop, fixture.m_protocol, fixture.m_storeAddress, 1);
  leader.List(fixture.m_one);
  REQUIRE(fixture.UntilWatched([&] { return leader.IsAt(0, "one"); }));
  const TimePoint copyAt = fixture.Mark();
  leader.List(fixture.m_two);
  RestoreFixture::Drain(leader, fixture.m_one);
  REQUIRE(fixture.UntilWatched([&] { return leader.IsAt(0, "two"); }));
  fixture.Restore(copyAt);
  fixture.RunWatched(Millis(1500));
  leader.m_ownership.BeginStop();
  leader.m_ownership.Resign();
  Daemon successor(
    fixture.m_loop, fixture.m_protocol, fixture.m_storeAddress, 2);
  successor.List(fixture.m_one);
  successor.List(fixture.m_two);
  REQUIRE(fixture.UntilWatched([&] { return successor.IsAt(0, "two"); }));
  fixture.RunWatched(Millis(1000));
  CHECK(fixture.m_two.Holds(0));
  CHECK(fixture.m_violations == 0);
}

// Guards against two holders: nobody alive knows what the leader of before the
// restore had granted.
TEST_CASE(
  "after a restore that no leader lived through no key is granted while "
  "an earlier grant may be valid",
  "[gateway][restore]")
{
  RestoreFixture fixture;
  auto leader = std::make_unique<Daemon>(
    fixture.m_loop, fixture.m_protocol, fixture.m_storeAddress, 1);
  leader->List(fixture.m_one);
  REQUIRE(fixture.UntilWatched([&] { return leader->IsAt(0, "one"); }));
  const TimePoint copyAt = fixture.Mark();
  leader->List(fixture.m_two);
  RestoreFixture::Drain(*leader, fixture.m_one);
  REQUIRE(fixture.UntilWatched([&] { return leader->IsAt(0, "two"); }));
  leader.reset();
  fixture.Restore(copyAt);
  Daemon successor(
    fixture.m_loop, fixture.m_protocol, fixture.m_storeAddress, 2);
  successor.List(fixture.m_one);
  successor.List(fixture.m_two);
  REQUIRE(fixture.UntilWatched([&] { return successor.m_ownership.Leads(); }));
  const unsigned before = fixture.m_one.m_commands + fixture.m_two.m_commands;
  REQUIRE(fixture.m_two.Holds(0));
  fixture.RunWatched(Millis(2500));
  CHECK(fixture.m_violations == 0);
  CHECK(fixture.m_one.m_commands + fixture.m_two.m_commands == before);
}
