#include "sapphirehook/store/read_schedule.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <vector>

using namespace sapphirehook;

namespace {

constexpr TimePoint kStart{ std::chrono::seconds(100) };

constexpr ReaderRole kLeader{ true, std::nullopt };
constexpr ReaderRole kOther{};

ReaderRole
Successor(std::size_t aRole)
{
  return { false, aRole };
}

/** Returns the schedule of a daemon that has read up to offset 7, for which the
    leader has received a confirmation of the end at kStart. */
ReadSchedule
ConfirmedByLeader(const ReaderRole& aRole)
{
  ReadSchedule schedule;
  schedule.OnOwnConfirmation({ { 0, 7 }, kStart - Millis(10'000), {} });
  schedule.OnPeerConfirmation({ { 0, 7 }, kStart, {} }, true, { 0, 7 });
  static_cast<void>(schedule.Next(kStart, aRole));
  return schedule;
}

/** Returns how long after the last confirmation a daemon starts to read by
    itself. */
Millis
FallbackDelay(const ReaderRole& aRole)
{
  auto schedule = ConfirmedByLeader(aRole);
  for (Millis passed{ 0 };; passed += Millis(1)) {
    if (schedule.Next(kStart + passed, aRole).m_followsStore) {
      return passed;
    }
  }
}

} // namespace

TEST_CASE(
  "a daemon reads by itself once the last confirmation of the end is old",
  "[store]")
{
  // Changes have to be in force within 2 s (config-apply-ms).
  CHECK(FallbackDelay(Successor(0)) < FallbackDelay(Successor(1)));
  CHECK(FallbackDelay(Successor(3)) < FallbackDelay(kOther));
  CHECK(FallbackDelay(Successor(50)) == FallbackDelay(kOther));
  CHECK(FallbackDelay(kOther) <= Millis(1500));
  // A successor reads only after the time for two calls of the leader.
  CHECK(FallbackDelay(Successor(0)) > kConfirmationInterval + Millis(300));
  CHECK(FallbackDelay(kLeader) == Millis(0));
}

TEST_CASE("after a start only the successors go on reading while a peer reads",
          "[store]")
{
  const auto followsAfter = [](const ReaderRole& aRole, Millis aTime) {
    ReadSchedule schedule;
    REQUIRE(schedule.Next(kStart, aRole).m_followsStore);
    schedule.OnOwnConfirmation({ { 0, 10 }, kStart + Millis(20), kStart });
    schedule.OnPeerConfirmation(
      { { 0, 10 }, kStart + aTime - Millis(100), {} }, true, { 0, 10 });
    return schedule.Next(kStart + aTime, aRole).m_followsStore;
  };
  CHECK_FALSE(followsAfter(kOther, Millis(150)));
  CHECK(followsAfter(Successor(1), Millis(150)));
  CHECK_FALSE(followsAfter(Successor(1), Millis(2050)));
}

TEST_CASE("a daemon's own confirmation delays its next read", "[store]")
{
  auto schedule = ConfirmedByLeader(kOther);
  const TimePoint read = kStart + Millis(1000);
  schedule.OnOwnConfirmation({ { 0, 7 }, read, {} });
  CHECK_FALSE(schedule.Next(kStart + Millis(1500), kOther).m_followsStore);
  CHECK(schedule.Next(read + Millis(1500), kOther).m_followsStore);
}

TEST_CASE(
  "a confirmation of an end beyond the daemon's records applies once the "
  "daemon has read up to it",
  "[store]")
{
  auto schedule = ConfirmedByLeader(kOther);
  schedule.OnPeerConfirmation(
    { { 0, 9 }, kStart + Millis(1400), {} }, true, { 0, 7 });
  CHECK(schedule.CompleteAt() == kStart);
  schedule.OnRead({ 0, 8 });
  CHECK(schedule.CompleteAt() == kStart);
  schedule.OnRead({ 0, 9 });
  CHECK(schedule.CompleteAt() == kStart + Millis(1400));
  CHECK_FALSE(schedule.Next(kStart + Millis(1500), kOther).m_followsStore);
}

TEST_CASE("a confirmation of an earlier era is not used", "[store]")
{
  // Guards against a copy that counts as complete although the store was
  // restored: the offset of the earlier era is as high as the present one.
  auto schedule = ConfirmedByLeader(kOther);
  schedule.OnRead({ 2, 7 });
  schedule.OnPeerConfirmation(
    { { 1, 7 }, kStart + Millis(900), {} }, true, { 2, 7 });
  CHECK(schedule.CompleteAt() == kStart);
  // A confirmation of a later era waits until the daemon has read that far in
  // it, and replaces a newer one of the earlier era.
  schedule.OnPeerConfirmation(
    { { 2, 9 }, kStart + Millis(1000), {} }, true, { 2, 7 });
  schedule.OnPeerConfirmation(
    { { 3, 4 }, kStart + Millis(800), {} }, true, { 2, 7 });
  schedule.OnRead({ 3, 3 });
  CHECK(schedule.CompleteAt() == kStart);
  schedule.OnRead({ 3, 4 });
  CHECK(schedule.CompleteAt() == kStart + Millis(800));
}

TEST_CASE("successors do not wait for each other", "[store]")
{
  auto first = ConfirmedByLeader(Successor(0));
  const TimePoint late = kStart + Millis(3000);
  REQUIRE(first.Next(late, Successor(0)).m_followsStore);
  // The second successor reads too, and the first one continues.
  first.OnPeerConfirmation({ { 0, 7 }, late, {} }, false, { 0, 7 });
  CHECK(first.Next(late + Millis(100), Successor(0)).m_followsStore);
  auto second = ConfirmedByLeader(Successor(1));
  REQUIRE(second.Next(late, Successor(1)).m_followsStore);
  TimePoint now = late;
  for (int i = 0; i < 10; ++i) {
    now += kConfirmationInterval;
    second.OnPeerConfirmation({ { 0, 7 }, now, {} }, true, { 0, 7 });
    static_cast<void>(second.Next(now, Successor(1)));
  }
  CHECK_FALSE(second.Next(now, Successor(1)).m_followsStore);
}

namespace {

/** A fleet in virtual time in which every daemon decides by itself. The store
    answers calls at once, but never those of daemons that are cut off from
    it. */
class VirtualFleet
{
public:
  VirtualFleet(std::size_t aDaemons, std::size_t aSuccessors)
    : m_successors(aSuccessors)
    , m_daemons(aDaemons)
  {
    for (auto& one : m_daemons) {
      one.m_schedule.OnOwnConfirmation({ { 0, 0 }, m_now, {} });
    }
  }

  void Cut(std::size_t aDaemon) { m_daemons[aDaemon].m_cut = true; }

  void Change() { ++m_end; }

  void Step()
  {
    m_now += kStep;
    for (std::size_t i = 0; i < m_daemons.size(); ++i) {
      auto& one = m_daemons[i];
      const auto role = RoleOf(i);
      const bool followed = one.m_followsStore;
      one.m_followsStore = one.m_schedule.Next(m_now, role).m_followsStore;
      if (!one.m_followsStore || one.m_cut) {
        continue;
      }
      // The store answers a long poll upon a change or after its wait.
      const bool due = !followed || one.m_have < m_end ||
                       m_now >= one.m_calledAt + kConfirmationInterval;
      if (due) {
        one.m_calledAt = m_now;
        one.m_confirmation = { { 0, m_end }, m_now, {} };
        Deliver(one, m_end);
        one.m_schedule.OnOwnConfirmation(one.m_confirmation);
        if (role.m_leads || role.m_successorIndex) {
          Relay(m_end);
        }
      }
    }
    if (m_now >= m_heartbeatAt + Millis(150)) {
      m_heartbeatAt = m_now;
      SendHeartbeats();
    }
  }

  /** Makes a change and returns the time until all daemons that are not cut off
      have it. */
  Millis PropagationTime()
  {
    Change();
    for (Millis passed{ 0 }; passed < Millis(20'000); passed += kStep) {
      const bool all =
        std::all_of(m_daemons.begin(), m_daemons.end(), [&](const auto& aOne) {
          return aOne.m_cut || aOne.m_have == m_end;
        });
      if (all) {
        return passed;
      }
      Step();
    }
    return Millis::max();
  }

  /** Returns how many daemons other than the leader follow the store. */
  [[nodiscard]] std::size_t FollowersReading() const
  {
    return static_cast<std::size_t>(std::count_if(
      m_daemons.begin() + 1, m_daemons.end(), [](const auto& aOne) {
        return aOne.m_followsStore;
      }));
  }

private:
  static constexpr Millis kStep{ 10 };

  struct Daemon
  {
    ReadSchedule m_schedule;
    EndConfirmation m_confirmation;
    Offset m_have = 0;
    TimePoint m_calledAt{};
    bool m_followsStore = false;
    bool m_cut = false;
  };

  ReaderRole RoleOf(std::size_t aIndex) const
  {
    ReaderRole role;
    role.m_leads = aIndex == 0;
    if (aIndex > 0 && aIndex <= m_successors) {
      role.m_successorIndex = aIndex - 1;
    }
    return role;
  }

  static void Deliver(Daemon& aOne, Offset aEnd)
  {
    aOne.m_have = std::max(aOne.m_have, aEnd);
    aOne.m_schedule.OnRead({ 0, aOne.m_have });
  }

  void Relay(Offset aEnd)
  {
    for (auto& one : m_daemons) {
      Deliver(one, aEnd);
    }
  }

  void SendHeartbeats()
  {
    for (std::size_t i = 0; i < m_daemons.size(); ++i) {
      const auto role = RoleOf(i);
      const auto& from = m_daemons[i];
      if (from.m_confirmation.m_at == TimePoint{} ||
          !(role.m_leads || role.m_successorIndex)) {
        continue;
      }
      for (std::size_t k = 0; k < m_daemons.size(); ++k) {
        m_daemons[k].m_schedule.OnPeerConfirmation(
          from.m_confirmation, i < k, { 0, m_daemons[k].m_have });
      }
    }
  }

  std::size_t m_successors;
  std::vector<Daemon> m_daemons;
  TimePoint m_now = kStart;
  TimePoint m_heartbeatAt = kStart;
  Offset m_end = 0;
};

} // namespace

TEST_CASE("a change reaches a fleet in time whichever daemons are cut off from "
          "the store",
          "[store]")
{
  rc::check([] {
    constexpr std::size_t kSuccessors = 4;
    VirtualFleet fleet(20, kSuccessors);
    const auto settle = *rc::gen::inRange(100, 700);
    for (int i = 0; i < settle; ++i) {
      fleet.Step();
    }
    const auto cut = *rc::gen::container<std::vector<std::size_t>>(
      rc::gen::inRange<std::size_t>(0, 19));
    for (const auto one : cut) {
      fleet.Cut(one);
    }
    const auto between = *rc::gen::inRange(0, 300);
    for (int i = 0; i < between; ++i) {
      fleet.Step();
    }
    RC_ASSERT(fleet.PropagationTime() <= Millis(1500));
    // The second change propagates with the daemons that read by now.
    RC_ASSERT(fleet.PropagationTime() <= Millis(1500));
  });
}

TEST_CASE("without faults only the leader reads", "[store]")
{
  VirtualFleet fleet(20, 4);
  for (int i = 0; i < 500; ++i) {
    fleet.Step();
  }
  CHECK(fleet.PropagationTime() <= Millis(50));
  CHECK(fleet.FollowersReading() == 0);
}
