#ifndef SAPPHIREHOOK_GATEWAY_FWD_HPP
#define SAPPHIREHOOK_GATEWAY_FWD_HPP

/** The daemon of an entry host whose endpoints check what they are asked to
    run: it takes callers' requests and sends each straight to an endpoint. */
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
