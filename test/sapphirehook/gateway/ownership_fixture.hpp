#ifndef TEST_SAPPHIREHOOK_GATEWAY_OWNERSHIP_FIXTURE_HPP
#define TEST_SAPPHIREHOOK_GATEWAY_OWNERSHIP_FIXTURE_HPP

#include "sapphirehook/gateway/ownership.hpp"

#include "platform/protocol.hpp"
#include "platform/standin_formats.hpp"
#include "soak/leases.hpp"
#include "soak/store.hpp"
#include "support/loopback.hpp"

#include <catch2/catch.hpp>

/** Daemons' key ownership with a stand-in of the store and endpoints. */
namespace sapphirehook::ownership_fixture {

inline constexpr const char* kHealthPath = "/health";

/** An endpoint that answers every command at once. Its leases last as long as
    the grants say. */
struct Endpoint
{
  Endpoint(EventLoop& aLoop, const std::string& aName)
    : m_server(aLoop, [this](const HttpExchangePtr& aExchange) {
      aExchange->Answer(Execute(*aExchange));
    })
  {
    m_record.m_incarnation = { aName, 1 };
    m_record.m_service = "keyed";
    m_record.m_address = support::FreeAddress();
    m_record.m_zone = "z";
    m_record.m_slots = 6;
    REQUIRE(m_server.Listen(m_record.m_address));
  }

  /** Returns whether the endpoint holds a key. */
  [[nodiscard]] bool Holds(Key aKey) const
  {
    return m_leases.HeldFence(BootClock::now(), aKey).has_value();
  }

  HttpServer m_server;
  EndpointRecord m_record;
  unsigned m_commands = 0;
  /** Handover data in the answers to releases. */
  std::string m_handover = "h";

private:
  HttpReply Execute(const HttpExchange& aExchange)
  {
    constexpr int kOk = 200;
    constexpr int kConflict = 409;
    const TimePoint now = BootClock::now();
    if (const auto identity = platform::IdentityReply(
          aExchange.m_head, kHealthPath, m_record.m_incarnation.m_name)) {
      return *identity;
    }
    ++m_commands;
    if (platform::IsRelease(aExchange.m_head)) {
      m_leases.Release(platform::ReadRelease(aExchange.m_body)->m_range);
      return platform::HandoverReply(m_handover);
    }
    const auto grant = platform::ReadGrant(aExchange.m_body);
    return { m_leases.Grant(*grant, now + grant->m_leaseDuration) ? kOk
                                                                  : kConflict };
  }

  soak::Leases m_leases;
};

/** The key ownership component of one incarnation of a daemon. */
struct Daemon
{
  Daemon(EventLoop& aLoop,
         const GatewayProtocol& aProtocol,
         const sockaddr_in& aStore,
         std::uint64_t aIncarnation)
    : m_log("h")
    , m_engine(aLoop, aProtocol, m_log, { "z", BudgetConfig{} })
    , m_gossip(aLoop,
               { "h", aIncarnation },
               [](const HostId&, const GossipMessage&) {})
    , m_directory(Millis(1600))
    , m_liveness(m_directory, LivenessTimes{})
    , m_ownership(aLoop,
                  aProtocol,
                  m_log,
                  Settings(aStore),
                  m_gossip,
                  m_engine,
                  m_directory,
                  m_liveness)
  {
    REQUIRE(m_gossip.Bind(support::FreeAddress()));
    RoutingConfig config;
    config.m_version = 1;
    config.m_services["keyed"].m_keyed = true;
    config.m_services["keyed"].m_healthPath = kHealthPath;
    m_engine.SetRoutes(std::make_shared<const RouteTable>(config));
    m_ownership.SetStoreWorks(true);
  }

  static OwnershipSettings Settings(const sockaddr_in& aStore)
  {
    OwnershipSettings settings;
    settings.m_store = aStore;
    settings.m_processorShare = 0.2;
    settings.m_mapBytesPerSecond = 1e6;
    return settings;
  }

  void List(const Endpoint& aEndpoint)
  {
    const TimePoint now = BootClock::now();
    m_directory.OnRecord(now, aEndpoint.m_record);
    m_engine.SetEndpoints(now, m_directory);
    m_ownership.OnChange();
  }

  /** Returns whether a key is assigned and granted to an endpoint. */
  [[nodiscard]] bool IsAt(Key aKey, const std::string& aEndpoint)
  {
    const auto* route = m_engine.Ranges("keyed").Find(aKey);
    return route != nullptr && route->m_ready && route->m_endpoint == aEndpoint;
  }

  EventLog m_log;
  RequestEngine m_engine;
  Gossip m_gossip;
  EndpointDirectory m_directory;
  EndpointLiveness m_liveness;
  Ownership m_ownership;
};

struct Fixture
{
  Fixture()
    : m_store(m_loop, 1)
    , m_storeAddress(support::FreeAddress())
    , m_one(m_loop, "one")
    , m_two(m_loop, "two")
  {
    REQUIRE(m_store.Listen(m_storeAddress));
  }

  /** Has a daemon grant all keys to the first endpoint and resign. */
  void GrantAllToOne(Daemon& aDaemon)
  {
    aDaemon.List(m_one);
    REQUIRE(Until([&] { return aDaemon.IsAt(0, "one"); }));
    aDaemon.m_ownership.BeginStop();
    aDaemon.m_ownership.Resign();
    support::RunFor(m_loop, Millis(50));
  }

  bool Until(const std::function<bool()>& aCondition)
  {
    return support::RunUntil(m_loop, aCondition, Millis(8000));
  }

  EventLoop m_loop;
  GatewayProtocol m_protocol = platform::Protocol();
  soak::StandinStore m_store;
  sockaddr_in m_storeAddress;
  Endpoint m_one;
  Endpoint m_two;
};

} // namespace sapphirehook::ownership_fixture

#endif
