#include "sapphirehook/placement/response_watch.hpp"

#include <catch2/catch.hpp>

using namespace sapphirehook;

namespace {

/** A request of 100 ms at an endpoint whose slots may be occupied. */
ResponseWatch
Watch(Millis aSilentFor, Millis aTimeLeft)
{
  ResponseWatch watch;
  watch.m_expectedService = Millis(100);
  watch.m_typical = Millis(100);
  watch.m_silentFor = aSilentFor;
  watch.m_timeLeft = aTimeLeft;
  watch.m_mayHaveBeenFull = true;
  watch.m_silentRequests = 1;
  return watch;
}

} // namespace

TEST_CASE("a request of seven times the mean is not abandoned", "[placement]")
{
  CHECK_FALSE(IsUnresponsive(Watch(Millis(750), Millis(2000))));
  CHECK(IsUnresponsive(Watch(Millis(800), Millis(2000))));
  auto queued = Watch(Millis(900), Millis(2000));
  queued.m_expectedQueue = Millis(100);
  CHECK_FALSE(IsUnresponsive(queued));
}

TEST_CASE("silence without a sign of overload is no reason to abandon",
          "[placement]")
{
  auto watch = Watch(Millis(5000), Millis(2000));
  watch.m_mayHaveBeenFull = false;
  CHECK_FALSE(IsUnresponsive(watch));
  watch.m_silentRequests = 2;
  CHECK(IsUnresponsive(watch));
  watch.m_silentRequests = 1;
  watch.m_stopping = true;
  CHECK(IsUnresponsive(watch));
}

TEST_CASE("a request is abandoned only while another attempt can be answered",
          "[placement]")
{
  CHECK_FALSE(IsUnresponsive(Watch(Millis(800), Millis(119))));
  // At the last moment, after at least four times the expected time.
  CHECK(IsUnresponsive(Watch(Millis(450), Millis(150))));
  CHECK_FALSE(IsUnresponsive(Watch(Millis(390), Millis(150))));
  // Several silent requests are evidence enough not to wait for it.
  auto several = Watch(Millis(400), Millis(2000));
  CHECK_FALSE(IsUnresponsive(several));
  several.m_silentRequests = 2;
  CHECK(IsUnresponsive(several));
}
