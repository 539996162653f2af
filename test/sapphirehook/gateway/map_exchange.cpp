#include "sapphirehook/gateway/map_exchange.hpp"

#include "platform/protocol.hpp"
#include "support/loopback.hpp"

#include <catch2/catch.hpp>

using namespace sapphirehook;

namespace {

constexpr double kBytesPerSecond = 1e6;

/** The route maps and the gossip of a daemon. */
struct Daemon
{
  Daemon(EventLoop& aLoop, const GatewayProtocol& aProtocol, std::string aHost)
    : m_log(aHost)
    , m_engine(aLoop, aProtocol, m_log, { "z", BudgetConfig{} })
    , m_address(support::FreeAddress())
    , m_gossip(aLoop,
               { aHost, 1 },
               [this](const HostId& aFrom, const GossipMessage& aMessage) {
                 OnMessage(aFrom, aMessage);
               })
    , m_maps(aLoop, m_gossip, m_engine, kBytesPerSecond)
  {
    REQUIRE(m_gossip.Bind(m_address));
  }

  void OnMessage(const HostId& aFrom, const GossipMessage& aMessage)
  {
    if (const auto* update = std::get_if<RouteUpdate>(&aMessage)) {
      ++m_updates;
      if (!m_ignoresUpdates) {
        m_maps.OnUpdate(*update);
      }
    } else if (const auto* request = std::get_if<RouteRequest>(&aMessage)) {
      m_maps.OnRequest(aFrom, *request);
    }
  }

  EventLog m_log;
  RequestEngine m_engine;
  sockaddr_in m_address;
  Gossip m_gossip;
  MapExchange m_maps;
  bool m_ignoresUpdates = false;
  unsigned m_updates = 0;
};

/** A leader and a follower. */
struct Fixture
{
  Fixture()
    : m_protocol(platform::Protocol())
    , m_leader(m_loop, m_protocol, "leader")
    , m_follower(m_loop, m_protocol, "follower")
  {
    m_leader.m_gossip.AddPeer("follower", m_follower.m_address);
    m_follower.m_gossip.AddPeer("leader", m_leader.m_address);
    m_leader.m_maps.BeginLeading(1);
  }

  void Publish(unsigned aRanges)
  {
    std::vector<RangeRoute> routes;
    const std::uint32_t size = kKeyCount / aRanges;
    for (unsigned i = 0; i < aRanges; ++i) {
      routes.push_back(
        { { static_cast<Key>(i * size), static_cast<Key>((i + 1) * size - 1) },
          "e" + std::to_string(i % 7),
          true });
    }
    m_leader.m_maps.Publish("s", routes);
  }

  /** Passes the leader's digests to the follower, as heartbeats do, until the
      maps agree. Returns whether they agreed in time. */
  bool AwaitConvergence()
  {
    return support::RunUntil(m_loop, [&] {
      const auto digests = m_leader.m_maps.Digests("s");
      m_follower.m_maps.OnDigests(m_leader.m_gossip.Self(),
                                  { { "s", digests } });
      return digests == m_follower.m_maps.Digests("s");
    });
  }

  EventLoop m_loop;
  GatewayProtocol m_protocol;
  Daemon m_leader;
  Daemon m_follower;
};

} // namespace

TEST_CASE("a follower that missed changes requests the blocks that differ",
          "[gateway]")
{
  Fixture fixture;
  fixture.m_follower.m_ignoresUpdates = true;
  fixture.Publish(1024);
  support::RunFor(fixture.m_loop, Millis(50));
  CHECK_FALSE(fixture.m_follower.m_engine.Ranges("s").IsComplete());
  fixture.m_follower.m_ignoresUpdates = false;
  REQUIRE(fixture.AwaitConvergence());
  CHECK(fixture.m_follower.m_engine.Ranges("s").IsComplete());

  SECTION("one lost change causes one block to be resent")
  {
    fixture.m_follower.m_ignoresUpdates = true;
    fixture.m_leader.m_maps.Publish("s", { { { 5000, 5001 }, "x", true } });
    support::RunFor(fixture.m_loop, Millis(50));
    fixture.m_follower.m_ignoresUpdates = false;
    const unsigned before = fixture.m_follower.m_updates;
    REQUIRE(fixture.AwaitConvergence());
    CHECK(fixture.m_follower.m_updates - before <= 2);
    const auto* route = fixture.m_follower.m_engine.Ranges("s").Find(5000);
    REQUIRE(route != nullptr);
    CHECK(route->m_endpoint == "x");
  }
}

TEST_CASE("a new leader sends no updates to a follower whose map is current",
          "[gateway]")
{
  Fixture fixture;
  fixture.Publish(256);
  REQUIRE(fixture.AwaitConvergence());
  support::RunFor(fixture.m_loop, Millis(50));
  const unsigned before = fixture.m_follower.m_updates;
  fixture.m_leader.m_maps.BeginLeading(2);
  REQUIRE(fixture.AwaitConvergence());
  support::RunFor(fixture.m_loop, Millis(100));
  CHECK(fixture.m_follower.m_updates == before);
}
