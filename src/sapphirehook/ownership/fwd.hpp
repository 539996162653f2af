#ifndef SAPPHIREHOOK_OWNERSHIP_FWD_HPP
#define SAPPHIREHOOK_OWNERSHIP_FWD_HPP

/** The log fold, dispatcher authority, endpoint leases and placement. */
namespace sapphirehook {

struct Record;
struct Layout;
struct Domain;
struct Group;
struct EndpointState;
struct ServiceState;
struct ClusterState;
class Placement;
class GroupAuthority;
class EndpointLease;
class Coordinator;

} // namespace sapphirehook

#endif
