#ifndef SAPPHIREHOOK_SOAK_FLEET_HPP
#define SAPPHIREHOOK_SOAK_FLEET_HPP

#include "sapphirehook/http1/client.hpp"
#include "soak/checker.hpp"
#include "soak/endpoint.hpp"
#include "soak/process.hpp"
#include "soak/proxy.hpp"
#include "soak/store.hpp"

#include <memory>
#include <string>
#include <vector>

namespace sapphirehook::soak {

struct FleetOptions
{
  /** Paths of this program, which also runs the stand-ins, and of the gateway
      program. */
  std::string m_self;
  std::string m_gateway;
  /** Folder for settings, logs and histories. */
  std::string m_folder;
  std::size_t m_gateways = 4;
  std::size_t m_keyedEndpoints = 6;
  std::size_t m_plainEndpoints = 4;
  unsigned m_seed = 1;
};

/** A gateway with its process, settings and proxies. */
struct GatewayInstance
{
  std::string m_host;
  std::string m_settings;
  sockaddr_in m_callers{};
  sockaddr_in m_peers{};
  std::unique_ptr<LoopbackProxy> m_storeLink;
  std::unique_ptr<HttpClient> m_ready;
  std::unique_ptr<Process> m_process;
  bool m_hasRun = false;
  unsigned m_failedChecks = 2;
  bool m_frozen = false;
  /** A planned stop is in progress. */
  bool m_stopping = false;
};

/** An endpoint with its process, proxy and history file. */
struct EndpointInstance
{
  std::string m_name;
  std::string m_service;
  std::string m_zone;
  sockaddr_in m_listen{};
  sockaddr_in m_advertised{};
  std::unique_ptr<LoopbackProxy> m_link;
  std::unique_ptr<HttpClient> m_control;
  std::unique_ptr<Process> m_process;
  std::string m_historyFile;
  bool m_leaving = false;
};

/** The processes of a run on the loopback interface: a store, endpoints and
    gateways, connected through proxies. */
class Fleet
{
public:
  Fleet(EventLoop& aLoop,
        const GatewayProtocol& aProtocol,
        FleetOptions aOptions);

  /** Starts the store, then the endpoints and the gateways. */
  void Start();

  void StartGateway(std::size_t aIndex);
  void StartEndpoint(std::size_t aIndex, const std::string& aName);

  /** Marks an endpoint as leaving and starts a new endpoint of the same
      service. */
  void Replace(std::size_t aIndex);

  /** Records the end of an endpoint's process and reads the history that the
      process wrote. */
  void CollectHistory(EndpointInstance& aEndpoint, TimePoint aEndedAt);

  /** Writes a configuration to the store and calls the given function with the
      time at which the store accepted the configuration. */
  void PutConfig(bool aHasProbe, std::function<void(TimePoint)> aOnAccepted);

  /** Sends a call to the stand-in store. */
  void CallStore(const HttpCall& aCall);

  /** Sends a readiness check to all gateways. */
  void PollReadiness();

  /** Returns the gateways to which the load balancer would send new
      connections. */
  [[nodiscard]] std::vector<std::pair<std::size_t, sockaddr_in>> Rotation()
    const;

  /** Kills all processes that still run and reads the histories of the
      endpoints. */
  void StopAll();

  std::vector<GatewayInstance> m_gateways;
  std::vector<EndpointInstance> m_endpoints;
  DatagramProxy m_datagrams;
  /** Endpoint runs that have ended. */
  std::vector<EndpointRun> m_runs;

private:
  void AddEndpoint(const std::string& aService);
  [[nodiscard]] RoutingConfig Config(bool aHasProbe) const;
  void WriteSettings(GatewayInstance& aGateway, const sockaddr_in& aAdvertised);

  EventLoop& m_loop;
  const GatewayProtocol& m_protocol;
  FleetOptions m_options;
  sockaddr_in m_storeAddress;
  std::unique_ptr<Process> m_store;
  std::vector<std::unique_ptr<HttpClient>> m_storeClients;
  HttpClient m_configClient;
  DelayedCalls m_delayed;
  std::uint64_t m_configVersion = 0;
  unsigned m_nextName = 0;
  unsigned m_historyCount = 0;
};

} // namespace sapphirehook::soak

#endif
