#include "sapphirehook/gateway/ownership_fixture.hpp"

using namespace sapphirehook;
using namespace sapphirehook::ownership_fixture;

namespace {

/** An endpoint of another service. Counts the commands that it gets. */
struct OtherEndpoint
{
  OtherEndpoint(EventLoop& aLoop, const sockaddr_in& aAddress)
    : m_server(aLoop, [this](const HttpExchangePtr& aExchange) {
      const auto identity =
        platform::IdentityReply(aExchange->m_head, kHealthPath, "other");
      m_commands += identity ? 0 : 1;
      aExchange->Answer(identity.value_or(HttpReply{}));
    })
  {
    REQUIRE(m_server.Listen(aAddress));
  }

  HttpServer m_server;
  unsigned m_commands = 0;
};

} // namespace

// Guards against keys with two owners (review/11): an endpoint that gets the
// address of a lost one of another service took the grants for it, with fences
// of the other service, and its keys were ended by releases for it.
TEST_CASE("an endpoint that gets the address of a lost one gets no commands "
          "for it",
          "[gateway]")
{
  Fixture fixture;
  Daemon daemon(fixture.m_loop, fixture.m_protocol, fixture.m_storeAddress, 1);
  daemon.List(fixture.m_one);
  REQUIRE(fixture.Until([&] { return daemon.IsAt(0, "one"); }));
  fixture.m_one.m_server.StopListening();
  fixture.m_one.m_server.ResetAll();
  support::RunFor(fixture.m_loop, LivenessTimes{}.m_addressReuse + Millis(20));
  OtherEndpoint other(fixture.m_loop, fixture.m_one.m_record.m_address);
  // The lost endpoint is still listed.
  support::RunFor(fixture.m_loop, Millis(1200));
  CHECK(other.m_commands == 0);
  daemon.m_directory.OnRemoved(BootClock::now(), "one", std::nullopt);
  daemon.List(fixture.m_two);
  CHECK(fixture.Until([&] { return daemon.IsAt(0, "two"); }));
  CHECK(other.m_commands == 0);
}
