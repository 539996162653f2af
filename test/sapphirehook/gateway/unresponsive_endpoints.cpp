#include "engine_fixture.hpp"

using namespace sapphirehook;
using namespace sapphirehook::engine_fixture;

namespace {

using Connection = ScriptedEndpoint::Connection;

/** Ignores all requests, as an endpoint whose queue is full may do. */
void
Ignore(Connection& /*aConnection*/, const RequestHead& /*aHead*/)
{
}

/** Lists both endpoints and lets the first one get the next request: the second
    one is near its limit according to a peer. */
void
PreferFirst(Fixture& aFixture, std::uint32_t aRunningAtFirst)
{
  EndpointUse first;
  first.m_endpoint = static_cast<std::uint32_t>(StableHash("one"));
  first.m_running = aRunningAtFirst;
  EndpointUse second;
  second.m_endpoint = static_cast<std::uint32_t>(StableHash("two"));
  second.m_running = 7;
  aFixture.m_engine.OnPeerUse(BootClock::now(), "peer", { first, second });
}

/** A fixture whose first endpoint never answers. */
struct SilentFirst : Fixture
{
  SilentFirst()
  {
    List("plain");
    m_one.m_script = Ignore;
  }
};

} // namespace

TEST_CASE("an idempotent request is not lost at an endpoint that never answers",
          "[gateway][unresponsive]")
{
  SilentFirst fixture;
  PreferFirst(fixture, 5);
  const auto answer = fixture.Ask("/safe/x", "a");
  CHECK(Fixture::HasStatus(answer, 200));
  CHECK(fixture.m_one.m_arrived.size() == 1);
  CHECK(fixture.m_two.m_arrived.size() == 1);
  CHECK(fixture.m_engine.Metrics().m_unresponsive == 1);
  // The connection is reset, so that the endpoint can drop the request.
  CHECK(fixture.Until([&] { return fixture.m_one.m_ended == 1; }));
  // The endpoint counts as full for a short time.
  CHECK(Fixture::HasStatus(fixture.Ask("/safe/x", "b"), 200));
  CHECK(fixture.m_one.m_arrived.size() == 1);
}

TEST_CASE("a request that must not be repeated stays at a silent endpoint",
          "[gateway][unresponsive]")
{
  SilentFirst fixture;
  PreferFirst(fixture, 5);
  CHECK(Fixture::HasStatus(fixture.Ask("/once/x", "a"), 504));
  CHECK(fixture.Arrived() == 1);
}

TEST_CASE("a slow endpoint without sign of overload keeps its request",
          "[gateway][unresponsive]")
{
  SilentFirst fixture;
  PreferFirst(fixture, 0);
  CHECK(Fixture::HasStatus(fixture.Ask("/safe/x", "a"), 504));
  CHECK(fixture.Arrived() == 1);
}

TEST_CASE("without retry budget a request stays at a silent endpoint",
          "[gateway][unresponsive]")
{
  SilentFirst fixture;
  fixture.m_engine.SetBudget({ 0.0, 0.0, std::chrono::seconds(10) });
  PreferFirst(fixture, 5);
  CHECK(Fixture::HasStatus(fixture.Ask("/safe/x", "a"), 504));
  CHECK(fixture.Arrived() == 1);
  CHECK(fixture.m_engine.Metrics().m_unresponsiveKept == 1);
}

TEST_CASE("a stopping daemon sends a silent request elsewhere",
          "[gateway][unresponsive]")
{
  SilentFirst fixture;
  PreferFirst(fixture, 0);
  fixture.BeginStop();
  CHECK(Fixture::HasStatus(fixture.Ask("/safe/x", "a"), 200));
  CHECK(fixture.Arrived() == 2);
}

TEST_CASE("a stopping daemon answers unanswered requests before it ends",
          "[gateway][unresponsive]")
{
  // Until now such a request was cut off without an answer.
  for (const bool isQueued : { false, true }) {
    Fixture fixture;
    fixture.SetScript(Ignore);
    if (!isQueued) {
      fixture.List("plain");
    }
    const TimePoint began = BootClock::now();
    fixture.Send("GET /once/x HTTP/1.1\r\nHost: h\r\n\r\n");
    fixture.Until([&] { return fixture.Arrived() == 1; }, Millis(50));
    // The request has 600 ms; the process ends after 400 ms.
    fixture.BeginStop(Millis(2000), Millis(400));
    CHECK(fixture.Until([&] { return fixture.m_callerEnded; }));
    CHECK(BootClock::now() - began < Millis(400));
    CHECK(Fixture::HasStatus(fixture.m_received, isQueued ? 503 : 504));
    CHECK(fixture.m_received.find("Connection: close") != std::string::npos);
  }
}

TEST_CASE("downloads beyond the link's capacity wait, other requests do not",
          "[gateway][download]")
{
  // 10 Mbit/s carry 5 answers of the assumed 90 KB in the objective of 400 ms.
  Fixture fixture(10.0);
  fixture.List("plain");
  fixture.SetScript(Ignore);
  for (int i = 0; i < 7; ++i) {
    fixture.Send("GET /large/x HTTP/1.1\r\nHost: h\r\n\r\n");
  }
  CHECK(fixture.Until([&] { return fixture.Arrived() == 5; }));
  CHECK_FALSE(fixture.Until([&] { return fixture.Arrived() > 5; }, Millis(50)));
  CHECK(fixture.m_engine.Metrics().m_linkFull == 2);
  fixture.Send("GET /safe/x HTTP/1.1\r\nHost: h\r\n\r\n");
  CHECK(fixture.Until([&] { return fixture.Arrived() == 6; }, Millis(150)));
  // The capacity of requests that end is used again.
  fixture.m_caller.reset();
  fixture.Until([] { return false; }, Millis(50));
  fixture.SetScript(ScriptedEndpoint::Serve);
  CHECK(Fixture::HasStatus(fixture.Ask("/large/x", "a"), 200));
}
