#include "sapphirehook/admission/capacity_division.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

using namespace sapphirehook;

namespace {

/** Returns random demand of one to six kinds, some of equal urgency, and some
    without known work. */
std::vector<KindDemand>
RandomDemand()
{
  std::vector<KindDemand> kinds(*rc::gen::inRange<std::size_t>(1, 7));
  for (auto& kind : kinds) {
    kind.m_urgency = { *rc::gen::inRange(0U, 3U),
                       Millis(100 * *rc::gen::inRange(1, 4)) };
    kind.m_arrivals = *rc::gen::inRange(0, 1000);
    kind.m_workSeconds = *rc::gen::inRange(0, 500) / 1000.0;
  }
  return kinds;
}

} // namespace

// Guards against admitting more than the slots, or leaving slots idle while
// requests are refused.
TEST_CASE("admitted work fills the slots and never exceeds them", "[admission]")
{
  rc::prop("sum of the admitted work", [] {
    const auto kinds = RandomDemand();
    const double slots = *rc::gen::inRange(1, 500);
    const auto shares = DivideCapacity(kinds, slots);
    double demand = 0.0;
    double admitted = 0.0;
    for (std::size_t i = 0; i < kinds.size(); ++i) {
      RC_ASSERT(shares[i] >= 0.0 && shares[i] <= 1.0);
      demand += kinds[i].Slots();
      admitted += shares[i] * kinds[i].Slots();
    }
    RC_ASSERT(std::abs(admitted - std::min(demand, slots)) <
              1e-6 * demand + 1e-6);
  });
}

// Guards against starvation, and against a kind that fares better than a more
// urgent one of the service.
TEST_CASE("shares follow the urgency, and each kind has its floor",
          "[admission]")
{
  rc::prop("order and floors", [] {
    const auto kinds = RandomDemand();
    const auto shares = DivideCapacity(kinds, *rc::gen::inRange(1, 300));
    double arrivals = 0.0;
    double admitted = 0.0;
    for (std::size_t i = 0; i < kinds.size(); ++i) {
      arrivals += kinds[i].m_arrivals;
      admitted += shares[i] * kinds[i].m_arrivals;
      for (std::size_t j = 0; j < kinds.size(); ++j) {
        if (kinds[i].m_urgency < kinds[j].m_urgency) {
          RC_ASSERT(shares[i] >= shares[j]);
        }
        if (kinds[i].m_urgency == kinds[j].m_urgency) {
          RC_ASSERT(shares[i] == shares[j]);
        }
      }
    }
    for (const double share : shares) {
      RC_ASSERT(share * arrivals >= kFloorRatio * admitted - 1e-6 * arrivals);
    }
  });
}

TEST_CASE("urgent kinds get slots first, and others their floor", "[admission]")
{
  const KindDemand lookup{ { 0, Millis(400) }, 400.0, 0.1 };
  const KindDemand download{ { 2, Millis(2000) }, 400.0, 0.2 };
  SECTION("everything fits")
  {
    CHECK(DivideCapacity({ lookup, download }, 120.0) ==
          std::vector<double>{ 1.0, 1.0 });
  }
  SECTION("the less urgent kind gets the rest")
  {
    const auto shares = DivideCapacity({ download, lookup }, 80.0);
    CHECK(shares[0] == Approx(0.5));
    CHECK(shares[1] == Approx(1.0));
  }
  SECTION("the less urgent kind gets a quarter of the overall share")
  {
    const auto shares = DivideCapacity({ lookup, download }, 30.0);
    CHECK(shares[1] == Approx(0.25 * (shares[0] + shares[1]) / 2.0));
    CHECK(shares[0] * 40.0 + shares[1] * 80.0 == Approx(30.0));
  }
}
