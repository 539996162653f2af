#include "sapphirehook/store/outage_watch.hpp"

#include <catch2/catch.hpp>

using namespace sapphirehook;

namespace {

constexpr Millis kShortestLapse{ 1740 };

constexpr TimePoint
At(int aMillis)
{
  return TimePoint(Millis(aMillis));
}

} // namespace

TEST_CASE("a removal right after a short outage is intended", "[store]")
{
  // Guards against requests to an endpoint that has left. The store refused a
  // leader at 16.5 s, and another daemon read for the fleet from 17.1 s on. An
  // endpoint that left in between received requests for 2.5 s, because its
  // entry was taken for lapsed.
  OutageWatch watch(kShortestLapse);
  watch.OnServed(At(15'900));
  watch.OnRefused(At(16'560));
  CHECK_FALSE(watch.MayHaveLapsed(At(17'100)));
  watch.OnServed(At(17'160));
  CHECK_FALSE(watch.MayHaveLapsed(At(17'170)));
  CHECK_FALSE(watch.MayHaveLapsed(At(18'500)));
}

TEST_CASE(
  "entries may have lapsed in a long outage until their writers have had "
  "time to rewrite them",
  "[store]")
{
  OutageWatch watch(kShortestLapse);
  watch.OnServed(At(1000));
  watch.OnRefused(At(2000));
  CHECK_FALSE(watch.MayHaveLapsed(At(3500)));
  CHECK(watch.MayHaveLapsed(At(3800)));
  watch.OnServed(At(9000));
  CHECK(watch.MayHaveLapsed(At(9001)));
  CHECK(watch.MayHaveLapsed(At(11'000)));
  CHECK_FALSE(watch.MayHaveLapsed(At(11'600)));
}

TEST_CASE(
  "an unresponsive store may have been unavailable since its last answer",
  "[store]")
{
  OutageWatch watch(kShortestLapse);
  watch.OnServed(At(1000));
  watch.OnTimeout(At(3000));
  CHECK(watch.MayHaveLapsed(At(3000)));
  watch.OnServed(At(3010));
  CHECK(watch.MayHaveLapsed(At(3020)));
}

TEST_CASE("no entry lapses in an outage in which the store serves peers",
          "[store]")
{
  OutageWatch watch(kShortestLapse);
  for (int now = 2000; now < 8000; now += 150) {
    watch.OnRefused(At(now));
    watch.OnServed(At(now + 40)); // reported by a peer
    CHECK_FALSE(watch.MayHaveLapsed(At(now + 50)));
  }
  // An answer from before the outage does not end it.
  watch.OnRefused(At(8000));
  watch.OnServed(At(7990));
  CHECK(watch.MayHaveLapsed(At(9800)));
}

TEST_CASE("entries may be missing for a while after the store was restored",
          "[store]")
{
  // Guards against endpoints that lose their work because the copy that the
  // store was restored from is older than their entries.
  OutageWatch watch(kShortestLapse);
  watch.OnServed(At(1000));
  watch.OnRefused(At(1100));
  watch.OnServed(At(1400)); // too short for entries to lapse
  CHECK_FALSE(watch.MayHaveLapsed(At(1410)));
  watch.OnRestored(At(1400));
  CHECK(watch.MayHaveLapsed(At(3800)));
  CHECK(watch.EndedAt(At(3800)) == At(1400));
  CHECK_FALSE(watch.MayHaveLapsed(At(3900)));
}

TEST_CASE("the wait for lapsed entries begins at the end of the outage",
          "[store]")
{
  OutageWatch watch(kShortestLapse);
  watch.OnServed(At(1000));
  watch.OnRefused(At(2000));
  CHECK(watch.EndedAt(At(4000)) == At(4000));
  watch.OnServed(At(5000));
  REQUIRE(watch.MayHaveLapsed(At(5600)));
  CHECK(watch.EndedAt(At(5600)) == At(5000));
}
