#include "sapphirehook/keys/key_limits.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace sapphirehook;

// Guards against a hot key that takes its endpoint's other keys with it.
TEST_CASE("a hot key gets what its endpoint has left", "[keys]")
{
  // 185 requests a second for one key, at an endpoint for 20 that has others.
  const auto limits = LimitHotKeys(20.0, 6.0, { { 7, 185.0 }, { 8, 2.0 } });
  REQUIRE(limits.size() == 1);
  CHECK(limits.front().m_key == 7);
  CHECK(limits.front().m_admittedPermille == 54); // (18 - 6 - 2) / 185
  CHECK(LimitHotKeys(20.0, 6.0, { { 7, 9.0 } }).empty());
}

TEST_CASE("limits keep any endpoint within its capacity", "[keys]")
{
  rc::check([] {
    const double capacity = *rc::gen::inRange(1, 200);
    const double other = *rc::gen::inRange(0, 300);
    std::vector<KeyRate> hot;
    for (Key key = 0; key < 20; ++key) {
      hot.push_back({ key, *rc::gen::inRange(1, 400) * 1.0 });
    }
    double admitted = other;
    for (const auto& key : hot) {
      admitted += key.m_rate;
    }
    for (const auto& limit : LimitHotKeys(capacity, other, hot)) {
      admitted -= hot[limit.m_key].m_rate *
                  (1000 - static_cast<int>(limit.m_admittedPermille)) / 1000.0;
      RC_ASSERT(limit.m_admittedPermille < 1000U);
    }
    double floor = 0.0;
    for (const auto& key : hot) {
      floor += 0.0215 * key.m_rate; // the least share, and rounding
    }
    RC_ASSERT(admitted <= std::max(capacity, other) + floor);
  });
}

TEST_CASE("a daemon admits the share of a limited key until the limit expires",
          "[keys]")
{
  KeyAdmission admission;
  const TimePoint start(Millis(1000));
  admission.Set(start, { { 7, 250 } });
  int admitted = 0;
  for (int i = 0; i < 400; ++i) {
    admitted += admission.Admit(start, 7) ? 1 : 0;
    CHECK(admission.Admit(start, 8));
    if (i % 10 == 0) {
      admission.Set(start, { { 7, 250 } }); // keeps the credit
    }
  }
  CHECK(admitted == 100);
  // The leader is gone and no other has taken over.
  CHECK(admission.Admit(start + Millis(3000), 7));
  CHECK(admission.Size() == 0);
}
