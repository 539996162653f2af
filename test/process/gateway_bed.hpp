#ifndef SAPPHIREHOOK_TEST_PROCESS_GATEWAY_BED_HPP
#define SAPPHIREHOOK_TEST_PROCESS_GATEWAY_BED_HPP

#include "sapphirehook/gateway/protocol.hpp"
#include "sapphirehook/http1/server.hpp"
#include "soak/fleet.hpp"

#include <filesystem>
#include <functional>
#include <set>
#include <string>
#include <vector>

namespace sapphirehook::test {

/** Real gateways as processes around a store of our own, without endpoints. */
class GatewayBed
{
public:
  explicit GatewayBed(std::size_t aGateways);
  ~GatewayBed();
  GatewayBed(const GatewayBed&) = delete;
  GatewayBed& operator=(const GatewayBed&) = delete;

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

  /** Writes an endpoint's entry to the store. */
  void PutEndpoint(const EndpointRecord& aRecord);

  /** Writes a value to a topic of the store; an empty one removes the key. */
  void PutRecord(const std::string& aTopic,
                 const std::string& aKey,
                 const std::string& aValue);

  /** Makes a call to the store. */
  void CallStore(const HttpCall& aCall) { m_fleet.CallStore(aCall); }

  /** Kills a gateway and starts it again. */
  void Restart(std::size_t aGateway);

  /** Returns the gateway that began to lead last, by the gateways' logs. */
  [[nodiscard]] std::size_t Leader() const;

  /** Returns the leader and the gateways that claim first after it: of equal
      ones, the first by name. */
  [[nodiscard]] std::set<std::size_t> LeaderAndHeirs() const;

  /** Cuts a gateway from the store alone. */
  void CutFromStore(std::size_t aGateway);

  /** The open connections of a gateway to the store go silent for good. */
  void SilenceOpenConnections(std::size_t aGateway);

  void LoseDatagrams(std::size_t aGateway, double aShare);

  /** Sends a signal to a gateway. */
  void Signal(std::size_t aGateway, int aSignal) const;

  /** Whether a gateway's process has ended. */
  [[nodiscard]] bool HasEnded(std::size_t aGateway);

  /** Returns what a gateway has written to its log. */
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

/** An endpoint within the test, which answers what the test says and notes what
    it is asked. */
class ScriptedEndpoint
{
public:
  using Handler = std::function<void(const HttpExchangePtr&)>;

  ScriptedEndpoint(GatewayBed& aBed, std::string aName, std::string aService);

  /** Announces itself in the store, as ready or as leaving. */
  void Announce(bool aDraining = false);

  /** Answers a request in the way of an endpoint that has run it. */
  void AnswerWell(const HttpExchangePtr& aExchange);

  /** Returns an answer to a request that has run. */
  [[nodiscard]] HttpReply WellReply(const RequestHead& aHead) const;

  /** What is done with a request; by default it is answered well. */
  Handler m_onRequest;

  /** When requests of callers arrived, orders and health checks left out. */
  std::vector<TimePoint> m_arrivals;
  EndpointRecord m_record;

private:
  void OnCall(const HttpExchangePtr& aExchange);

  GatewayBed& m_bed;
  HttpServer m_server;
};

/** Sends requests to gateways in turn, each on a connection of its own, and
    counts how they end. */
class SteadyCaller
{
public:
  SteadyCaller(GatewayBed& aBed,
               std::vector<std::size_t> aGateways,
               std::string aTarget,
               Millis aEvery);

  /** Requests by the status of their answer; 0 stands for none. */
  std::map<int, unsigned> m_byStatus;

private:
  void Send();

  GatewayBed& m_bed;
  std::vector<std::size_t> m_gateways;
  std::string m_target;
  std::vector<std::unique_ptr<HttpClient>> m_clients;
  std::size_t m_next = 0;
  Timer m_timer;
};

} // namespace sapphirehook::test

#endif
