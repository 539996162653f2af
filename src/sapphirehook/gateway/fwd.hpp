#ifndef SAPPHIREHOOK_GATEWAY_FWD_HPP
#define SAPPHIREHOOK_GATEWAY_FWD_HPP

/** The daemon of an entry host for endpoints that check each request against
    the keys granted to them. It accepts callers' requests and forwards each
    directly to an endpoint. */
namespace sapphirehook {

struct GatewayProtocol;
struct GatewaySettings;
struct Transaction;
class CallerConnection;
class UpstreamConnection;
class UpstreamPool;
struct EngineMetrics;
class RequestEngine;
class Gateway;

} // namespace sapphirehook

#endif
