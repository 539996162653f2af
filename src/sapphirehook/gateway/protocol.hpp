#ifndef SAPPHIREHOOK_GATEWAY_PROTOCOL_HPP
#define SAPPHIREHOOK_GATEWAY_PROTOCOL_HPP

#include "sapphirehook/discovery/endpoint_directory.hpp"
#include "sapphirehook/keys/range.hpp"
#include "sapphirehook/routing/route.hpp"
#include "sapphirehook/store/store_protocol.hpp"

#include <absl/status/statusor.h>
#include <string>
#include <string_view>

namespace sapphirehook {

/** What an endpoint tells of its load with an answer. */
struct ReportedLoad
{
  std::size_t m_running = 0;
  std::size_t m_waiting = 0;
  std::size_t m_slots = 0;
};

/** Names and formats that callers, endpoints and the store speak. The gateway
    decides; these functions only write and read. */
struct GatewayProtocol
{
  StoreProtocol m_store;

  /** Topic and key of the newest routing configuration. */
  std::string m_configTopic;
  std::string m_configKey;
  absl::StatusOr<RoutingConfig> (*m_parseConfig)(std::string_view aText);

  /** Topic of the endpoints' entries, keyed by their names. */
  std::string m_endpointTopic;
  /** Largest entry of an endpoint, in bytes. */
  std::size_t m_mostEndpointBytes = 0;
  absl::StatusOr<EndpointRecord> (*m_parseEndpoint)(const std::string& aName,
                                                    std::string_view aText);

  HttpCall (*m_grant)(const GrantCommand& aOrder);
  HttpCall (*m_release)(const ReleaseCommand& aOrder);
  CommandResult (*m_parseOrder)(const CallResult& aResult);

  /** Path at which the balancer asks whether the daemon takes callers. */
  std::string m_readyPath;

  /** Header by which an answer names the request that it belongs to. */
  std::string m_attemptHeader;
  /** Header with the milliseconds that are left of the caller's wait. */
  std::string m_deadlineHeader;
  /** Header with the request's key. */
  std::string m_keyHeader;
  /** Header with the only endpoint that may run a request. */
  std::string m_expectHeader;
  /** Header of an answer of an endpoint that did not run the request. */
  std::string m_notRunHeader;
  /** Header of the endpoint's load. */
  std::string m_loadHeader;
  absl::StatusOr<ReportedLoad> (*m_parseLoad)(std::string_view aText);
};

} // namespace sapphirehook

#endif
