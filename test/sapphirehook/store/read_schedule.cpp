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
Heir(std::size_t aPlace)
{
  return { false, aPlace };
}

/** A daemon that a leader vouches for, up to offset 7. */
ReadSchedule
Vouched(const ReaderRole& aPlace)
{
  ReadSchedule duty;
  duty.OnOwnConfirmation({ 7, kStart - Millis(10'000), {} });
  duty.OnPeerConfirmation({ 7, kStart, {} }, true, 7);
  static_cast<void>(duty.Next(kStart, aPlace));
  return duty;
}

/** Returns how long after the last proof a daemon reads by itself. */
Millis
ReadsAfter(const ReaderRole& aPlace)
{
  auto duty = Vouched(aPlace);
  for (Millis passed{ 0 };; passed += Millis(1)) {
    if (duty.Next(kStart + passed, aPlace).m_followsStore) {
      return passed;
    }
  }
}

} // namespace

TEST_CASE("a daemon reads by itself once the last proof of an end is old",
          "[store]")
{
  // Changes are to be in force within 2 s (config-apply-ms).
  CHECK(ReadsAfter(Heir(0)) < ReadsAfter(Heir(1)));
  CHECK(ReadsAfter(Heir(3)) < ReadsAfter(kOther));
  CHECK(ReadsAfter(Heir(50)) == ReadsAfter(kOther));
  CHECK(ReadsAfter(kOther) <= Millis(1500));
  // Two calls of a leader may pass before an heir reads.
  CHECK(ReadsAfter(Heir(0)) > kConfirmationInterval + Millis(300));
  CHECK(ReadsAfter(kLeader) == Millis(0));
}

TEST_CASE("an own read puts the next one off", "[store]")
{
  auto duty = Vouched(kOther);
  const TimePoint read = kStart + Millis(1000);
  duty.OnOwnConfirmation({ 7, read, {} });
  CHECK_FALSE(duty.Next(kStart + Millis(1500), kOther).m_followsStore);
  CHECK(duty.Next(read + Millis(1500), kOther).m_followsStore);
}

TEST_CASE("a proof of an end that a daemon has not read up to counts later",
          "[store]")
{
  auto duty = Vouched(kOther);
  duty.OnPeerConfirmation({ 9, kStart + Millis(1400), {} }, true, 7);
  CHECK(duty.CompleteAt() == kStart);
  duty.OnRead(8);
  CHECK(duty.CompleteAt() == kStart);
  duty.OnRead(9);
  CHECK(duty.CompleteAt() == kStart + Millis(1400));
  CHECK_FALSE(duty.Next(kStart + Millis(1500), kOther).m_followsStore);
}

TEST_CASE("heirs do not wait for each other", "[store]")
{
  auto first = Vouched(Heir(0));
  const TimePoint late = kStart + Millis(3000);
  REQUIRE(first.Next(late, Heir(0)).m_followsStore);
  // The second heir reads too; the first one reads on.
  first.OnPeerConfirmation({ 7, late, {} }, false, 7);
  CHECK(first.Next(late + Millis(100), Heir(0)).m_followsStore);
  auto second = Vouched(Heir(1));
  REQUIRE(second.Next(late, Heir(1)).m_followsStore);
  TimePoint now = late;
  for (int i = 0; i < 10; ++i) {
    now += kConfirmationInterval;
    second.OnPeerConfirmation({ 7, now, {} }, true, 7);
    static_cast<void>(second.Next(now, Heir(1)));
  }
  CHECK_FALSE(second.Next(now, Heir(1)).m_followsStore);
}

namespace {

/** A fleet in virtual time: every daemon decides by itself; calls of those that
    have the store are answered at once, those of the others never. */
class VirtualFleet
{
public:
  VirtualFleet(std::size_t aDaemons, std::size_t aHeirs)
    : m_heirs(aHeirs)
    , m_daemons(aDaemons)
  {
    for (auto& one : m_daemons) {
      one.m_duty.OnOwnConfirmation({ 0, m_now, {} });
    }
  }

  void Cut(std::size_t aDaemon) { m_daemons[aDaemon].m_cut = true; }

  void Change() { ++m_end; }

  void Step()
  {
    m_now += kStep;
    for (std::size_t i = 0; i < m_daemons.size(); ++i) {
      auto& one = m_daemons[i];
      const auto place = PlaceOf(i);
      const bool followed = one.m_followsStore;
      one.m_followsStore = one.m_duty.Next(m_now, place).m_followsStore;
      if (!one.m_followsStore || one.m_cut) {
        continue;
      }
      // A long call is answered by a change, or after its wait.
      const bool due = !followed || one.m_have < m_end ||
                       m_now >= one.m_calledAt + kConfirmationInterval;
      if (due) {
        one.m_calledAt = m_now;
        one.m_proof = { m_end, m_now, {} };
        Take(one, m_end);
        one.m_duty.OnOwnConfirmation(one.m_proof);
        if (place.m_leads || place.m_successorIndex) {
          PassOn(m_end);
        }
      }
    }
    if (m_now >= m_beatAt + Millis(150)) {
      m_beatAt = m_now;
      Beat();
    }
  }

  /** Returns how long it takes until all but the cut ones have a change. */
  Millis Spread()
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

  /** Calls that were answered to daemons but the leader. */
  [[nodiscard]] std::size_t Followers() const
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
    ReadSchedule m_duty;
    EndConfirmation m_proof;
    Offset m_have = 0;
    TimePoint m_calledAt{};
    bool m_followsStore = false;
    bool m_cut = false;
  };

  ReaderRole PlaceOf(std::size_t aIndex) const
  {
    ReaderRole place;
    place.m_leads = aIndex == 0;
    if (aIndex > 0 && aIndex <= m_heirs) {
      place.m_successorIndex = aIndex - 1;
    }
    return place;
  }

  static void Take(Daemon& aOne, Offset aEnd)
  {
    aOne.m_have = std::max(aOne.m_have, aEnd);
    aOne.m_duty.OnRead(aOne.m_have);
  }

  void PassOn(Offset aEnd)
  {
    for (auto& one : m_daemons) {
      Take(one, aEnd);
    }
  }

  void Beat()
  {
    for (std::size_t i = 0; i < m_daemons.size(); ++i) {
      const auto place = PlaceOf(i);
      const auto& from = m_daemons[i];
      if (from.m_proof.m_at == TimePoint{} ||
          !(place.m_leads || place.m_successorIndex)) {
        continue;
      }
      for (std::size_t k = 0; k < m_daemons.size(); ++k) {
        m_daemons[k].m_duty.OnPeerConfirmation(
          from.m_proof, i < k, m_daemons[k].m_have);
      }
    }
  }

  std::size_t m_heirs;
  std::vector<Daemon> m_daemons;
  TimePoint m_now = kStart;
  TimePoint m_beatAt = kStart;
  Offset m_end = 0;
};

} // namespace

TEST_CASE("a change reaches a fleet in time whoever has lost the store",
          "[store]")
{
  rc::check([] {
    constexpr std::size_t kHeirs = 4;
    VirtualFleet fleet(20, kHeirs);
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
    RC_ASSERT(fleet.Spread() <= Millis(1500));
    // And again, with whoever reads by now.
    RC_ASSERT(fleet.Spread() <= Millis(1500));
  });
}

TEST_CASE("in calm nobody reads but the leader", "[store]")
{
  VirtualFleet fleet(20, 4);
  for (int i = 0; i < 500; ++i) {
    fleet.Step();
  }
  CHECK(fleet.Spread() <= Millis(50));
  CHECK(fleet.Followers() == 0);
}
