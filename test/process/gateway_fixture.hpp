#ifndef SAPPHIREHOOK_TEST_PROCESS_GATEWAY_FIXTURE_HPP
#define SAPPHIREHOOK_TEST_PROCESS_GATEWAY_FIXTURE_HPP

#include "sapphirehook/gateway/protocol.hpp"
#include "sapphirehook/http1/server.hpp"
#include "soak/fleet.hpp"

#include <filesystem>
#include <functional>
#include <set>
#include <string>
#include <vector>

namespace sapphirehook::test {

/** Runs gateways as processes, with a store inside the test and no endpoints.
 */
class GatewayFixture
{
public:
  explicit GatewayFixture(std::size_t aGateways);
  ~GatewayFixture();
  GatewayFixture(const GatewayFixture&) = delete;
  GatewayFixture& operator=(const GatewayFixture&) = delete;

  [[nodiscard]] EventLoop& Loop() noexcept { return m_loop; }
  [[nodiscard]] const GatewayProtocol& Protocol() const noexcept
  {
    return m_protocol;
  }
  [[nodiscard]] std::size_t Gateways() const noexcept
  {
    return m_fleet.m_gateways.size();
  }
  [[nodiscard]] sockaddr_in CallersAddress(std::size_t aGateway) const
  {
    return m_fleet.m_gateways[aGateway].m_callers;
  }

  /** Writes a configuration to the store. */
  void PutConfig(const RoutingConfig& aConfig);

  /** Writes the entry of an endpoint to the store. */
  void PutEndpoint(const EndpointRecord& aRecord);

  /** Writes a value to a topic of the store. An empty value removes the key. */
  void PutRecord(const std::string& aTopic,
                 const std::string& aKey,
                 const std::string& aValue);

  /** Makes a call to the store. */
  void CallStore(const HttpCall& aCall) { m_fleet.CallStore(aCall); }

  /** Kills a gateway and restarts it. */
  void Restart(std::size_t aGateway);

  /** Returns the gateway that became leader last, according to the logs of the
      gateways. */
  [[nodiscard]] std::size_t Leader() const;

  /** Returns the leader and the gateways that claim first after it. Among equal
      gateways these are the first by name. */
  [[nodiscard]] std::set<std::size_t> LeaderAndSuccessors() const;

  /** Cuts a gateway off from the store, but not from its peers. */
  void CutFromStore(std::size_t aGateway);

  /** Stalls the open connections of a gateway to the store permanently. */
  void StallOpenConnections(std::size_t aGateway);

  /** Drops a share of the datagrams of a gateway. */
  void LoseDatagrams(std::size_t aGateway, double aShare);

  /** Sends a signal to a gateway. */
  void Signal(std::size_t aGateway, int aSignal) const;

  /** Returns whether the process of a gateway has exited. */
  [[nodiscard]] bool HasEnded(std::size_t aGateway);

  /** Returns the content of a gateway's log. */
  [[nodiscard]] std::string Log(std::size_t aGateway) const;

  void RunFor(Millis aTime);
  [[nodiscard]] bool RunUntil(const std::function<bool()>& aCondition,
                              Millis aTime);

private:
  soak::FleetOptions Options(std::size_t aGateways) const;

  EventLoop m_loop;
  GatewayProtocol m_protocol;
  std::filesystem::path m_folder;
  soak::Fleet m_fleet;
};

/** An endpoint inside the test. The test scripts its answers, and it records
    the requests that it receives. */
class ScriptedEndpoint
{
public:
  using Handler = std::function<void(const HttpExchangePtr&)>;

  ScriptedEndpoint(GatewayFixture& aFixture,
                   std::string aName,
                   std::string aService);

  /** Writes the endpoint's entry to the store, as ready or as draining. */
  void Announce(bool aDraining = false);

  /** Answers a request as an endpoint that has run it. */
  void AnswerSuccess(const HttpExchangePtr& aExchange);

  /** Returns the answer to a request that has run. */
  [[nodiscard]] HttpReply SuccessReply(const RequestHead& aHead) const;

  /** Handles a request. Answers it successfully by default. */
  Handler m_onRequest;

  /** Arrival times of callers' requests. Excludes commands and health checks.
   */
  std::vector<TimePoint> m_arrivals;
  EndpointRecord m_record;

private:
  void OnCall(const HttpExchangePtr& aExchange);

  GatewayFixture& m_fixture;
  HttpServer m_server;
};

/** Sends requests to gateways in turn, each on its own connection, and counts
    their outcomes. */
class SteadyCaller
{
public:
  SteadyCaller(GatewayFixture& aFixture,
               std::vector<std::size_t> aGateways,
               std::string aTarget,
               Millis aEvery);

  /** Number of requests by the status of their answer; 0 means no answer. */
  std::map<int, unsigned> m_byStatus;

private:
  void Send();

  GatewayFixture& m_fixture;
  std::vector<std::size_t> m_gateways;
  std::string m_target;
  std::vector<std::unique_ptr<HttpClient>> m_clients;
  std::size_t m_next = 0;
  Timer m_timer;
};

} // namespace sapphirehook::test

#endif
