#ifndef SAPPHIREHOOK_ROUTING_FWD_HPP
#define SAPPHIREHOOK_ROUTING_FWD_HPP

/** Routes, services and caller limits from the operators' configuration. */
namespace sapphirehook {

enum class RequestKind : unsigned char;
struct RouteTarget;
struct Route;
struct ServiceSpec;
struct CallerLimits;
struct ConfigIssue;
struct Urgency;
struct KindKey;
struct RoutingConfig;
class RouteTable;
class WeightedRoundRobin;

} // namespace sapphirehook

#endif
