#ifndef SAPPHIREHOOK_ROUTING_FWD_HPP
#define SAPPHIREHOOK_ROUTING_FWD_HPP

/** Routes, services and callers' limits, as the operators set them. */
namespace sapphirehook {

enum class RequestKind : unsigned char;
struct RouteTarget;
struct Route;
struct ServiceSpec;
struct CallerLimits;
struct RoutingConfig;
class RouteTable;
class WeightedTurn;

} // namespace sapphirehook

#endif
