#ifndef SAPPHIREHOOK_GATEWAY_PROTOCOL_HPP
#define SAPPHIREHOOK_GATEWAY_PROTOCOL_HPP

#include "sapphirehook/discovery/endpoint_directory.hpp"
#include "sapphirehook/keys/range.hpp"
#include "sapphirehook/routing/route.hpp"
#include "sapphirehook/store/store_protocol.hpp"

#include <absl/status/statusor.h>
#include <optional>
#include <string>
#include <string_view>

namespace sapphirehook {

/** Load that an endpoint reports with an answer. */
struct ReportedLoad
{
  std::size_t m_running = 0;
  std::size_t m_waiting = 0;
  std::size_t m_slots = 0;
  /** Time that work currently takes, in percent of the usual time. */
  std::optional<std::size_t> m_pace;
};

/** Which endpoint answered a health check. */
enum class EndpointIdentity : unsigned char
{
  Expected,
  /** An endpoint with another name. */
  Other,
  /** The answer does not say. */
  Unknown,
};

/** Names and formats of the messages to and from callers, endpoints and the
    store. The functions only serialize and parse; all decisions are made by the
    gateway. */
struct GatewayProtocol
{
  StoreProtocol m_store;

  /** Topic and key of the current routing configuration. */
  std::string m_configTopic;
  std::string m_configKey;
  /** Prefix of the keys in the same topic that name evacuated zones. */
  std::string m_evacuationPrefix;
  absl::StatusOr<RoutingConfig> (*m_parseConfig)(std::string_view aText);

  /** Topic of the endpoint entries, keyed by endpoint name. */
  std::string m_endpointTopic;
  /** Size limit of an endpoint entry, in bytes. */
  std::size_t m_maxEndpointBytes = 0;
  absl::StatusOr<EndpointRecord> (*m_parseEndpoint)(const std::string& aName,
                                                    std::string_view aText);

  HttpCall (*m_grant)(const GrantCommand& aCommand);
  HttpCall (*m_release)(const ReleaseCommand& aCommand);
  CommandResult (*m_parseCommandResult)(const CallResult& aResult);

  /** Returns the health check at a path that asks only the named endpoint. */
  HttpCall (*m_identify)(const std::string& aHealthPath,
                         const std::string& aEndpoint);
  EndpointIdentity (*m_parseIdentity)(const CallResult& aResult,
                                      const std::string& aEndpoint);

  /** Path of the balancer's readiness check. */
  std::string m_readyPath;

  /** Header that names the attempt, in a request and in its answer. */
  std::string m_attemptHeader;
  /** Header with the remaining time of the caller's deadline, in
      milliseconds. */
  std::string m_deadlineHeader;
  /** Header with the request's key. */
  std::string m_keyHeader;
  /** Header with the name of the only endpoint that may run the request. */
  std::string m_expectHeader;
  /** Header of an answer that says that the request was not run. */
  std::string m_notRunHeader;
  /** Header with the endpoint's load, in an answer. */
  std::string m_loadHeader;
  absl::StatusOr<ReportedLoad> (*m_parseLoad)(std::string_view aText);
};

} // namespace sapphirehook

#endif
