#ifndef SAPPHIREHOOK_SOAK_FLEET_HPP
#define SAPPHIREHOOK_SOAK_FLEET_HPP

#include "sapphirehook/http1/client.hpp"
#include "soak/endpoint.hpp"
#include "soak/judge.hpp"
#include "soak/process.hpp"
#include "soak/proxy.hpp"
#include "soak/store.hpp"

#include <memory>
#include <string>
#include <vector>

namespace sapphirehook::soak {

struct FleetOptions
{
  /** This program, which is also the stand-ins, and the gateway. */
  std::string m_self;
  std::string m_gateway;
  /** Folder of settings, logs and journals. */
  std::string m_folder;
  std::size_t m_gateways = 4;
  std::size_t m_keyedEndpoints = 6;
  std::size_t m_plainEndpoints = 4;
  unsigned m_seed = 1;
};

/** A gateway and what stands around it. */
struct GatewayHost
{
  std::string m_host;
  std::string m_settings;
  sockaddr_in m_callers{};
  sockaddr_in m_peers{};
  std::unique_ptr<LoopbackProxy> m_storeLink;
  std::unique_ptr<HttpClient> m_ready;
  std::unique_ptr<Process> m_process;
  unsigned m_misses = 2;
  bool m_frozen = false;
  /** A planned stop is under way. */
  bool m_stopping = false;
};

/** An endpoint and what stands around it. */
struct EndpointHost
{
  std::string m_name;
  std::string m_service;
  std::string m_zone;
  sockaddr_in m_listen{};
  sockaddr_in m_advertised{};
  std::unique_ptr<LoopbackProxy> m_link;
  std::unique_ptr<HttpClient> m_control;
  std::unique_ptr<Process> m_process;
  std::string m_journal;
  bool m_leaving = false;
};

/** The processes of a run, on loopback: a store, endpoints and gateways, with
    proxies between them. */
class Fleet
{
public:
  Fleet(EventLoop& aLoop,
        const GatewayProtocol& aProtocol,
        FleetOptions aOptions);

  /** Starts the store, then everything else. */
  void Start();

  void StartGateway(std::size_t aIndex);
  void StartEndpoint(std::size_t aIndex, const std::string& aName);

  /** Adds an endpoint that takes another's place. */
  void Replace(std::size_t aIndex);

  /** Notes that an endpoint's process has ended, and what it wrote. */
  void Collect(EndpointHost& aEndpoint, TimePoint aEndedAt);

  /** Puts a configuration in force; the given function learns when the store
      has accepted it. */
  void PutConfig(bool aHasProbe, std::function<void(TimePoint)> aOnAccepted);

  /** Makes a call to the store's stand-in. */
  void CallStore(const HttpCall& aCall);

  /** Asks all gateways whether they take callers. */
  void AskReady();

  /** Gateways that the balancer sends new connections to. */
  [[nodiscard]] std::vector<std::pair<std::size_t, sockaddr_in>> Rotation()
    const;

  /** Ends all processes that are left, and collects their journals. */
  void End();

  std::vector<GatewayHost> m_gateways;
  std::vector<EndpointHost> m_endpoints;
  DatagramProxy m_datagrams;
  /** Runs of endpoints that have ended. */
  std::vector<EndpointRun> m_runs;

private:
  void AddEndpoint(const std::string& aService);
  [[nodiscard]] RoutingConfig Config(bool aHasProbe) const;
  void WriteSettings(GatewayHost& aGateway, const sockaddr_in& aKnown);

  EventLoop& m_loop;
  const GatewayProtocol& m_protocol;
  FleetOptions m_options;
  sockaddr_in m_storeAddress;
  std::unique_ptr<Process> m_store;
  std::vector<std::unique_ptr<HttpClient>> m_storeClients;
  HttpClient m_configClient;
  DelayedCalls m_delayed;
  std::uint64_t m_configVersion = 0;
  unsigned m_names = 0;
  unsigned m_journals = 0;
};

} // namespace sapphirehook::soak

#endif
