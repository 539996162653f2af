#include "sapphirehook/gateway/map_exchange.hpp"

#include "platform/protocol.hpp"
#include "support/loopback.hpp"

#include <catch2/catch.hpp>

using namespace sapphirehook;

namespace {

constexpr double kBytesPerSecond = 1e6;

/** A daemon's map and messages. */
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
      if (!m_deaf) {
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
  bool m_deaf = false;
  unsigned m_updates = 0;
};

/** A leader and a follower. */
struct Bed
{
  Bed()
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

  /** Tells the follower the leader's digests, as beats do. */
  bool Converges()
  {
    return support::RunUntil(m_loop, [&] {
      const auto told = m_leader.m_maps.Digests("s");
      m_follower.m_maps.OnDigests(m_leader.m_gossip.Self(), { { "s", told } });
      return told == m_follower.m_maps.Digests("s");
    });
  }

  EventLoop m_loop;
  GatewayProtocol m_protocol;
  Daemon m_leader;
  Daemon m_follower;
};

} // namespace

TEST_CASE("a follower that missed changes asks for the blocks that differ",
          "[gateway]")
{
  Bed bed;
  bed.m_follower.m_deaf = true;
  bed.Publish(1024);
  support::RunFor(bed.m_loop, Millis(50));
  CHECK_FALSE(bed.m_follower.m_engine.Ranges("s").IsComplete());
  bed.m_follower.m_deaf = false;
  REQUIRE(bed.Converges());
  CHECK(bed.m_follower.m_engine.Ranges("s").IsComplete());

  SECTION("one lost change is one block sent anew")
  {
    bed.m_follower.m_deaf = true;
    bed.m_leader.m_maps.Publish("s", { { { 5000, 5001 }, "x", true } });
    support::RunFor(bed.m_loop, Millis(50));
    bed.m_follower.m_deaf = false;
    const unsigned before = bed.m_follower.m_updates;
    REQUIRE(bed.Converges());
    CHECK(bed.m_follower.m_updates - before <= 2);
    const auto* route = bed.m_follower.m_engine.Ranges("s").Find(5000);
    REQUIRE(route != nullptr);
    CHECK(route->m_endpoint == "x");
  }
}

TEST_CASE("a follower that knows the map is sent nothing by a new leader",
          "[gateway]")
{
  Bed bed;
  bed.Publish(256);
  REQUIRE(bed.Converges());
  support::RunFor(bed.m_loop, Millis(50));
  const unsigned before = bed.m_follower.m_updates;
  bed.m_leader.m_maps.BeginLeading(2);
  REQUIRE(bed.Converges());
  support::RunFor(bed.m_loop, Millis(100));
  CHECK(bed.m_follower.m_updates == before);
}
