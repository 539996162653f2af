#include "sapphirehook/store/outage_watch.hpp"

#include <catch2/catch.hpp>

using namespace sapphirehook;

namespace {

constexpr Millis kShortest{ 1740 };

constexpr TimePoint
At(int aMillis)
{
  return TimePoint(Millis(aMillis));
}

} // namespace

TEST_CASE("a removal right after a short outage is meant", "[store]")
{
  // A leader was refused at 16.5 s of a day and another daemon read for the
  // fleet from 17.1 s on; an endpoint that had left meanwhile got requests for
  // 2.5 s, as if its entry had lapsed.
  OutageWatch watch(kShortest);
  watch.OnServed(At(15'900));
  watch.OnRefused(At(16'560));
  CHECK_FALSE(watch.MayHaveLapsed(At(17'100)));
  watch.OnServed(At(17'160));
  CHECK_FALSE(watch.MayHaveLapsed(At(17'170)));
  CHECK_FALSE(watch.MayHaveLapsed(At(18'500)));
}

TEST_CASE("entries may have lapsed in a long outage, until they are back",
          "[store]")
{
  OutageWatch watch(kShortest);
  watch.OnServed(At(1000));
  watch.OnRefused(At(2000));
  CHECK_FALSE(watch.MayHaveLapsed(At(3500)));
  CHECK(watch.MayHaveLapsed(At(3800)));
  watch.OnServed(At(9000));
  CHECK(watch.MayHaveLapsed(At(9001)));
  CHECK(watch.MayHaveLapsed(At(11'000)));
  CHECK_FALSE(watch.MayHaveLapsed(At(11'600)));
}

TEST_CASE("a silent store may have been away since it last answered", "[store]")
{
  OutageWatch watch(kShortest);
  watch.OnServed(At(1000));
  watch.OnTimeout(At(3000));
  CHECK(watch.MayHaveLapsed(At(3000)));
  watch.OnServed(At(3010));
  CHECK(watch.MayHaveLapsed(At(3020)));
}

TEST_CASE("an outage in which peers are served lapses nothing", "[store]")
{
  OutageWatch watch(kShortest);
  for (int now = 2000; now < 8000; now += 150) {
    watch.OnRefused(At(now));
    watch.OnServed(At(now + 40)); // a peer's word
    CHECK_FALSE(watch.MayHaveLapsed(At(now + 50)));
  }
  // An answer from before the outage says nothing of it.
  watch.OnRefused(At(8000));
  watch.OnServed(At(7990));
  CHECK(watch.MayHaveLapsed(At(9800)));
}

TEST_CASE("entries that lapsed are waited for from the end of an outage",
          "[store]")
{
  OutageWatch watch(kShortest);
  watch.OnServed(At(1000));
  watch.OnRefused(At(2000));
  CHECK(watch.EndedAt(At(4000)) == At(4000));
  watch.OnServed(At(5000));
  REQUIRE(watch.MayHaveLapsed(At(5600)));
  CHECK(watch.EndedAt(At(5600)) == At(5000));
}
